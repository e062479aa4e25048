package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// Control handles the control calls of other processes.
type Control struct {
	view.Handler
	gateway *Gateway
}

// Control returns the handler for the control server of this process.
func (g *Gateway) Control() Control { return Control{Handler: view.Handler{View: g.view}, gateway: g} }

// ForwardTicket implements control.Handler: this process is the executor of the ticket.
func (c Control) ForwardTicket(ctx context.Context, req *control.ForwardTicketRequest) (*control.ForwardTicketReply, error) {
	g := c.gateway
	call := &serviceCall{
		team: req.Team, service: req.Service, method: req.Method, path: req.Path, contentType: req.ContentType,
		body: req.Body, ticket: req.Ticket,
		deadline: g.view.ReceivedAt() + time.Duration(req.RemainingMS)*time.Millisecond,
	}
	resp, err := g.tickets.execute(obs.FromTraceParent(ctx, req.TraceParent), call)
	if errors.Is(ctx.Err(), context.Canceled) {
		// This process is closing, so a reply would say nothing about the call. At the deadline a reply must
		// be sent: without it, a forwarding gateway whose clock is slightly behind would report this executor
		// as unreachable.
		return nil, ctx.Err()
	}
	if err != nil {
		detail := err.Detail
		if detail == "" && err.Err != nil {
			detail = err.Err.Error()
		}
		return &control.ForwardTicketReply{
			Outcome: uint8(err.Kind), Reason: string(err.Reason), Step: err.Step, Peer: err.Peer, Detail: detail,
			RetryAfterMS: err.RetryAfter.Milliseconds(),
		}, nil
	}
	return &control.ForwardTicketReply{
		Outcome: uint8(outcome.Answered), Status: resp.status, ContentType: resp.contentType, Body: resp.body,
	}, nil
}
