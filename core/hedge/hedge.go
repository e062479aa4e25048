// Package hedge decides between the attempts of one request at several servers. A server that is silent may be sound, so its
// attempt is kept while another server is tried; the attempt that continues the answer first wins, and the others are
// cancelled.
//
// Invariants: an attempt is closed only when it has failed, when the answer is complete, or when another attempt has
// continued the answer. The caller gets each event once and in order. An event is delivered only if the one before it, in the
// answer of its own server, is the last one that the caller has.
package hedge

// maxOpen is the number of attempts that run at the same time: the silent one and the one that may take over.
const maxOpen = 2

// Attempt identifies an attempt of a request, from 1.
type Attempt int

// Verdict says what to do with an event.
type Verdict uint8

// Verdicts.
const (
	Drop    Verdict = iota // the caller has the event, or the attempt is closed
	Deliver                // pass the event to the caller, after one that is held
	Hold                   // keep the event: the next one of the attempt shows whether an event is missing before it
	Gap                    // it does not continue the answer: the attempt has failed
)

// Race holds the attempts of one request. It is not safe for concurrent use.
type Race struct {
	limit      int  // servers that the request may be sent to
	repeatable bool // the request may run at several servers
	last       int64
	delivered  int     // events
	winner     Attempt // whose event was delivered last
	left       bool    // a number has been left out
	doubted    bool    // an attempt has left out numbers right after last
	sent       int     // attempts that were sent or will be
	running    int     // open attempts
	attempts   []*runner
}

// runner is an attempt with what its server has sent.
type runner struct {
	id       Attempt
	open     bool
	gaps     Gaps  // by earlier streams
	position int64 // the last event of its server, before that the one after which the server was asked to continue
	events   int   // that its server has sent
	left     bool  // these leave out numbers
	held     bool  // its first event is held
}

// NewRace returns a race without attempts. last is the last event that the caller has, -1 if there is none.
func NewRace(limit int, repeatable bool, last int64) *Race {
	return &Race{limit: max(1, limit), repeatable: repeatable, last: last}
}

// Numbers returns how many numbered events the server of an attempt has sent, and whether they left numbers out.
func (r *Race) Numbers(a Attempt) (events int, leftOut bool) {
	x := r.attempts[a-1]
	return x.events, x.left
}

// Last returns the last event that the caller has, -1 if there is none. A new attempt continues after it.
func (r *Race) Last() int64 { return r.last }

// Sent returns the number of attempts that were sent or will be.
func (r *Race) Sent() int { return r.sent }

// Running returns the number of open attempts.
func (r *Race) Running() int { return r.running }

// MayHedge reports whether another attempt may run beside the open one.
func (r *Race) MayHedge() bool {
	return r.repeatable && r.running > 0 && r.running < maxOpen && r.sent < r.limit
}

// Open adds an attempt, which continues after the last event that the caller has. gaps says how its server numbers events.
func (r *Race) Open(gaps Gaps) Attempt {
	id := Attempt(len(r.attempts) + 1)
	r.sent++
	r.running++
	r.attempts = append(r.attempts, &runner{id: id, open: true, gaps: gaps, position: r.last})
	return id
}

// Unsent records that an attempt failed before anything was sent, so that it does not count towards the limit.
func (r *Race) Unsent() { r.sent-- }

// Close closes an attempt that has ended. It reports false if the attempt was closed already, because it lost.
func (r *Race) Close(a Attempt) bool {
	if !r.IsOpen(a) {
		return false
	}
	r.attempts[a-1].open = false
	r.running--
	return true
}

// IsOpen reports whether an attempt is open.
func (r *Race) IsOpen(a Attempt) bool {
	return a >= 1 && int(a) <= len(r.attempts) && r.attempts[a-1].open
}

// Event decides about an event of an attempt. An attempt whose event is delivered wins: all others are closed and returned,
// and must be cancelled.
func (r *Race) Event(a Attempt, id int64) (v Verdict, losers []Attempt) {
	if !r.IsOpen(a) {
		return Drop, nil
	}
	x := r.attempts[a-1]
	before := x.advance(id)
	switch {
	case id <= r.last:
		return Drop, nil
	case x.held && !x.left:
		return Gap, nil // its numbers are consecutive otherwise
	case !x.held && r.last >= 0 && before != r.last:
		return Gap, nil // it may contain tokens that the caller has from another server
	case !x.held && !r.mayFollow(x, id):
		x.held, r.doubted = true, true
		return Hold, nil
	}
	r.left = r.left || (r.last >= 0 && id != r.last+1)
	r.delivered++
	if x.held {
		x.held = false
		r.delivered++
	}
	r.last, r.winner, r.doubted = id, a, false
	return Deliver, r.closeOthers(a)
}

// Holds reports whether an event of an attempt is held.
func (r *Race) Holds(a Attempt) bool { return r.attempts[a-1].held }

// advance records an event of the server and returns the one before it.
func (x *runner) advance(id int64) (before int64) {
	before = x.position
	x.events++
	if x.events == 1 {
		x.position = id // a server may begin before the event after which it was asked to continue
		return before
	}
	x.left = x.left || id > x.position+1
	x.position = max(x.position, id)
	return before
}

// mayFollow reports whether an event may follow the last one, which is the one before it in the answer of its server or the
// one after which this was asked to continue. Within an answer the transport loses nothing, so its server has left out the
// numbers. At the change to another server, earlier events must show that numbers are left out, or a second server.
func (r *Race) mayFollow(x *runner, id int64) bool {
	switch {
	case r.last < 0 || id == r.last+1 || x.id == r.winner:
		return true
	case r.left || r.doubted || x.gaps == Anywhere:
		return true
	}
	return x.gaps == Unknown && r.delivered == 0
}

func (r *Race) closeOthers(winner Attempt) (losers []Attempt) {
	for _, x := range r.attempts {
		if x.id != winner && r.Close(x.id) {
			losers = append(losers, x.id)
		}
	}
	return losers
}
