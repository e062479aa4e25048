package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/ticket"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// executor holds the tickets of this incarnation and runs the non-idempotent calls made with them.
type executor struct {
	g *Gateway

	mu      sync.Mutex
	table   *ticket.Table
	pending map[uint64]*pendingCall // calls in flight, by ticket sequence number
	running sync.WaitGroup
}

// pendingCall is a call in flight. Its result is returned to the caller that started it; duplicates of the call
// look up the ticket table instead, which may hold less: a long response is not recorded.
type pendingCall struct {
	done     chan struct{} // closed after response or err is set
	response *serviceResponse
	err      *outcome.Error
}

func (ex *executor) issue(n int) ([]string, *outcome.Error) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.table.Issue(ex.g.view.Now(), n)
}

// Len returns the number of ticket records.
func (ex *executor) Len() int {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.table.Len()
}

func (ex *executor) wait() { ex.running.Wait() }

// Running returns the number of tickets whose call is in flight.
func (ex *executor) Running() int {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return len(ex.pending)
}

// ticketCall returns the call that a ticket is bound to on first use. The method is part of the path, so that
// a ticket used with one method never replays its response for another.
func (c *serviceCall) ticketCall() ticket.Call {
	return ticket.Call{Team: c.team, Service: c.service, Path: c.method + " " + c.path, BodyDigest: sha256.Sum256(c.body)}
}

// post runs a non-idempotent call in this process if it issued the ticket, and otherwise forwards the call
// to the process that did, the executor of the ticket.
func (g *Gateway) post(ctx context.Context, call *serviceCall) (*serviceResponse, *outcome.Error) {
	if call.ticket == "" {
		return nil, outcome.Refuse("ticket", outcome.TicketMissing,
			"a non-idempotent call needs the header "+TicketHeader+"; get one at "+
				baseURL(g.cfg.Settings.Gateway.HTTPAddress)+"/v1/addresses?tickets=1")
	}
	target, t, err := ticket.Route(call.ticket, ticket.Self{Host: g.view.Host(), Incarnation: g.view.Incarnation()}, g.lookupExecutor)
	switch target {
	case ticket.Local:
		return g.tickets.execute(ctx, call)
	case ticket.Forward:
		return g.forward(ctx, call, t)
	default:
		return nil, err
	}
}

// lookupExecutor returns the membership state of the gateway on a host.
func (g *Gateway) lookupExecutor(host ident.HostID) ticket.Executor {
	p, ok := g.view.Find(host, settings.RoleGateway)
	if !ok {
		return ticket.Executor{}
	}
	return ticket.Executor{
		Member:      true,
		Reachable:   p.Entry.ControlAddress != "" && g.view.Reachable(host, settings.RoleGateway),
		Incarnation: p.Incarnation,
	}
}

// execute runs a call whose ticket this process issued, or returns the recorded result if it has run before.
func (ex *executor) execute(ctx context.Context, call *serviceCall) (*serviceResponse, *outcome.Error) {
	if err := ex.g.admit(); err != nil {
		return nil, ex.refuse(call, err)
	}
	defer ex.g.release()
	if err := ex.g.chargeTeam(call.team, 0); err != nil {
		return nil, ex.refuse(call, err)
	}
	for {
		decision, p := ex.begin(call)
		switch decision.Action {
		case ticket.Replay:
			r := decision.Response
			return &serviceResponse{status: r.Status, contentType: r.ContentType, body: r.Body}, nil
		case ticket.Refuse:
			return nil, decision.Err
		case ticket.Run:
			traced := obs.FromTraceParent(ex.g.ctx, obs.TraceParent(ctx))
			ex.running.Go(func() { ex.run(traced, call, decision.Sequence, p) })
		}
		if err := ex.await(ctx, call, p); err != nil {
			return nil, err
		}
		if decision.Action == ticket.Run {
			return p.response, p.err
		}
	}
}

func (ex *executor) refuse(call *serviceCall, cause *outcome.Error) *outcome.Error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.table.Refuse(ex.g.view.Now(), call.ticket, call.ticketCall(), cause)
}

// begin asks the ticket table whether to run a call. The pending call is nil unless the call is to be run now
// or is in flight already.
func (ex *executor) begin(call *serviceCall) (ticket.Decision, *pendingCall) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	decision := ex.table.Begin(ex.g.view.Now(), call.ticket, call.ticketCall(), call.deadline)
	switch decision.Action {
	case ticket.Run:
		ex.pending[decision.Sequence] = &pendingCall{done: make(chan struct{})}
	case ticket.Wait:
	default:
		return decision, nil
	}
	return decision, ex.pending[decision.Sequence]
}

