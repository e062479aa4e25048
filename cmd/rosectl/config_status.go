package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/node/admin"
)

// Limits of one request to the administration endpoint of a process.
const (
	adminTimeout  = 2 * time.Second
	maxAdminBytes = 64 << 20
)

func configStatus() *command {
	var address, tokenFile string
	var admins []string
	var all bool
	return &command{
		name:    "status",
		summary: "Show the accepted version, rejected entries and the versions that processes hold",
		examples: `  rosectl config status --platform 127.0.0.1:7100 --all
  rosectl config status --platform 127.0.0.1:7100 --token_file admin.token --admin 127.0.0.1:9001 --admin 127.0.0.1:9002`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&address, "p", "platform", "configuration service, host:port or URL")
			sc.Bool(&all, "a", "all", "show accepted entries too")
			sc.StringSlice(&admins, "", "admin", "administration address of a process, may be given more than once")
			sc.String(&tokenFile, "", "token_file", "file with the administration token")
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
			printFold(out, fold)
			if len(admins) == 0 {
				return nil
			}
			token, err := os.ReadFile(tokenFile)
			if err != nil {
				return usageError.New("--token_file: %v", err)
			}
			return compareProcesses(ctx, out, fold, admins, strings.TrimSpace(string(token)))
		},
	}
}

func printFold(out io.Writer, fold *config.Fold) {
	fmt.Fprintf(out, "accepted_version=%d digest=%s last_number=%d\n", fold.Version(), fold.Digest(), fold.Cursor())
	if c := fold.Config(); c != nil {
		fmt.Fprintf(out, "models=%d teams=%d backend_servers=%d services=%d\n",
			len(c.Models), len(c.Teams), len(c.BackendServers), len(c.Services))
	}
}

// compareProcesses prints the version that each process holds. It returns an error if a process can't be
// reached or holds another version than the accepted one.
func compareProcesses(ctx context.Context, out io.Writer, fold *config.Fold, admins []string, token string) error {
	outdated := 0
	for _, a := range admins {
		held, err := fetchConfig(ctx, a, token)
		if err != nil {
			outdated++
			fmt.Fprintf(out, "process=%s error=%q\n", a, err)
			continue
		}
		current := held.Version == fold.Version() && held.Digest == fold.Digest().String()
		if !current {
			outdated++
		}
		fmt.Fprintf(out, "process=%s version=%d current=%t\n", a, held.Version, current)
	}
	if outdated > 0 {
		return checkError.New("%d of %d processes don't hold version %d", outdated, len(admins), fold.Version())
	}
	return nil
}

func fetchConfig(ctx context.Context, address, token string) (held admin.ActiveConfig, err error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/config", nil)
	if err != nil {
		return held, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return held, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return held, fmt.Errorf("GET /v1/config: %s", resp.Status)
	}
	return held, json.NewDecoder(io.LimitReader(resp.Body, maxAdminBytes)).Decode(&held)
}
