package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/trail"
)

const (
	// defaultTrailPort is below the ephemeral port range of outgoing connections.
	defaultTrailPort    = 20_500
	defaultTrailHosts   = 3
	defaultTrailSeconds = 20
	// defaultTrailInterval publishes versions as often as a busy operator does.
	defaultTrailInterval = 1
)

// trailOptions holds the flags of rosectl trail.
type trailOptions struct {
	faults       []string
	hosts        []int
	seed         int64
	seconds      float64
	interval     float64
	quiet        float64
	port         int
	program, dir string
}

func trailCommand() *command {
	o := &trailOptions{seed: 1, seconds: defaultTrailSeconds, interval: defaultTrailInterval, port: defaultTrailPort}
	return &command{
		name:    "trail",
		summary: "Measure how long entry hosts, which run as processes here, trail behind the store under faults",
		examples: `  rosectl trail --fault store-copy --hosts 1 --hosts 3 --hosts 7
  rosectl trail --fault compaction+cut-watches --program old/rosemaryhill`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *trailOptions) flags(sc *flaggy.Subcommand) {
	sc.StringSlice(&o.faults, "f", "fault", "a run's fault, or several joined by +; may be given several times; default: a run with each of "+
		strings.Join(trail.FaultNames(), ", "))
	sc.IntSlice(&o.hosts, "", "hosts", fmt.Sprintf("entry hosts, 1 to %d, default %d; may be given several times", trail.MaxHosts, defaultTrailHosts))
	sc.Int64(&o.seed, "", "seed", "seed of faults and requests")
	sc.Float64(&o.seconds, "", "seconds", "length of a run")
	sc.Float64(&o.interval, "", "interval", "mean seconds between two versions; what hosts have missed shows for as long as no other version follows")
	sc.Float64(&o.quiet, "", "quiet", "seconds without faults at the end of a run, so that hosts are calm after frequent ones")
	sc.Int(&o.port, "", "port", fmt.Sprintf("first of %d free ports on the loopback network", trail.PortCount))
	sc.String(&o.program, "", "program", programUsage)
	sc.String(&o.dir, "d", "dir", dirUsage)
}

// run returns a check error if a host has trailed for longer than allowed without a fault.
func (o *trailOptions) run(ctx context.Context, out io.Writer) error {
	if len(o.faults) == 0 {
		o.faults = trail.FaultNames()
	}
	if len(o.hosts) == 0 {
		o.hosts = []int{defaultTrailHosts}
	}
	for _, n := range o.hosts {
		if n < 1 || n > trail.MaxHosts {
			return usageError.New("--hosts %d is not between 1 and %d", n, trail.MaxHosts)
		}
	}
	for _, name := range strings.Split(strings.Join(o.faults, "+"), "+") {
		if !slices.Contains(trail.FaultNames(), name) {
			return usageError.New("--fault %q is none of %q", name, trail.FaultNames())
		}
	}
	if o.seconds <= 0 || o.interval <= 0 {
		return usageError.New("--seconds and --interval must be positive")
	}
	program, dir, err := prepareProgram(o.program, o.dir)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "logs in %s\n", dir)
	trail.WriteHeader(out)
	late := 0
	for _, fault := range o.faults {
		for _, hosts := range o.hosts {
			cfg := trail.Config{
				Faults: strings.Split(fault, "+"), Seed: o.seed, Hosts: hosts, Duration: time.Duration(o.seconds * float64(time.Second)),
				Interval: time.Duration(o.interval * float64(time.Second)),
				Quiet:    time.Duration(o.quiet * float64(time.Second)), Program: program, Port: o.port,
			}
			if cfg.Dir, err = makeDir(filepath.Join(dir, fmt.Sprintf("%s-%d-%d", fault, hosts, o.seed))); err != nil {
				return err
			}
			res, err := trail.Run(ctx, cfg)
			if err != nil {
				return err
			}
			res.WriteRow(out, cfg)
			for _, text := range append(res.Examples, res.Problems...) {
				fmt.Fprintln(out, " ", text)
			}
			late += res.CalmConfig.Late + res.CalmLeaving.Late + res.Denied
		}
	}
	if late > 0 {
		return checkError.New("%d requests handled by an older state beyond %v without a fault, or denied; seed %d, logs in %s", late, trail.Bound, o.seed, dir)
	}
	return nil
}
