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

// lookup sends one idempotent service call and records the result.
func (r *run) lookup(ctx context.Context, c *caller, a arrival, at time.Time) {
	req := request{method: http.MethodGet, path: fmt.Sprintf("%s%d", r.exp.Lookups.Path, a.id)}
	r.rec.add(r.callService(ctx, c, a, at, r.exp.Lookups, req))
}

// posting sends one non-idempotent service call with a ticket. If the plan says so, a second caller sends
// the same call at the same time: the repeat must end with the same answer or as "may have run", and the
// service must not execute the call again.
func (r *run) posting(ctx context.Context, c *caller, a arrival, at time.Time) {
	ticket, err := c.takeTicket(ctx)
	if err != nil {
		r.rec.countNoTicket(err)
		return
	}
	req := request{
		method: http.MethodPost, path: fmt.Sprintf("%s%d", r.exp.Postings.Path, a.id),
		header: http.Header{ticketHeader: {ticket}}, body: fmt.Sprintf(`{"posting":%d}`, a.id),
	}
	if a.repeat {
		secondCaller := r.callers[(a.id+1)%len(r.callers)]
		repeatReq := req
		repeatReq.skip = 1
		done := make(chan struct{})
		go func() {
			defer close(done)
			e := r.callService(ctx, secondCaller, a, time.Now(), r.exp.Postings, repeatReq)
			e.label, e.ticket = "repeat", ticket
			r.rec.add(e)
		}()
		defer func() { <-done }()
	}
	e := r.callService(ctx, c, a, at, r.exp.Postings, req)
	e.ticket = ticket
	r.rec.add(e)
}

// callService sends a plain service call and compares the answer with the one that the stand-in gives.
func (r *run) callService(ctx context.Context, c *caller, a arrival, at time.Time, calls ServiceCalls, req request) requestResult {
	timeout := time.Duration(calls.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(timeout+lateEndWait))
	defer cancel()
	e := requestResult{kind: a.kind, team: a.team.Name, label: string(a.kind), timeout: timeout}
	path := req.path
	req.path = "/v1/services/" + calls.Service + path
	resp, err := c.do(ctx, req, a.team, time.Until(at.Add(timeout)))
	if err != nil {
		e.setConnectionError(err)
	} else {
		defer resp.Body.Close()
		e.readOutcome(resp)
		if e.outcome == outcome.Answered {
			checkServiceAnswer(resp, service.Answer(req.method, path, []byte(req.body)), &e)
		}
	}
	e.duration = time.Since(at)
	return e
}

// checkServiceAnswer compares the answer with want. A status other than 200 is the service's own refusal
// and is recorded as the reason.
func checkServiceAnswer(resp *http.Response, want []byte, e *requestResult) {
	var got bytes.Buffer
	if _, err := got.ReadFrom(http.MaxBytesReader(nil, resp.Body, 1<<20)); err != nil {
		e.setConnectionError(err)
		return
	}
	if resp.StatusCode == http.StatusOK && !bytes.Equal(got.Bytes(), want) {
		e.addViolation("answer %q, want %q", got.Bytes(), want)
	}
	if resp.StatusCode != http.StatusOK {
		e.reason = outcome.Reason(fmt.Sprintf("status_%d", resp.StatusCode))
	}
}

// serviceClient returns a client for the control endpoints of a stand-in, such as /faults.
func serviceClient(name, address string) *servicehttp.Client {
	return servicehttp.New(servicehttp.Config{Peer: name, Address: address, MaxResponseBytes: 64 << 20})
}
