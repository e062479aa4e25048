package main

import (
	"context"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/load"
)

func loadCommand() *command {
	var file, jsonFile, plotFile string
	var gateways, engines, services, others []string
	var seed uint64
	return &command{
		name:    "load",
		summary: "Drive a running system from an experiment file and check every answer",
		examples: `  rosectl load --experiment lab/load/profiles/kernhof.toml --gateway 127.0.0.1:7001 \
    --engine e1=127.0.0.1:7201 --engine e2=127.0.0.1:7202 --service ledger-1=127.0.0.1:7301 \
    --json out/kernhof.json --plot out/kernhof.svg`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&file, "e", "experiment", "experiment file (TOML)")
			sc.String(&jsonFile, "j", "json", "file for the result as JSON")
			sc.String(&plotFile, "p", "plot", "file for the plot (SVG)")
			sc.UInt64(&seed, "", "seed", "replaces the file's seed; 0 keeps it")
			sc.StringSlice(&gateways, "", "gateway", "address of a gateway; replaces those of the file")
			sc.StringSlice(&engines, "", "engine", "id=address of an engine stand-in; replaces those of the file")
			sc.StringSlice(&services, "", "service", "id=address of a service stand-in; replaces those of the file")
			sc.StringSlice(&others, "", "other", "name=address of another fault target; replaces those of the file")
		},
		run: func(ctx context.Context, out io.Writer) error {
			if file == "" {
				return usageError.New("--experiment is missing")
			}
			exp, err := load.Read(file)
			if err != nil {
				return usageError.Wrap(err)
			}
			if seed != 0 {
				exp.Seed = seed
			}
			if len(gateways) > 0 {
				exp.Targets.Gateways = gateways
			}
			for _, o := range []struct {
				flags []string
				to    *map[string]string
			}{{engines, &exp.Targets.Engines}, {services, &exp.Targets.Services}, {others, &exp.Targets.Others}} {
				if err := replaceTargets(o.to, o.flags); err != nil {
					return err
				}
			}
			res, err := load.Run(ctx, exp)
			if err != nil {
				return err
			}
			return writeLoadResult(res, out, jsonFile, plotFile)
		},
	}
}

// replaceTargets reads name=address values; without any, the file's targets stay.
func replaceTargets(to *map[string]string, values []string) error {
	if len(values) == 0 {
		return nil
	}
	*to = map[string]string{}
	for _, v := range values {
		name, address, ok := strings.Cut(v, "=")
		if !ok {
			return usageError.New("%q is no name=address", v)
		}
		(*to)[name] = address
	}
	return nil
}

func writeLoadResult(res *load.Result, out io.Writer, jsonFile, plotFile string) error {
	if err := res.WriteTable(out); err != nil {
		return err
	}
	if jsonFile != "" {
		if err := res.WriteJSON(jsonFile); err != nil {
			return err
		}
	}
	if plotFile != "" {
		if err := res.WritePlot(plotFile); err != nil {
			return err
		}
	}
	if faults := res.Faults(); len(faults) > 0 {
		return checkError.New("%s", strings.Join(faults, "; "))
	}
	return nil
}
