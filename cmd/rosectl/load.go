package main

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/load"
)

// loadOptions holds the flags of rosectl load.
type loadOptions struct {
	file, jsonFile, plotFile, logFile   string
	gateways, engines, services, others []string
	seed                                uint64
	loopback                            bool
}

func loadCommand() *command {
	var o loadOptions
	return &command{
		name:    "load",
		summary: "Run a load test from an experiment file against a running system and check every answer",
		examples: `  rosectl load --experiment kernhof --loopback --plot out/kernhof.svg
  rosectl load --experiment kernhof --gateway 127.0.0.1:7001 \
    --engine e1=127.0.0.1:7201 --engine e2=127.0.0.1:7202 --service ledger-1=127.0.0.1:7301 \
    --json out/kernhof.json --plot out/kernhof.svg`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *loadOptions) flags(sc *flaggy.Subcommand) {
	sc.String(&o.file, "e", "experiment", "built-in profile (kernhof, kernhof-faults, linen-lantern) or experiment file (TOML)")
	sc.String(&o.jsonFile, "j", "json", "file for the result as JSON")
	sc.String(&o.plotFile, "p", "plot", "file for the plot (SVG)")
	sc.UInt64(&o.seed, "", "seed", "replaces the file's seed; 0 keeps it")
	sc.Bool(&o.loopback, "", "loopback", "start the system that the file describes in this process and run the load test against it")
	sc.String(&o.logFile, "", "log", "log file of the system that --loopback starts")
	sc.StringSlice(&o.gateways, "", "gateway", "address of a gateway; replaces those of the file")
	sc.StringSlice(&o.engines, "", "engine", "id=address of an engine stand-in; replaces those of the file")
	sc.StringSlice(&o.services, "", "service", "id=address of a service stand-in; replaces those of the file")
	sc.StringSlice(&o.others, "", "other", "name=address of another fault target; replaces those of the file")
}

func (o *loadOptions) run(ctx context.Context, out io.Writer) error {
	exp, err := o.experiment()
	if err != nil {
		return err
	}
	runLoad := load.Run
	if o.loopback {
		runLoad = o.runLoopback
	}
	res, err := runLoad(ctx, exp)
	if err != nil {
		return err
	}
	if err := o.write(res, out); err != nil {
		return err
	}
	if violations := res.Violations(); len(violations) > 0 {
		return checkError.New("%s", strings.Join(violations, "; "))
	}
	return nil
}

// experiment reads the experiment file and overrides it with the flags.
func (o *loadOptions) experiment() (*load.Experiment, error) {
	if o.file == "" {
		return nil, usageError.New("--experiment is missing")
	}
	exp, err := load.Read(o.file)
	if err != nil {
		return nil, usageError.Wrap(err)
	}
	if o.seed != 0 {
		exp.Seed = o.seed
	}
	t := &exp.Targets
	if len(o.gateways) > 0 {
		t.Gateways = o.gateways
	}
	return exp, errors.Join(replaceTargets(&t.Engines, o.engines), replaceTargets(&t.Services, o.services), replaceTargets(&t.Others, o.others))
}

// replaceTargets replaces the targets by name=address values. Without values, it keeps the targets of the file.
func replaceTargets(targets *map[string]string, values []string) error {
	if len(values) == 0 {
		return nil
	}
	*targets = map[string]string{}
	for _, v := range values {
		name, address, ok := strings.Cut(v, "=")
		if !ok {
			return usageError.New("%q is not of the form name=address", v)
		}
		(*targets)[name] = address
	}
	return nil
}

// runLoopback starts the system of the experiment, runs the load test against it and stops it.
func (o *loadOptions) runLoopback(ctx context.Context, exp *load.Experiment) (res *load.Result, err error) {
	log := io.Discard
	if o.logFile != "" {
		f, err := os.Create(o.logFile)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		log = f
	}
	c, err := exp.StartSystem(ctx, log)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, c.Close()) }()
	return load.Run(ctx, exp)
}

func (o *loadOptions) write(res *load.Result, out io.Writer) error {
	err := res.WriteTable(out)
	if o.jsonFile != "" {
		err = errors.Join(err, res.WriteJSON(o.jsonFile))
	}
	if o.plotFile != "" {
		err = errors.Join(err, res.WritePlot(o.plotFile))
	}
	return err
}
