package scenario

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/caller"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
)

// Team is the team of all requests. Every system under test must configure it.
const Team = "sorters"

// waitMargin is how long a script waits for a request to end after the timeout of the request, and for
// serving to find a running session.
const waitMargin = 5 * time.Second

// streamCall is a generation request that runs in the background.
type streamCall struct {
	prompt  string
	output  int
	timeout time.Duration
	done    chan struct{}
	answer  *caller.Answer
	err     error

	mu     sync.Mutex
	tokens int
}

func (c *streamCall) progress(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens = n
}

func (c *streamCall) delivered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}

func (s *state) client(host string) *caller.Client {
	if _, ok := s.plan.Settings[host]; !ok {
		s.ts.Fatalf("gateway=%s: unknown host", host)
	}
	return caller.New(s.plan.GatewayURL(host), Team)
}

func promptOf(name string, tokens int) string {
	const line = "kernels by grade W240 W320 SW, husk out. "
	return (name + " " + strings.Repeat(line, tokens*4/len(line)+1))[:tokens*4]
}

func (s *state) ask(args []string) {
	o := s.options(args, 1, "gateway", "tokens", "output", "timeout", "class")
	name := arg(s, args, 0)
	c := &streamCall{
		prompt: promptOf(name, s.number(o["tokens"], 200)), output: s.number(o["output"], 50),
		timeout: s.timeout(o["timeout"], 30*time.Second), done: make(chan struct{}),
	}
	s.streams[name] = c
	client := s.client(o["gateway"])
	go func() {
		defer close(c.done)
		c.answer, c.err = client.Generate(s.ctx, gateway.GenerateRequest{
			Model: s.model(), Prompt: c.prompt, MaxOutputTokens: c.output, Class: o["class"],
		}, c.timeout, c.progress)
	}()
}

func (s *state) stream(name string) *streamCall {
	c := s.streams[name]
	if c == nil {
		s.ts.Fatalf("no generation request is named %q", name)
	}
	return c
}

func (s *state) at(args []string) {
	c, n := s.stream(arg(s, args, 0)), s.number(arg(s, args, 1), 0)
	s.eventually(c.timeout, func() error {
		select {
		case <-c.done:
			if c.delivered() < n {
				return fmt.Errorf("ended at token %d: %v", c.delivered(), c.err)
			}
		default:
		}
		if got := c.delivered(); got < n {
			return fmt.Errorf("%d of %d tokens", got, n)
		}
		return nil
	})
}

func (s *state) wait(name string, done <-chan struct{}, timeout time.Duration) {
	select {
	case <-done:
	case <-time.After(timeout + waitMargin):
		s.ts.Fatalf("%s did not end within its timeout of %s plus %s", name, timeout, waitMargin)
	}
}

// whole compares the text too, so that it fails for a resumed stream with a token that is missing, repeated
// or from another stream.
func (s *state) whole(args []string) {
	name := arg(s, args, 0)
	c := s.stream(name)
	s.wait(name, c.done, c.timeout)
	s.check(c.check())
	s.ts.Logf("%s: complete, %d tokens, first after %s, ended after %s", name, c.answer.Tokens, c.answer.FirstToken, c.answer.Total)
}

func (c *streamCall) check() error {
	if c.err != nil {
		return c.err
	}
	var want strings.Builder
	expected := engine.AnswerTo(c.prompt)
	for n := 1; n <= c.output; n++ {
		want.WriteString(expected.Token(n))
	}
	if c.answer.Tokens != c.output || c.answer.Text != want.String() {
		return fmt.Errorf("got %d of %d tokens, or a text that differs from the engine's", c.answer.Tokens, c.output)
	}
	return nil
}

func (s *state) ended(args []string) {
	name, outcome, reason := arg(s, args, 0), arg(s, args, 1), arg(s, args, 2)
	var err error
	if c := s.streams[name]; c != nil {
		s.wait(name, c.done, c.timeout)
		err = c.err
	} else {
		c := s.call(name)
		s.wait(name, c.done, c.timeout)
		err = c.err
	}
	var r *caller.Refusal
	if !errors.As(err, &r) {
		s.ts.Fatalf("%s ended with %v, want %s %s", name, err, outcome, reason)
	}
	if r.Outcome != outcome || string(r.Reason) != reason {
		s.ts.Fatalf("%s ended with %v, want %s %s", name, r, outcome, reason)
	}
}

// serviceCall is a call to a plain service that runs in the background.
type serviceCall struct {
	timeout time.Duration
	done    chan struct{}
	status  int
	answer  string
	err     error
}

func (s *state) call(name string) *serviceCall {
	c := s.calls[name]
	if c == nil {
		s.ts.Fatalf("no service call is named %q", name)
	}
	return c
}

func (s *state) ticket(args []string) {
	o := s.options(args, 1, "gateway")
	a, err := s.client(o["gateway"]).Addresses(s.ctx, string(s.model()), 1)
	s.check(err)
	if len(a.Tickets) != 1 {
		s.ts.Fatalf("got %d tickets, want 1", len(a.Tickets))
	}
	s.tickets[arg(s, args, 0)] = a.Tickets[0]
}

func (s *state) post(args []string) {
	o := s.options(args, 1, "gateway", "ticket", "service", "path", "body", "timeout")
	ticket, ok := s.tickets[o["ticket"]]
	if !ok {
		s.ts.Fatalf("ticket=%s: no ticket command has fetched it", o["ticket"])
	}
	s.send(arg(s, args, 0), "POST", ticket, o)
}

func (s *state) lookup(args []string) {
	s.send(arg(s, args, 0), "GET", "", s.options(args, 1, "gateway", "service", "path", "timeout"))
}

func (s *state) send(name, method, ticket string, o map[string]string) {
	if o["service"] == "" {
		o["service"] = "ledger"
	}
	if o["path"] == "" {
		o["path"] = "/lots/17"
	}
	c := &serviceCall{timeout: s.timeout(o["timeout"], 10*time.Second), done: make(chan struct{})}
	s.calls[name] = c
	client := s.client(o["gateway"])
	go func() {
		defer close(c.done)
		var body []byte
		if o["body"] != "" {
			body = []byte(o["body"])
		}
		status, answer, err := client.Service(s.ctx, method, o["service"], o["path"], ticket, body, c.timeout)
		c.status, c.answer, c.err = status, string(answer), err
	}()
}

func (s *state) answered(args []string) {
	name := arg(s, args, 0)
	c := s.call(name)
	s.wait(name, c.done, c.timeout)
	s.check(c.err)
	if c.status != 200 {
		s.ts.Fatalf("%s: status %d", name, c.status)
	}
}

func (s *state) same(args []string) {
	s.answered(args[:1])
	s.answered(args[1:])
	if a, b := s.call(args[0]).answer, s.call(args[1]).answer; a != b {
		s.ts.Fatalf("answers differ: %q, %q", a, b)
	}
}
