package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/standin/hostlist"
)

func standinHostlist() *command {
	var cfg hostlist.Config
	var listen, file string
	return &command{
		name:    "hostlist",
		summary: "List of live and leaving hosts; changes become visible after a lag",
		examples: `  rosectl standin hostlist --listen 127.0.0.1:7101 --hosts hosts.json --lag 2s
  curl -d '{"state":"leaving"}' http://127.0.0.1:7101/hosts/e1`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&listen, "l", "listen", "address to listen at, host:port")
			sc.String(&file, "f", "hosts", `JSON file {"hosts":[...]}`)
			sc.Duration(&cfg.Lag, "", "lag", "delay until a change is visible")
		},
		run: func(ctx context.Context, out io.Writer) error {
			var list platformapi.Hosts
			if file != "" {
				body, err := os.ReadFile(file)
				if err != nil {
					return err
				}
				if err := json.Unmarshal(body, &list); err != nil {
					return usageError.New("%s: %v", file, err)
				}
			}
			return serve(ctx, "hostlist", listen, hostlist.New(cfg, list.Hosts), out)
		},
	}
}
