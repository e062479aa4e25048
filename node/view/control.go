package view

import (
	"context"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// Handler implements the control calls that both roles serve. The gateway embeds it and overrides
// ForwardTicket.
type Handler struct {
	control.Unsupported
	View *View
}

// ForwardTicket implements control.Handler for a process that issues no tickets.
func (h Handler) ForwardTicket(context.Context, *control.ForwardTicketRequest) (*control.ForwardTicketReply, error) {
	return &control.ForwardTicketReply{
		Outcome: uint8(outcome.MayHaveRun),
		Reason:  string(outcome.ExecutorGone),
		Step:    "forward_ticket",
		Peer:    string(h.View.Host()),
		Detail:  "this process issues no tickets",
	}, nil
}

// ConfigSince implements control.Handler.
func (h Handler) ConfigSince(_ context.Context, req *control.ConfigSinceRequest) (*control.ConfigSinceReply, error) {
	return h.View.ConfigSince(uint64(req.After), req.Limit), nil
}

// Hosts implements control.Handler.
func (h Handler) Hosts(context.Context, *control.HostsRequest) (*control.HostsReply, error) {
	r := &control.HostsReply{}
	if hosts := h.View.Hosts(); hosts != nil {
		r.Hosts = *hosts
	}
	return r, nil
}

// Status implements control.Handler.
func (h Handler) Status(context.Context, *control.StatusRequest) (*control.StatusReply, error) {
	v := h.View
	r := &control.StatusReply{Host: v.Host(), Role: string(v.cfg.Role), Incarnation: v.incarnation, Leaving: v.SelfLeaving()}
	r.Ready, r.NotReady = v.Ready()
	if s := v.Config(); s != nil {
		r.Version, r.Digest = s.Version, s.ShortDigest()
	}
	if hosts := v.Hosts(); hosts != nil {
		r.HostsVersion = hosts.Version
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, l := range v.load {
		r.Load = append(r.Load, control.ModelLoad{Model: l.Model, FreeTokens: l.FreeTokens, QueueDelayMS: l.QueueDelay.Milliseconds()})
	}
	return r, nil
}
