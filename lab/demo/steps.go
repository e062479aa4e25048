package demo

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/caller"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
)

const questionCount = 40

func (d *demo) client(i int) *caller.Client {
	return caller.New(d.plan.GatewayURL(d.plan.Hosts[i%len(d.plan.Hosts)].ID), team)
}

func (d *demo) addresses(ctx context.Context) (string, error) {
	a, err := d.client(0).Addresses(ctx, model, 1)
	if err != nil {
		return "", err
	}
	if len(a.Addresses) != len(d.plan.Hosts) || len(a.Tickets) != 1 {
		return "", fmt.Errorf("got %d addresses and %d tickets", len(a.Addresses), len(a.Tickets))
	}
	return fmt.Sprintf("%d addresses, nearest in %s, valid for %d ms", len(a.Addresses), a.Addresses[0].AvailabilityZone, a.KeepMS), nil
}

// prompt returns a text of the given number of tokens that starts with name, so that prompts differ.
func prompt(name string, tokens int) string {
	const line = "lot weight in 412 kg, kernels W240 87 kg, husk out 301 kg. "
	return (name + " " + strings.Repeat(line, tokens*4/len(line)+1))[:tokens*4]
}

// ask sends one generation request and compares the answer with the text that the engine stand-ins generate.
func (d *demo) ask(ctx context.Context, i int, text string, output int) (*caller.Answer, error) {
	a, err := d.client(i).Generate(ctx, gateway.GenerateRequest{Model: model, Prompt: text, MaxOutputTokens: output}, 40*time.Second, nil)
	if err != nil {
		return nil, err
	}
	var want strings.Builder
	for n := 1; n <= output; n++ {
		want.WriteString(engine.AnswerTo(text).Token(n))
	}
	if a.Text != want.String() {
		return nil, errors.New("the answer differs from the engine's text")
	}
	return a, nil
}

// askQuestions sends short questions from 4 concurrent callers and returns the sorted times to first token.
func (d *demo) askQuestions(ctx context.Context, name string) ([]time.Duration, error) {
	const callers = 4
	first := make([]time.Duration, questionCount)
	failures := make([]error, questionCount)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < questionCount; i += callers {
				a, err := d.ask(ctx, i, prompt(fmt.Sprintf("%s question %d", name, i), questionTokens), questionOutput)
				if err != nil {
					failures[i] = err
					continue
				}
				first[i] = a.FirstToken
			}
		})
	}
	wg.Wait()
	slices.Sort(first)
	return first, errors.Join(failures...)
}

func describeLatency(first []time.Duration) string {
	p95 := first[len(first)*95/100]
	return fmt.Sprintf("first token p50 %s, p95 %s", first[len(first)/2].Round(time.Millisecond), p95.Round(time.Millisecond))
}

func (d *demo) questionsAlone(ctx context.Context) (string, error) {
	first, err := d.askQuestions(ctx, "alone")
	if err != nil {
		return "", err
	}
	return describeLatency(first), nil
}

func (d *demo) questionsBesideArchive(ctx context.Context) (string, error) {
	type result struct {
		a   *caller.Answer
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := d.ask(ctx, 0, prompt("season archive", archiveTokens), archiveOutput)
		done <- result{a, err}
	}()
	first, err := d.askQuestions(ctx, "beside")
	archive := <-done
	if err := errors.Join(err, archive.err); err != nil {
		return "", err
	}
	return fmt.Sprintf("questions: %s; archive: first token %s, complete after %s", describeLatency(first),
		archive.a.FirstToken.Round(time.Millisecond), archive.a.Total.Round(time.Millisecond)), nil
}

func (d *demo) lookup(ctx context.Context) (string, error) {
	status, answer, err := d.client(0).Service(ctx, "GET", "ledger", "/lots/17", "", nil, 5*time.Second)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("status %d, %d bytes", status, len(answer)), nil
}

// payment sends a posting to one gateway and repeats it at the other, which forwards it to the first as its
// executor.
func (d *demo) payment(ctx context.Context) (string, error) {
	a, err := d.client(0).Addresses(ctx, model, 1)
	if err != nil {
		return "", err
	}
	ticket, body := a.Tickets[0], []byte(`{"sheller":17,"amount_eur":412}`)
	_, first, err := d.client(0).Service(ctx, "POST", "ledger", "/payments", ticket, body, 5*time.Second)
	if err != nil {
		return "", err
	}
	_, second, err := d.client(1).Service(ctx, "POST", "ledger", "/payments", ticket, body, 5*time.Second)
	if err != nil {
		return "", err
	}
	ran := 0
	for _, s := range d.plan.ServiceServers {
		ran += d.c.Service(s.ID).Executions()[ticket]
	}
	if ran != 1 || string(first) != string(second) {
		return "", fmt.Errorf("the payment ran %d times; same answer: %t", ran, string(first) == string(second))
	}
	return "ran once, both callers got the same answer", nil
}

// killDispatcher kills the dispatcher that serves a stream while its tokens arrive.
func (d *demo) killDispatcher(ctx context.Context) (string, error) {
	const output, killAt = 150, 20
	text := prompt("stream across a loss", questionTokens)
	client := d.client(1)
	killed := ""
	a, err := client.Generate(ctx, gateway.GenerateRequest{Model: model, Prompt: text, MaxOutputTokens: output}, 40*time.Second, func(n int) {
		if n == killAt {
			killed = d.killServingDispatcher()
		}
	})
	if err != nil {
		return "", err
	}
	if killed == "" {
		return "", errors.New("no dispatcher had a running attempt")
	}
	return fmt.Sprintf("%s killed at token %d; the caller got all %d tokens in order after %s", killed, killAt, a.Tokens, a.Total.Round(time.Millisecond)), nil
}

// killServingDispatcher kills a dispatcher that has a running attempt and returns its name, or "".
func (d *demo) killServingDispatcher() string {
	for _, h := range d.plan.Hosts {
		name := h.ID + "/dispatcher"
		p, ok := d.c.Role(name)
		if !ok || p.Dispatcher.Status() == nil || p.Dispatcher.Status().Running == 0 {
			continue
		}
		if d.c.Kill(name) == nil {
			return name
		}
	}
	return ""
}
