package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

func configCheck() *command {
	var p proposal
	return &command{
		name:    "check",
		summary: "Check whether a change would be accepted, without publishing it",
		examples: `  rosectl config check --file config.json
  rosectl config check --platform 127.0.0.1:7100 --base 12 --file patch.json`,
		flags: p.flags,
		run: func(ctx context.Context, out io.Writer) error {
			body, err := p.body()
			if err != nil {
				return err
			}
			if p.platform == "" {
				return p.checkConfig(body, out)
			}
			fold, err := readFold(ctx, p.platform, func(config.Verdict) {})
			if err != nil {
				return err
			}
			return p.check(fold, body, out)
		},
	}
}

func (p *proposal) body() (json.RawMessage, error) {
	if p.file == "" {
		return nil, usageError.New("--file is missing")
	}
	body, err := os.ReadFile(p.file)
	if err != nil {
		return nil, err
	}
	if !json.Valid(body) {
		return nil, checkError.New("%s is not valid JSON", p.file)
	}
	return body, nil
}

func (p *proposal) kind() string {
	if p.snapshot {
		return platformapi.KindSnapshot
	}
	return platformapi.KindPatch
}

// checkConfig validates a complete configuration without the log.
func (p *proposal) checkConfig(body json.RawMessage, out io.Writer) error {
	c, problems := config.Parse(body)
	if len(problems) > 0 {
		printProblems(out, problems)
		return checkError.New("%s has %d mistakes", p.file, len(problems))
	}
	fmt.Fprintf(out, "result=valid models=%d teams=%d backend_servers=%d services=%d\n",
		len(c.Models), len(c.Teams), len(c.BackendServers), len(c.Services))
	return nil
}

// check prints whether the change would be accepted as the next entry of the log, and returns an error if
// it would not.
func (p *proposal) check(fold *config.Fold, body json.RawMessage, out io.Writer) error {
	v := p.verdict(fold, body)
	if v.Result != config.Accepted {
		printProblems(out, v.Problems)
		return checkError.New("the change would be %s: %s (accepted version %d)", v.Result, v.Reason, fold.Version())
	}
	fmt.Fprintf(out, "result=acceptable base=%d\n", p.base)
	return nil
}

// verdict returns the verdict on the change as the next entry of the log. A snapshot that is larger than
// one value is published in parts, so its complete body is validated instead.
func (p *proposal) verdict(fold *config.Fold, body json.RawMessage) config.Verdict {
	if !p.snapshot || len(body) <= config.MaxValueBytes || p.base != uint64(fold.Version()) {
		return fold.Check(p.kind(), p.base, body)
	}
	if _, problems := config.Parse(body); len(problems) > 0 {
		return config.Verdict{Result: config.Rejected, Reason: "the configuration has mistakes", Problems: problems}
	}
	return config.Verdict{Result: config.Accepted}
}
