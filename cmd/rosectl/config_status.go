package main

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/core/config"
)

func configStatus() *command {
	var address string
	var all bool
	return &command{
		name:     "status",
		summary:  "Fold the log and show the accepted version and the rejected entries",
		examples: `  rosectl config status --platform 127.0.0.1:7100 --all`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&address, "p", "platform", "configuration service, host:port or URL")
			sc.Bool(&all, "a", "all", "show accepted entries too")
		},
		run: func(ctx context.Context, out io.Writer) error {
			fold, err := readFold(ctx, address, func(v config.Verdict) {
				if all || v.Result != config.Accepted {
					fmt.Fprintf(out, "number=%d result=%s reason=%q\n", v.Number, v.Result, v.Reason)
				}
			})
			if err != nil {
				return err
			}
			fmt.Fprintf(out, "accepted_version=%d digest=%s last_number=%d\n", fold.Version(), fold.Digest(), fold.Cursor())
			if c := fold.Config(); c != nil {
				fmt.Fprintf(out, "models=%d teams=%d backend_servers=%d services=%d\n",
					len(c.Models), len(c.Teams), len(c.BackendServers), len(c.Services))
			}
			return nil
		},
	}
}
