package scenario

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/caller"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
)

const (
	loadTokens        = 100 // in each prompt
	loadOutput        = 10  // tokens
	postingInterval   = 4   // one of this many requests of a caller is a posting
	maxListedFailures = 20
)

// load is a group of callers that send requests until the load ends. Each follows the caller interface: it
// uses an address for the keep time given with it and then fetches the addresses again.
type load struct {
	s        *state
	stop     context.CancelFunc
	callers  sync.WaitGroup
	answered atomic.Int64

	mu       sync.Mutex
	failures []string
}

func (s *state) load(args []string) {
	o := s.options(args, 1, "callers")
	ctx, stop := context.WithCancel(s.ctx)
	l := &load{s: s, stop: stop}
	s.loads[arg(s, args, 0)] = l
	for i := range s.number(o["callers"], 4) {
		l.callers.Go(func() { l.run(ctx, i) })
	}
}

func (s *state) loadEnd(args []string) {
	o := s.options(args, 1, "min")
	l := s.loads[arg(s, args, 0)]
	l.stop()
	l.callers.Wait()
	if n := len(l.failures); n > 0 {
		s.ts.Fatalf("%d of %d requests failed:\n%s", n, int(l.answered.Load())+n, strings.Join(l.failures[:min(n, maxListedFailures)], "\n"))
	}
	if want := s.number(o["min"], 1); int(l.answered.Load()) < want {
		s.ts.Fatalf("only %d requests were answered, at least %d were expected", l.answered.Load(), want)
	}
	s.ts.Logf("%d requests answered, none failed", l.answered.Load())
}

// run sends requests one after another until the load ends. A request in progress at the end is completed.
func (l *load) run(ctx context.Context, i int) {
	hosts := l.s.plan.Hosts
	url := l.s.plan.GatewayURL(hosts[i%len(hosts)].ID)
	var until time.Time
	var tickets []string
	for n := 0; ctx.Err() == nil; n++ {
		if time.Now().After(until) || len(tickets) == 0 {
			a, err := caller.New(url, Team).Addresses(l.s.ctx, l.s.plan.Model, 16)
			if err != nil || len(a.Addresses) == 0 {
				l.fail("addresses at %s: %v", url, err)
				return
			}
			url = a.Addresses[0].URL
			// A tenth of the keep time is left for the request itself.
			until = time.Now().Add(time.Duration(a.KeepMS) * time.Millisecond * 9 / 10)
			tickets = a.Tickets
		}
		if n%postingInterval == postingInterval-1 && len(tickets) > 0 {
			l.post(url, tickets[0])
			tickets = tickets[1:]
			continue
		}
		l.ask(url, fmt.Sprintf("caller %d question %d", i, n))
	}
}

func (l *load) ask(url, name string) {
	c := &streamCall{prompt: promptOf(name, loadTokens), output: loadOutput}
	c.answer, c.err = caller.New(url, Team).Generate(l.s.ctx, gateway.GenerateRequest{
		Model: l.s.model(), Prompt: c.prompt, MaxOutputTokens: loadOutput,
	}, 20*time.Second, nil)
	if err := c.check(); err != nil {
		l.fail("%s at %s: %v", name, url, err)
		return
	}
	l.answered.Add(1)
}

func (l *load) post(url, ticket string) {
	status, _, err := caller.New(url, Team).Service(l.s.ctx, "POST", "ledger", "/payments", ticket, []byte(ticket), 10*time.Second)
	if err != nil || status != 200 {
		l.fail("posting at %s: status %d: %v", url, status, err)
		return
	}
	l.answered.Add(1)
}

func (l *load) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = append(l.failures, fmt.Sprintf(format, args...))
}
