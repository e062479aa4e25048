package main

import (
	"context"
	"io"

	"github.com/rosemaryhill/rosemaryhill/lab/demo"
)

func demoCommand() *command {
	return &command{
		name:     "demo",
		summary:  "Run a small system on loopback for up to a minute and show what it does",
		examples: `  rosectl demo`,
		run:      func(ctx context.Context, out io.Writer) error { return demo.Run(ctx, out) },
	}
}
