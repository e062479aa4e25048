// Package demo runs a small system in one process on loopback and shows its main features: short questions
// beside an archive that needs the memory of more than one engine, a posting that is repeated, a
// dispatcher that is killed during a stream, and a change of the configuration.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// Error is the class of all errors of this package.
var Error = errs.Class("demo")

const (
	// runTimeout limits the whole run.
	runTimeout = 55 * time.Second
	model      = "lot-reader"
	team       = "line-sorters"

	// Sizes in tokens.
	engineMemory   = 120_000
	archiveTokens  = 250_000 // more than two engines hold
	archiveOutput  = 200
	questionTokens = 400
	questionOutput = 20
)

// spec returns a region with two availability zones, each with an entry host, a group of three engines and
// a ledger server.
func spec() cluster.Spec {
	e := engine.Config{MemoryTokens: engineMemory, PrefillTokensPerS: 60_000, DecodeTokensPerS: 60}
	return cluster.Spec{
		Region: "be-central",
		Hosts:  []cluster.HostSpec{{ID: "leuven-1", Zone: "leuven"}, {ID: "mechelen-1", Zone: "mechelen"}},
		Groups: []cluster.GroupSpec{
			{Name: "leuven-engines", Zone: "leuven", Engines: 3, Engine: e},
			{Name: "mechelen-engines", Zone: "mechelen", Engines: 3, Engine: e},
		},
		Services: []cluster.ServiceSpec{
			{ID: "ledger-1", Name: "ledger", Zone: "leuven", Service: service.Config{Delay: 20 * time.Millisecond}},
			{ID: "ledger-2", Name: "ledger", Zone: "mechelen", Service: service.Config{Delay: 20 * time.Millisecond}},
		},
		Model: model, MaxPromptTokens: 300_000,
		Teams:  map[ident.Team]config.Team{team: {RatePerS: 200, TokensPerS: 2_000_000, Priority: 10}},
		KeepMS: 500,
	}
}

// demo is one run of the demo and the rows of its result table.
type demo struct {
	c     *cluster.Cluster
	plan  *cluster.Plan
	began time.Time
	rows  []row
}

// row is one line of the result table.
type row struct {
	at, took     time.Duration
	what, result string
}

// step is one step of the run. run returns a description of what happened.
type step struct {
	what string
	run  func(context.Context) (result string, err error)
}

// Run starts the system, runs the steps and prints a table with their times and results. It returns an error
// if a step doesn't have the result that the system guarantees.
func Run(ctx context.Context, out io.Writer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	plan, err := cluster.NewPlan(spec())
	if err != nil {
		return Error.Wrap(err)
	}
	d := &demo{plan: plan, began: time.Now()}
	if d.c, err = cluster.Start(plan, nil); err != nil {
		return Error.New("start: %w", err)
	}
	defer func() { err = errs.Combine(err, Error.Wrap(d.c.Close())) }()
	for _, s := range d.steps() {
		if err := d.step(ctx, s); err != nil {
			return errs.Combine(d.print(out), Error.New("%s: %w", s.what, err))
		}
	}
	return Error.Wrap(d.print(out))
}

func (d *demo) steps() []step {
	return []step{
		{"start 2 gateways, 2 dispatchers, 6 engines, 2 ledgers", d.ready},
		{"request addresses and a ticket", d.addresses},
		{"40 short questions on an idle system", d.questionsAlone},
		{"an archive of 250,000 tokens with 40 short questions beside it", d.questionsBesideArchive},
		{"look up a lot in the ledger", d.lookup},
		{"post one payment, and repeat it at the other gateway", d.payment},
		{"publish a patch of the configuration", d.patch},
		{"kill a dispatcher during a stream", d.killDispatcher},
	}
}

func (d *demo) step(ctx context.Context, s step) error {
	at := time.Since(d.began)
	result, err := s.run(ctx)
	if err != nil {
		result = "FAILED: " + err.Error()
	}
	d.rows = append(d.rows, row{at: at, took: time.Since(d.began) - at, what: s.what, result: result})
	return err
}

func (d *demo) print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "AT\tTOOK\tWHAT\tRESULT")
	for _, r := range d.rows {
		fmt.Fprintf(w, "%.2f s\t%.2f s\t%s\t%s\n", r.at.Seconds(), r.took.Seconds(), r.what, r.result)
	}
	return w.Flush()
}

func (d *demo) ready(ctx context.Context) (string, error) {
	if err := d.plan.WaitReady(ctx); err != nil {
		return "", err
	}
	return "all ready, and each sees all others as alive", nil
}

func (d *demo) patch(ctx context.Context) (string, error) {
	const base = 1
	body, err := json.Marshal(map[string]any{"teams": map[string]any{"night-audit": map[string]any{
		"rate_per_s": 5, "tokens_per_s": 600_000, "priority": 50}}})
	if err != nil {
		return "", err
	}
	published := time.Now()
	number := d.c.Publish(base, body)
	for _, h := range d.plan.Hosts {
		for _, role := range []string{"/gateway", "/dispatcher"} {
			p, ok := d.c.Role(h.ID + role)
			if !ok {
				continue
			}
			for s := p.View.Config(); uint64(s.Version) != number; s = p.View.Config() {
				if err := waitPollInterval(ctx); err != nil {
					return "", fmt.Errorf("%s%s uses configuration version %d, want %d: %w", h.ID, role, s.Version, number, err)
				}
			}
		}
	}
	return fmt.Sprintf("version %d in use by all 4 processes after %s", number, time.Since(published).Round(time.Millisecond)), nil
}

// waitPollInterval waits 5 ms between two polls, or returns the error of the context if it ends first.
func waitPollInterval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(5 * time.Millisecond):
		return nil
	}
}
