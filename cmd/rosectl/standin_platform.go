package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/standin/platform"
)

func standinPlatform() *command {
	var cfg platform.Config
	var listen, snapshot string
	return &command{
		name:    "platform",
		summary: "Configuration service: numbered entries, watch, publish, 429 above the read rate",
		examples: `  rosectl standin platform --listen 127.0.0.1:7100 --snapshot config.json
  curl -d '{"outage":true}' http://127.0.0.1:7100/faults`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&listen, "l", "listen", "address to listen at, host:port")
			sc.String(&snapshot, "s", "snapshot", "JSON file that is published as the first entry")
			sc.Float64(&cfg.ReadsPerS, "", "reads_per_s", "reads above this rate get 429; 0 means 2000")
		},
		run: func(ctx context.Context, out io.Writer) error {
			s := platform.New(cfg)
			if snapshot != "" {
				body, err := os.ReadFile(snapshot)
				if err != nil {
					return err
				}
				if !json.Valid(body) {
					return usageError.New("%s is not valid JSON", snapshot)
				}
				n := s.Publish(platformapi.Entry{Kind: platformapi.KindSnapshot, Body: body})
				fmt.Fprintf(out, "published=%d\n", n)
			}
			return serve(ctx, "platform", listen, s, out)
		},
	}
}
