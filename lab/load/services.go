package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

const ticketHeader = "Rosemaryhill-Ticket"

// lookup sends one idempotent call.
func (r *run) lookup(ctx context.Context, c *caller, a arrival, at time.Time) {
	req := request{method: http.MethodGet, path: fmt.Sprintf("%s%d", r.exp.Lookups.Path, a.id)}
	r.rec.add(r.call(ctx, c, a, at, r.exp.Lookups, req))
}

// posting sends one non-idempotent call with a ticket, and repeats some by another caller at once: the
// repeat must end in the same answer or in "may have run", and never run again.
func (r *run) posting(ctx context.Context, c *caller, a arrival, at time.Time) {
	ticket, err := c.ticket(ctx)
	if err != nil {
		r.rec.noTicket(err)
		return
	}
	req := request{
		method: http.MethodPost, path: fmt.Sprintf("%s%d", r.exp.Postings.Path, a.id),
		header: http.Header{ticketHeader: {ticket}}, body: fmt.Sprintf(`{"posting":%d}`, a.id),
	}
	if a.repeat {
		other := r.callers[(a.id+1)%len(r.callers)]
		again := req
		again.skip = 1
		done := make(chan struct{})
		go func() {
			defer close(done)
			e := r.call(ctx, other, a, time.Now(), r.exp.Postings, again)
			e.label, e.ticket = "repeat", ticket
			r.rec.add(e)
		}()
		defer func() { <-done }()
	}
	e := r.call(ctx, c, a, at, r.exp.Postings, req)
	e.ticket = ticket
	r.rec.add(e)
}

// call sends a plain service call and compares a whole answer with the stand-in's.
func (r *run) call(ctx context.Context, c *caller, a arrival, at time.Time, calls ServiceCalls, req request) ended {
	timeout := time.Duration(calls.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(timeout+overtime))
	defer cancel()
	e := ended{kind: a.kind, team: a.team.Name, label: string(a.kind), timeout: timeout}
	path := req.path
	req.path = "/v1/services/" + calls.Service + path
	resp, err := c.do(ctx, req, a.team, time.Until(at.Add(timeout)))
	if err != nil {
		e.lost(err)
	} else {
		defer resp.Body.Close()
		e.fromHeader(resp)
		if e.outcome == outcome.Answered {
			checkAnswer(resp, service.Answer(req.method, path, []byte(req.body)), &e)
		}
	}
	e.took = time.Since(at)
	return e
}

// checkAnswer compares an answer of the service. A status other than 200 is the service's own refusal.
func checkAnswer(resp *http.Response, want []byte, e *ended) {
	var got bytes.Buffer
	if _, err := got.ReadFrom(http.MaxBytesReader(nil, resp.Body, 1<<20)); err != nil {
		e.lost(err)
		return
	}
	if resp.StatusCode == http.StatusOK && !bytes.Equal(got.Bytes(), want) {
		e.broken("answer %q, want %q", got.Bytes(), want)
	}
	if resp.StatusCode != http.StatusOK {
		e.reason = outcome.Reason(fmt.Sprintf("status_%d", resp.StatusCode))
	}
}

// serviceClient returns a client for the stand-ins' own endpoints.
func serviceClient(name, address string) *servicehttp.Client {
	return servicehttp.New(servicehttp.Config{Peer: name, Address: address, MaxResponseBytes: 64 << 20})
}
