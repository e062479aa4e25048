package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/fleet"
)

const (
	// defaultPlacementSeeds is the number of seeds whose results are averaged. It limits the influence of single
	// large prompts, each of which costs as much as about twenty short ones.
	defaultPlacementSeeds = 5
	// placementRuns is the number of concurrent runs.
	placementRuns = 3
)

// placementOptions holds the flags of rosectl placement.
type placementOptions struct {
	profiles []string
	seed     int64
	seeds    int
	plotFile string
}

func placementCommand() *command {
	o := placementOptions{seed: 1, seeds: defaultPlacementSeeds}
	return &command{
		name:    "placement",
		summary: "Compare placement policies of entry hosts in a simulation with virtual time",
		examples: `  rosectl placement --profile kernhof --seeds 3
  rosectl placement --plot out/placement.svg`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *placementOptions) flags(sc *flaggy.Subcommand) {
	sc.StringSlice(&o.profiles, "", "profile", "built-in profile or TOML file, may be given more than once; none means all built-in ones")
	sc.Int64(&o.seed, "", "seed", "first seed of the workload")
	sc.Int(&o.seeds, "", "seeds", "number of seeds")
	sc.String(&o.plotFile, "p", "plot", "file for the plot (SVG)")
}

func (o *placementOptions) run(_ context.Context, out io.Writer) error {
	if o.seeds < 1 {
		return usageError.New("--seeds must be positive")
	}
	names := o.profiles
	if len(names) == 0 {
		names = fleet.BuiltinProfiles()
	}
	var profiles []*fleet.Profile
	for _, name := range names {
		p, err := fleet.LoadProfile(name)
		if err != nil {
			return usageError.Wrap(err)
		}
		profiles = append(profiles, p)
	}
	results := fleet.Compare(profiles, fleet.Policies(), fleet.Seeds(o.seed, o.seeds), placementRuns)
	if err := fleet.WriteText(out, results); err != nil {
		return err
	}
	if o.plotFile == "" {
		return nil
	}
	return fleet.WritePlot(o.plotFile, results)
}
