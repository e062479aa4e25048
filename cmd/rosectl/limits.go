package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/limitshare"
)

// limitsRuns is the number of concurrent runs.
const limitsRuns = 2

// limitsOptions holds the flags of rosectl limits.
type limitsOptions struct {
	hosts []string
	seed  int64
	cold  bool
}

func limitsCommand() *command {
	o := &limitsOptions{seed: 1}
	return &command{
		name:     "limits",
		summary:  "Compare ways to keep all hosts together to the limit that a server names, or of a cold server, in virtual time",
		examples: "  rosectl limits --hosts 6 --hosts 95\n  rosectl limits --cold",
		flags:    o.flags,
		run:      o.run,
	}
}

func (o *limitsOptions) flags(sc *flaggy.Subcommand) {
	sc.StringSlice(&o.hosts, "", "hosts", "number of hosts, may be given more than once; none means 6, 95 and 300")
	sc.Bool(&o.cold, "", "cold", "compare limits of cold servers; without numbers of hosts these are 6, 88 and 300")
	sc.Int64(&o.seed, "", "seed", "seed of the traffic and the lost datagrams")
}

func (o *limitsOptions) run(_ context.Context, out io.Writer) error {
	counts := []int{6, 95, 300}
	if o.cold {
		counts = []int{6, 88, 300}
	}
	hosts, err := hostCounts(o.hosts, counts)
	if err != nil {
		return err
	}
	if o.cold {
		return limitshare.WriteColdText(out, limitshare.CompareCold(hosts, o.seed, limitsRuns))
	}
	return limitshare.WriteText(out, limitshare.Compare(hosts, o.seed, limitsRuns))
}
