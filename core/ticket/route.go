package ticket

import (
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Executor is what membership knows about the host that a ticket names.
type Executor struct {
	Member      bool              // the host is in membership
	Reachable   bool              // it isn't suspected or cut off
	Incarnation ident.Incarnation // newest known; zero when unknown
}

// MayAnswer tells whether the executor of t may still answer a call that was forwarded to it. An
// incarnation that is not known yet says nothing against it.
func (x Executor) MayAnswer(t Ticket) bool {
	return x.Member && x.Reachable && (x.Incarnation == 0 || x.Incarnation == t.Incarnation)
}

// Target tells a gateway where a call with a ticket goes.
type Target uint8

// Targets.
const (
	Reject  Target = iota // answer with the error
	Local                 // ask the own Table
	Forward               // forward to the executor, once
)

// Self identifies the asking gateway.
type Self struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// Route decides where a call with a ticket goes. The executor's address comes from membership, never
// from the ticket. A gateway that isn't the executor says "not run" only for a text that is no ticket.
func Route(text string, self Self, lookup func(ident.HostID) Executor) (Target, Ticket, *outcome.Error) {
	t, err := Parse(text)
	if err != nil {
		return Reject, t, err
	}
	if t.Host == self.Host {
		if t.Incarnation != self.Incarnation {
			return Reject, t, gone(t, "this host was restarted since it issued the ticket")
		}
		return Local, t, nil
	}
	x := lookup(t.Host)
	switch {
	case !x.Member:
		return Reject, t, gone(t, "the host that issued the ticket is not in membership")
	case x.Incarnation != 0 && x.Incarnation != t.Incarnation:
		return Reject, t, gone(t, "the host was restarted since it issued the ticket")
	case !x.Reachable:
		return Reject, t, ForwardFailed(t, nil)
	}
	return Forward, t, nil
}

// ForwardFailed is the end of a call whose executor couldn't be asked or didn't answer in time. The
// request isn't passed on later.
func ForwardFailed(t Ticket, cause error) *outcome.Error {
	e := mayHaveRun(outcome.ExecutorUnreachable, "the host that issued the ticket does not answer")
	e.Peer = string(t.Host)
	e.Err = cause
	return e
}

// AsMayHaveRun turns a refusal for a reason outside the table into the end that a gateway other than the
// executor may tell for a call with a ticket: the key may be running at its executor.
func AsMayHaveRun(cause *outcome.Error) *outcome.Error {
	e := *cause
	e.Kind = outcome.MayHaveRun
	return &e
}

func gone(t Ticket, detail string) *outcome.Error {
	e := mayHaveRun(outcome.ExecutorGone, detail)
	e.Peer = string(t.Host)
	return e
}
