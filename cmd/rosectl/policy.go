package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/lab/policy"
)

// policyOptions holds the flags of rosectl policy.
type policyOptions struct {
	profiles, policies []string
	loads              []int
	seed               int64
	parallel           int
	jsonFile, plotFile string
}

func policyCommand() *command {
	var o policyOptions
	return &command{
		name:    "policy",
		summary: "Compare scheduling policies in a simulation with virtual time",
		examples: `  rosectl policy --profile kernhof --load 85 --load 120
  rosectl policy --policy predict --json out/policy.json --plot out/policy.svg`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *policyOptions) flags(sc *flaggy.Subcommand) {
	sc.StringSlice(&o.profiles, "", "profile", "built-in profile or TOML file, may be given more than once; none means all built-in ones")
	sc.StringSlice(&o.policies, "", "policy", "predict, round_robin or least_outstanding; none means all")
	sc.IntSlice(&o.loads, "", "load", "load in percent of the capacity; none means 50, 85, 100 and 120")
	sc.Int64(&o.seed, "", "seed", "seed of the workload; 0 means 1")
	sc.Int(&o.parallel, "", "parallel", "number of concurrent runs; 0 means 3")
	sc.String(&o.jsonFile, "j", "json", "file for the report as JSON")
	sc.String(&o.plotFile, "p", "plot", "file for the plots (SVG)")
}

// run returns a check error if the default policy misses a target. The other policies are baselines.
func (o *policyOptions) run(_ context.Context, out io.Writer) error {
	opts := policy.Options{Profiles: o.profiles, Loads: o.loads, Seed: o.seed, Parallel: o.parallel}
	for _, p := range o.policies {
		switch sched.Policy(p) {
		case sched.Predict, sched.RoundRobin, sched.LeastOutstanding:
			opts.Policies = append(opts.Policies, sched.Policy(p))
		default:
			return usageError.New("unknown policy %q", p)
		}
	}
	report, err := policy.Run(opts)
	if err != nil {
		return err
	}
	if err := o.write(&report, out); err != nil {
		return err
	}
	missed := 0
	for _, t := range report.Targets {
		if t.Policy == sched.Predict && !t.Met {
			missed++
		}
	}
	if missed > 0 {
		return checkError.New("policy %s misses %d targets", sched.Predict, missed)
	}
	return nil
}

func (o *policyOptions) write(report *policy.Report, out io.Writer) error {
	if err := report.WriteText(out); err != nil {
		return err
	}
	if o.plotFile != "" {
		if _, err := report.WritePlot(o.plotFile); err != nil {
			return err
		}
	}
	if o.jsonFile == "" {
		return nil
	}
	f, err := os.Create(o.jsonFile)
	if err != nil {
		return err
	}
	if err := report.WriteJSON(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
