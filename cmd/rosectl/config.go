package main

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/node/platform"
)

func configCommand() *command {
	return &command{
		name:    "config",
		summary: "Publish, check and show configurations",
		examples: `  rosectl config check --file config.json
  rosectl config publish --platform 127.0.0.1:7100 --base 12 --file patch.json
  rosectl config status --platform 127.0.0.1:7100`,
		children: []*command{configPublish(), configCheck(), configStatus()},
	}
}

// proposal holds the flags that describe a proposed configuration change.
type proposal struct {
	platform, file string
	base           uint64
	snapshot       bool
}

func (p *proposal) flags(sc *flaggy.Subcommand) {
	sc.String(&p.platform, "p", "platform", "configuration service, host:port or URL")
	sc.String(&p.file, "f", "file", "JSON file with the change")
	sc.UInt64(&p.base, "b", "base", "configuration version that the change is based on; 0 is the empty configuration")
	sc.Bool(&p.snapshot, "s", "snapshot", "the file is a complete configuration, not a merge patch")
}

// readFold reads the whole log of the configuration service, applies it to a new Fold and calls verdict
// for each entry.
func readFold(ctx context.Context, address string, verdict func(config.Verdict)) (*config.Fold, error) {
	if address == "" {
		return nil, usageError.New("--platform is missing, for example --platform 127.0.0.1:7100")
	}
	client := platform.New(platform.Config{ConfigAddress: address, ReadsPerS: 50, Burst: 50})
	fold := config.NewFold()
	for after := uint64(0); ; {
		got, err := client.Entries(ctx, after)
		if err != nil {
			return nil, err
		}
		for _, v := range fold.Apply(after, got.Entries) {
			verdict(v)
		}
		if len(got.Entries) == 0 {
			return fold, nil
		}
		if after = got.Entries[len(got.Entries)-1].Number; after >= got.Head {
			return fold, nil
		}
	}
}

// printProblems writes one line for each problem of a configuration.
func printProblems(out io.Writer, ps config.Problems) {
	for _, p := range ps {
		fmt.Fprintln(out, p.String())
	}
}
