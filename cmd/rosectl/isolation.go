package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/isolation"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

const (
	// defaultIsolationPort is below the ephemeral port range of outgoing connections.
	defaultIsolationPort = 18_920
	// defaultCutSeconds is longer than callers keep an address by default.
	defaultCutSeconds = 12
)

// isolationOptions holds the flags of rosectl isolation.
type isolationOptions struct {
	cut, set string
	load     float64
	seconds  int
	port     int
}

func isolationCommand() *command {
	o := &isolationOptions{seconds: defaultCutSeconds, port: defaultIsolationPort}
	return &command{
		name:    "isolation",
		summary: "Cut hosts of a small site, which run here, off from all backend servers and count the first attempts that are served",
		examples: `  rosectl isolation
  rosectl isolation --cut hang --set "1 host" --load 0.5`,
		flags: o.flags,
		run:   o.run,
	}
}

func (o *isolationOptions) flags(sc *flaggy.Subcommand) {
	sc.String(&o.cut, "c", "cut", fmt.Sprintf("how links are lost, of %q; default: each in turn", standin.Cuts))
	sc.String(&o.set, "s", "set", "hosts that are cut off: 1 host, 2 hosts, a zone, 5 of 6, all; default: each in turn")
	sc.Float64(&o.load, "l", "load", "share of what the servers bear; default: 0.1, 0.5 and 1 in turn")
	sc.Int(&o.seconds, "", "seconds", fmt.Sprintf("how long a cut lasts, more than %v", isolation.DetectionTime))
	sc.Int(&o.port, "", "port", fmt.Sprintf("first of %d free ports on the loopback network", isolation.PortCount))
}

// run returns a check error if a promise to callers was broken.
func (o *isolationOptions) run(ctx context.Context, out io.Writer) error {
	configs := o.configs()
	if len(configs) == 0 || o.load < 0 {
		return usageError.New("unknown cut or set, or a negative load")
	}
	if time.Duration(o.seconds)*time.Second <= isolation.DetectionTime {
		return usageError.New("a cut of %d s is not longer than %v", o.seconds, isolation.DetectionTime)
	}
	table := isolation.NewTable(out)
	broken := 0
	for _, cfg := range configs {
		res, err := isolation.Run(ctx, cfg)
		if err != nil {
			return err
		}
		if err := table.Add(res); err != nil {
			return err
		}
		for _, b := range res.Broken {
			fmt.Fprintln(out, b)
		}
		broken += len(res.Broken)
	}
	if broken > 0 {
		return checkError.New("%d broken promises", broken)
	}
	return nil
}

// configs returns the runs that the flags select.
func (o *isolationOptions) configs() (out []isolation.Config) {
	loads := isolation.Loads
	if o.load != 0 {
		loads = []float64{o.load}
	}
	for _, set := range isolation.Sets {
		for _, cut := range standin.Cuts {
			if (o.set != "" && o.set != set.Name) || (o.cut != "" && o.cut != string(cut)) {
				continue
			}
			for _, load := range loads {
				out = append(out, isolation.Config{Cut: cut, Set: set, Load: load, During: time.Duration(o.seconds) * time.Second, Port: o.port})
			}
		}
	}
	return out
}
