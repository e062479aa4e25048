package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/rollout"
)

// defaultRolloutPort is below the ephemeral port range of outgoing connections.
const defaultRolloutPort = 18_500

// rolloutOptions holds the flags of rosectl rollout.
type rolloutOptions struct {
	profile      string
	seed         int64
	port         int
	program, dir string
}

func rolloutCommand() *command {
	o := &rolloutOptions{profile: rollout.BuiltinProfiles()[0], seed: 1, port: defaultRolloutPort}
	return &command{
		name:    "rollout",
		summary: "Stop, start and reload the hosts of a site, which run as processes here, and count the requests that are lost",
		examples: `  rosectl rollout --profile linen-lantern --seed 3
  rosectl rollout --program old/rosemaryhill`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *rolloutOptions) flags(sc *flaggy.Subcommand) {
	sc.String(&o.profile, "p", "profile", "site: "+strings.Join(rollout.BuiltinProfiles(), ", ")+", or a file")
	sc.Int64(&o.seed, "", "seed", "seed of the planned work and the traffic")
	sc.Int(&o.port, "", "port", fmt.Sprintf("first of %d free ports on the loopback network", rollout.PortCount))
	sc.String(&o.program, "", "program", programUsage)
	sc.String(&o.dir, "d", "dir", dirUsage)
}

// run returns a check error if a request was lost.
func (o *rolloutOptions) run(ctx context.Context, out io.Writer) error {
	p, err := rollout.LoadProfile(o.profile)
	if err != nil {
		return usageError.Wrap(err)
	}
	cfg := rollout.Config{Profile: p, Seed: o.seed, Port: o.port}
	if cfg.Program, cfg.Dir, err = prepareProgram(o.program, o.dir); err != nil {
		return err
	}
	fmt.Fprintf(out, "site %s, seed %d, logs in %s\n", p.Name, cfg.Seed, cfg.Dir)
	res, err := rollout.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := res.WriteText(out); err != nil {
		return err
	}
	if n := res.Lost() + len(res.Broken) + len(res.Problems); n > 0 {
		return checkError.New("%d requests lost, %d broken promises, %d problems; seed %d, logs in %s",
			res.Lost(), len(res.Broken), len(res.Problems), cfg.Seed, cfg.Dir)
	}
	return nil
}
