package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// publishTimeout is the timeout of one publish request.
const publishTimeout = 5 * time.Second

func configPublish() *command {
	var p proposal
	var unchecked bool
	return &command{
		name:    "publish",
		summary: "Check a change against the log, publish it and report whether it was accepted",
		examples: `  rosectl config publish --platform 127.0.0.1:7100 --base 0 --snapshot --file config.json
  rosectl config publish --platform 127.0.0.1:7100 --base 12 --file patch.json`,
		flags: func(sc *flaggy.Subcommand) {
			p.flags(sc)
			sc.Bool(&unchecked, "", "unchecked", "publish even if the change would be rejected")
		},
		run: func(ctx context.Context, out io.Writer) error {
			body, err := p.body()
			if err != nil {
				return err
			}
			fold, err := readFold(ctx, p.platform, func(config.Verdict) {})
			if err != nil {
				return err
			}
			if err := p.check(fold, body, out); err != nil && !unchecked {
				return err
			}
			number, err := p.publish(ctx, body)
			if err != nil {
				return err
			}
			logrus.WithFields(logrus.Fields{"number": number, "base": p.base, "kind": p.kind()}).Info("published")
			return p.confirm(ctx, number, out)
		},
	}
}

// publish publishes the change and returns the number of the last entry. A snapshot that is larger than
// one value is published in parts.
func (p *proposal) publish(ctx context.Context, body json.RawMessage) (number uint64, err error) {
	parts := []json.RawMessage{body}
	if p.snapshot && len(body) > config.MaxValueBytes {
		if parts, err = splitSnapshot(body); err != nil {
			return 0, err
		}
	}
	for i, part := range parts {
		e := platformapi.Entry{Kind: p.kind(), Base: p.base, Body: part}
		if len(parts) > 1 {
			e.Part, e.Parts = i+1, len(parts)
		}
		if number, err = publishEntry(ctx, p.platform, e); err != nil {
			return 0, err
		}
	}
	return number, nil
}

func publishEntry(ctx context.Context, address string, e platformapi.Entry) (uint64, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	body, err := json.Marshal(e)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/config/publish", bytes.NewReader(body))
	if err != nil {
		return 0, usageError.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, fmt.Errorf("publish: %w; the change may have been published, see rosectl config status", err)
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("publish: status %d: %s", resp.StatusCode, bytes.TrimSpace(answer))
	}
	var got struct {
		Number uint64 `json:"number"`
	}
	if err := json.Unmarshal(answer, &got); err != nil {
		return 0, fmt.Errorf("publish: %w", err)
	}
	return got.Number, nil
}

// confirm reads the log again and reports whether the entry was accepted, because another operator may
// have published first.
func (p *proposal) confirm(ctx context.Context, number uint64, out io.Writer) error {
	verdict := config.Verdict{Result: config.Missing, Reason: "the replica doesn't have the entry yet"}
	_, err := readFold(ctx, p.platform, func(v config.Verdict) {
		if v.Number == number {
			verdict = v
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "number=%d result=%s\n", number, verdict.Result)
	if verdict.Result != config.Accepted {
		return checkError.New("entry %d is %s: %s", number, verdict.Result, verdict.Reason)
	}
	return nil
}
