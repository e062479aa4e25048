package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/soak"
)

const (
	// defaultSoakMinutes is long enough to inject each kind of fault about twenty times.
	defaultSoakMinutes = 1
	defaultSoakHosts   = 3
	// defaultSoakPort is below the ephemeral port range of outgoing connections.
	defaultSoakPort = 19_100
)

// soakOptions holds the flags of rosectl soak.
type soakOptions struct {
	seed         int64
	minutes      float64
	hosts, port  int
	program, dir string
	without      []string
}

func soakCommand() *command {
	o := soakOptions{minutes: defaultSoakMinutes, hosts: defaultSoakHosts, port: defaultSoakPort}
	return &command{
		name:    "soak",
		summary: "Inject faults into entry hosts that run as processes on this machine, and check the guarantees to callers",
		examples: `  rosectl soak --seed 7 --minutes 5
  rosectl soak --program out/rosemaryhill --dir out/soak`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *soakOptions) flags(sc *flaggy.Subcommand) {
	sc.Int64(&o.seed, "", "seed", "seed of faults and requests; 0 means a new one")
	sc.Float64(&o.minutes, "m", "minutes", "minutes during which faults are injected")
	sc.Int(&o.hosts, "", "hosts", fmt.Sprintf("entry hosts, 2 to %d", soak.MaxHosts))
	sc.Int(&o.port, "", "port", fmt.Sprintf("first of %d free ports on the loopback network", soak.PortCount))
	sc.StringSlice(&o.without, "", "without", "kind of fault to leave out, such as \"silent server\"; may be given several times")
	sc.String(&o.program, "", "program", programUsage)
	sc.String(&o.dir, "d", "dir", dirUsage)
}

// run returns a check error if a guarantee to callers was violated.
func (o *soakOptions) run(ctx context.Context, out io.Writer) error {
	cfg, err := o.config()
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "seed %d, %v with faults, logs in %s\n", cfg.Seed, cfg.Duration, cfg.Dir)
	res, err := soak.Run(ctx, cfg)
	if err != nil {
		return err
	}
	for _, kind := range res.Kinds() {
		fmt.Fprintf(out, "%-26s %d\n", kind, res.Faults[kind])
	}
	fmt.Fprintf(out, "%d requests, %d served, %d broken promises\n", res.Requests, res.Served, len(res.Violations))
	if res.BadPart != "" {
		fmt.Fprintf(out, "bad part: %s\n", res.BadPart)
	}
	for _, cause := range res.Causes() {
		fmt.Fprintf(out, "not served: %6d %s\n", res.Unserved[cause], cause)
	}
	for _, v := range res.Violations {
		fmt.Fprintln(out, v)
	}
	if len(res.Violations) > 0 {
		return checkError.New("%d broken promises; seed %d, logs in %s", len(res.Violations), cfg.Seed, cfg.Dir)
	}
	return nil
}

func (o *soakOptions) config() (soak.Config, error) {
	cfg := soak.Config{
		Seed: o.seed, Duration: time.Duration(o.minutes * float64(time.Minute)), Hosts: o.hosts,
		Port: o.port, Without: o.without,
	}
	if o.hosts < 2 || o.hosts > soak.MaxHosts {
		return cfg, usageError.New("--hosts %d is not between 2 and %d", o.hosts, soak.MaxHosts)
	}
	if cfg.Duration <= 0 {
		return cfg, usageError.New("--minutes must be positive")
	}
	for _, kind := range o.without {
		if !slices.Contains(soak.FaultKinds(), kind) {
			return cfg, usageError.New("--without %q is none of %q", kind, soak.FaultKinds())
		}
	}
	if cfg.Seed == 0 {
		cfg.Seed = time.Now().UnixNano()
	}
	var err error
	cfg.Program, cfg.Dir, err = prepareProgram(o.program, o.dir)
	return cfg, err
}
