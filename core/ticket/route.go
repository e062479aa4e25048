package ticket

import (
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Executor is the membership information about the host that a ticket names.
type Executor struct {
	Member      bool              // the host is in membership
	Reachable   bool              // the host is neither suspected nor unreachable
	Incarnation ident.Incarnation // newest known; zero when unknown
}

// MayAnswer reports whether the executor of t may still answer a call that was forwarded to it. As
// long as the host's incarnation is unknown, it is assumed to match the ticket's.
func (x Executor) MayAnswer(t Ticket) bool {
	return x.Member && x.Reachable && (x.Incarnation == 0 || x.Incarnation == t.Incarnation)
}

// Target is where a gateway sends a call with a ticket.
type Target uint8

// Targets.
const (
	Reject  Target = iota // return the error to the caller
	Local                 // use this gateway's Table
	Forward               // forward to the executor, once
)

// Self identifies the gateway that calls Route.
type Self struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// Route decides where a call with a ticket goes. The executor's address comes from membership, never
// from the ticket. A gateway that isn't the executor returns "not run" only for a text that isn't a
// ticket.
func Route(text string, self Self, lookup func(ident.HostID) Executor) (Target, Ticket, *outcome.Error) {
	t, err := Parse(text)
	if err != nil {
		return Reject, t, err
	}
	if t.Host == self.Host {
		if t.Incarnation != self.Incarnation {
			return Reject, t, executorGone(t, "this host was restarted since it issued the ticket")
		}
		return Local, t, nil
	}
	x := lookup(t.Host)
	switch {
	case !x.Member:
		return Reject, t, executorGone(t, "the host that issued the ticket is not in membership")
	case x.Incarnation != 0 && x.Incarnation != t.Incarnation:
		return Reject, t, executorGone(t, "the host was restarted since it issued the ticket")
	case !x.Reachable:
		return Reject, t, ForwardFailed(t, nil)
	}
	return Forward, t, nil
}

// ForwardFailed returns the error for a call whose executor couldn't be reached or didn't answer in
// time. The call isn't forwarded again later.
func ForwardFailed(t Ticket, cause error) *outcome.Error {
	e := mayHaveRun(outcome.ExecutorUnreachable, "the host that issued the ticket does not answer")
	e.Peer = string(t.Host)
	e.Err = cause
	return e
}

// AsMayHaveRun returns a copy of cause that ends "may have run". A gateway other than the executor uses
// it to refuse a call for a reason outside the table, because the call may be running at the executor.
func AsMayHaveRun(cause *outcome.Error) *outcome.Error {
	e := *cause
	e.Kind = outcome.MayHaveRun
	return &e
}

func executorGone(t Ticket, detail string) *outcome.Error {
	e := mayHaveRun(outcome.ExecutorGone, detail)
	e.Peer = string(t.Host)
	return e
}
