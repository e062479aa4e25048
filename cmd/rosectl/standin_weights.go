package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/standin/weights"
)

func standinWeights() *command {
	var cfg weights.Config
	var listen string
	return &command{
		name:     "weights",
		summary:  "Weight store with a limited request rate",
		examples: `  rosectl standin weights --listen 127.0.0.1:7102 --requests_per_s 2`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&listen, "l", "listen", "address to listen at, host:port")
			sc.Int(&cfg.Bytes, "", "bytes", "size of the weights of each model; 0 means 1048576")
			sc.Float64(&cfg.RequestsPerS, "", "requests_per_s", "requests above this rate get 429; 0 means 2")
		},
		run: func(ctx context.Context, out io.Writer) error {
			return serve(ctx, "weights", listen, weights.New(cfg), out)
		},
	}
}