// await waits until a call in flight ends or the caller's own deadline passes. A caller that disconnects does
// not cancel the call.
func (ex *executor) await(ctx context.Context, call *serviceCall, p *pendingCall) *outcome.Error {
	t := time.NewTimer(call.deadline - ex.g.view.Now())
	defer t.Stop()
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return outcome.Fail("posting", "", waitReason(ctx.Err()), ctx.Err())
	case <-t.C:
		return outcome.Fail("posting", "", outcome.Deadline, nil)
	}
}

// waitReason returns the reason why the wait for a call ended before the call did.
func waitReason(err error) outcome.Reason {
	if errors.Is(err, context.DeadlineExceeded) {
		return outcome.Deadline
	}
	return outcome.Cancelled
}

// run sends the call of a ticket once and records its outcome in the ticket table.
func (ex *executor) run(ctx context.Context, call *serviceCall, seq uint64, p *pendingCall) {
	resp, cause := ex.send(ctx, call, seq)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	now := ex.g.view.Now()
	switch {
	case cause == nil:
		ex.table.Finish(now, seq, ticket.Response{Status: resp.status, ContentType: resp.contentType, Body: resp.body})
		p.response = resp
	case cause.Kind == outcome.NotRun:
		p.err = ex.table.Burn(now, seq, cause)
	default:
		p.err = ex.table.Fail(now, seq, cause)
		ex.g.log.WithFields(fields{
			"step": cause.Step, "peer": cause.Peer, "reason": string(cause.Reason), "error": cause.Error(),
		}).Warn("posting may have run")
	}
	close(p.done)
	delete(ex.pending, seq)
}

func (ex *executor) send(ctx context.Context, call *serviceCall, seq uint64) (*serviceResponse, *outcome.Error) {
	p, refusal := ex.g.services.acquire(call.service, call.deadline, nil)
	if refusal != nil {
		return nil, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, call.deadline-ex.g.view.Now())
	defer cancel()
	req := call.request(ctx)
	req.Key = call.ticket
	resp, err := p.in.client.Post(ctx, req, func() error { return ex.allowFirstByte(seq) })
	if err != nil {
		e := outcome.From(err, "posting", string(p.in.ID))
		p.release(resultOf(e))
		return nil, e
	}
	p.answered(resp)
	return responseOf(resp), nil
}

// allowFirstByte checks right before the first byte of a call is written that the call may still be sent.
func (ex *executor) allowFirstByte(seq uint64) error {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if err := ex.table.FirstByte(ex.g.view.Now(), seq); err != nil {
		return err // returned only when non-nil: a nil *outcome.Error in an error interface is a non-nil error
	}
	return nil
}

// executorCheckInterval is the time between two checks that the executor of a forwarded call is alive.
const executorCheckInterval = 200 * time.Millisecond

// forward sends a call to the executor of its ticket, without retries.
func (g *Gateway) forward(ctx context.Context, call *serviceCall, t ticket.Ticket) (*serviceResponse, *outcome.Error) {
	if err := g.admit(); err != nil {
		return nil, ticket.AsMayHaveRun(err)
	}
	defer g.release()
	remaining := call.deadline - g.view.Now()
	if remaining < time.Millisecond {
		return nil, outcome.Fail("forward_ticket", string(t.Host), outcome.Deadline, nil)
	}
	p, _ := g.view.Find(t.Host, settings.RoleGateway)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	go g.watchExecutor(ctx, cancel, t)
	r, err := g.view.Control().ForwardTicket(ctx, p.Entry.ControlAddress, &control.ForwardTicketRequest{
		Ticket: call.ticket, Team: call.team, Service: call.service, Method: call.method, Path: call.path,
		ContentType: call.contentType, Body: call.body, RemainingMS: remaining.Milliseconds(),
		TraceParent: obs.TraceParent(ctx),
	})
	if err != nil {
		if g.view.Now() >= call.deadline {
			return nil, outcome.Fail("forward_ticket", string(t.Host), outcome.Deadline, err)
		}
		return nil, ticket.ForwardFailed(t, err)
	}
	return forwardResult(r)
}

// watchExecutor cancels a forwarded call as soon as membership shows that its executor can no longer answer.
func (g *Gateway) watchExecutor(ctx context.Context, cancel context.CancelFunc, t ticket.Ticket) {
	tick := time.NewTicker(executorCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !g.lookupExecutor(t.Host).MayAnswer(t) {
			cancel()
			return
		}
	}
}

func forwardResult(r *control.ForwardTicketReply) (*serviceResponse, *outcome.Error) {
	if kind := outcome.Kind(r.Outcome); kind != outcome.Answered {
		return nil, &outcome.Error{
			Kind: kind, Reason: outcome.Reason(r.Reason), Step: r.Step, Peer: r.Peer, Detail: r.Detail,
			RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		}
	}
	return &serviceResponse{status: r.Status, contentType: r.ContentType, body: r.Body}, nil
}
