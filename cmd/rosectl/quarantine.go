package main

import (
	"context"
	"io"
	"strconv"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/crashparts"
)

// quarantineRuns is the number of concurrent runs.
const quarantineRuns = 3

// quarantineOptions holds the flags of rosectl quarantine.
type quarantineOptions struct {
	hosts []string
	seed  int64
}

func quarantineCommand() *command {
	o := &quarantineOptions{seed: 1}
	return &command{
		name:     "quarantine",
		summary:  "Compare ways to share evidence on prompt parts that crash servers, in virtual time",
		examples: `  rosectl quarantine --hosts 6 --hosts 95`,
		flags:    o.flags,
		run:      o.run,
	}
}

func (o *quarantineOptions) flags(sc *flaggy.Subcommand) {
	sc.StringSlice(&o.hosts, "", "hosts", "number of hosts, may be given more than once; none means 6, 95, 300 and 1000")
	sc.Int64(&o.seed, "", "seed", "seed of the traffic and the lost datagrams")
}

func (o *quarantineOptions) run(_ context.Context, out io.Writer) error {
	hosts, err := hostCounts(o.hosts, []int{6, 95, 300, 1000})
	if err != nil {
		return err
	}
	return crashparts.WriteText(out, crashparts.Compare(hosts, o.seed, quarantineRuns))
}

// hostCounts parses numbers of hosts, of which none stands for the usual ones.
func hostCounts(texts []string, usual []int) (hosts []int, err error) {
	if len(texts) == 0 {
		return usual, nil
	}
	for _, text := range texts {
		n, err := strconv.Atoi(text)
		if err != nil || n < 2 {
			return nil, usageError.New("--hosts %q is not a number of at least 2", text)
		}
		hosts = append(hosts, n)
	}
	return hosts, nil
}
