// Package hedge decides between the attempts of one request at several servers. A server that is silent may be sound, so its
// attempt is kept while another server is tried; the attempt that continues the answer first wins, and the others are
// cancelled.
//
// Invariants: an attempt is closed only when it has failed, when the answer is complete, or when another attempt has
// continued the answer. The caller gets each event once and in order.
package hedge

import "slices"

// maxOpen is the number of attempts that run at the same time: the silent one and the one that may take over.
const maxOpen = 2

// Attempt identifies an attempt of a request, from 1.
type Attempt int

// Verdict says what to do with an event.
type Verdict uint8

// Verdicts.
const (
	Drop    Verdict = iota // the caller has the event, or the attempt is closed
	Deliver                // pass the event to the caller
	Gap                    // an event is missing before it: the attempt has failed
)

// Race holds the attempts of one request. It is not safe for concurrent use.
type Race struct {
	limit      int  // servers that the request may be sent to
	repeatable bool // the request may run at several servers
	gaps       Gaps // where numbers of events may be left out
	last       int64
	delivered  int     // events
	winner     Attempt // whose event was delivered last
	left       bool    // a number has been left out
	opened     Attempt
	sent       int // attempts that were sent or will be
	open       []Attempt
}

// NewRace returns a race without attempts. last is the last event that the caller has, -1 if there is none.
func NewRace(limit int, repeatable bool, last int64, gaps Gaps) *Race {
	return &Race{limit: max(1, limit), repeatable: repeatable, last: last, gaps: gaps}
}

// LeftOut reports whether events that were delivered have left out a number.
func (r *Race) LeftOut() bool { return r.left }

// Last returns the last event that the caller has, -1 if there is none. A new attempt continues after it.
func (r *Race) Last() int64 { return r.last }

// Sent returns the number of attempts that were sent or will be.
func (r *Race) Sent() int { return r.sent }

// Running returns the number of open attempts.
func (r *Race) Running() int { return len(r.open) }

// MayHedge reports whether another attempt may run beside the open one.
func (r *Race) MayHedge() bool {
	return r.repeatable && len(r.open) > 0 && len(r.open) < maxOpen && r.sent < r.limit
}

// Open adds an attempt.
func (r *Race) Open() Attempt {
	r.opened++
	r.sent++
	r.open = append(r.open, r.opened)
	return r.opened
}

// Unsent records that an attempt failed before anything was sent, so that it does not count towards the limit.
func (r *Race) Unsent() { r.sent-- }

// Close removes an attempt that has ended. It reports false if the attempt was closed already, because it lost.
func (r *Race) Close(a Attempt) bool {
	i := slices.Index(r.open, a)
	if i < 0 {
		return false
	}
	r.open = slices.Delete(r.open, i, i+1)
	return true
}

// IsOpen reports whether an attempt is open.
func (r *Race) IsOpen(a Attempt) bool { return slices.Contains(r.open, a) }

// Event decides about an event of an attempt. An attempt whose event is delivered wins: all others are closed and returned,
// and must be cancelled.
func (r *Race) Event(a Attempt, id int64) (v Verdict, losers []Attempt) {
	if !r.IsOpen(a) || id <= r.last {
		return Drop, nil
	}
	if r.last >= 0 && id != r.last+1 {
		if !r.mayLeaveOut(a) {
			return Gap, nil
		}
		r.left = true
	}
	r.last, r.winner = id, a
	r.delivered++
	return Deliver, r.closeOthers(a)
}

// mayLeaveOut reports whether the next event of an attempt may leave out numbers after the last one. Between events of two
// attempts, nothing but the numbers of the stream so far says whether an event is missing.
func (r *Race) mayLeaveOut(a Attempt) bool {
	switch {
	case r.left || r.gaps == Anywhere:
		return true
	case r.gaps == AtFirst:
		return r.delivered == 0 || (r.delivered == 1 && a == r.winner)
	}
	return false
}

func (r *Race) closeOthers(a Attempt) (losers []Attempt) {
	for _, x := range r.open {
		if x != a {
			losers = append(losers, x)
		}
	}
	r.open = []Attempt{a}
	return losers
}
