package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

func standinService() *command {
	var cfg service.Config
	var listen string
	return &command{
		name:    "service",
		summary: "Plain service that counts executions by idempotency key",
		examples: `  rosectl standin service --listen 127.0.0.1:7301 --checks_keys
  curl -d '{"reset_after":true,"every":10}' http://127.0.0.1:7301/faults
  curl http://127.0.0.1:7301/executions`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&listen, "l", "listen", "address to listen at, host:port")
			sc.Bool(&cfg.ChecksKeys, "", "checks_keys", "answer a repeated key without executing it again")
			sc.Duration(&cfg.Delay, "", "delay", "duration of each call")
			sc.Int(&cfg.Capacity, "", "capacity", "number of concurrent calls that is reported as full load; 0 means 64")
		},
		run: func(ctx context.Context, out io.Writer) error {
			return serve(ctx, "service", listen, service.New(cfg), out)
		},
	}
}
