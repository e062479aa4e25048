package ticket

import (
	"container/heap"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// record is the state of one ticket. writeAllowed is set when the first byte is allowed; from then on
// the call may have run.
type record struct {
	seq          uint64
	state        State
	writeAllowed bool
	bound        bool
	responseHeld bool // response is recorded in full
	call         Call
	expiry       time.Duration
	deadline     time.Duration
	removeAt     time.Duration
	response     Response
	endErr       *outcome.Error // set in states Unknown and Burned
}

func (r *record) bind(c Call) {
	r.bound = true
	r.call = c
}

// burn makes sure that the call never runs. It keeps an error for retries and returns the error for the
// current caller. The state changes before "not run" is returned to anyone.
func (t *Table) burn(now time.Duration, r *record, cause *outcome.Error) *outcome.Error {
	r.state = Burned
	t.startRetention(now, r)
	e := *cause
	e.Kind = outcome.NotRun
	repeated := e
	if e.Reason != outcome.TicketExpired {
		repeated.Reason = outcome.TicketBurned
		repeated.Detail = "ended before with " + string(e.Reason)
	}
	r.endErr = &repeated
	return &e
}

// endError returns the error for a call that has ended, for a caller that can't get the recorded response.
func (r *record) endError() *outcome.Error {
	if r.endErr != nil {
		return r.endErr
	}
	return mayHaveRun(outcome.TicketReused, "the call ran")
}

func (r *record) dropResponse() {
	r.responseHeld = false
	r.response = Response{}
}

// bodyStore tracks recorded responses, oldest first, and drops the oldest above a limit in bytes.
type bodyStore struct {
	limit int
	total int
	order []*record
}

func (b *bodyStore) hold(r *record) {
	r.responseHeld = true
	b.total += len(r.response.Body)
	b.order = append(b.order, r)
	for b.total > b.limit {
		oldest := b.order[0]
		b.order[0] = nil
		b.order = b.order[1:]
		b.release(oldest)
	}
}

func (b *bodyStore) release(r *record) {
	if r.responseHeld {
		b.total -= len(r.response.Body)
		r.dropResponse()
	}
}

// dropReleased removes leading entries whose records were released, so that the length of order stays
// bounded by the size of the table.
func (b *bodyStore) dropReleased() {
	for len(b.order) > 0 && !b.order[0].responseHeld {
		b.order[0] = nil
		b.order = b.order[1:]
	}
}

type removal struct {
	at  time.Duration
	seq uint64
}

// removalQueue is a min-heap ordered by time. An entry is stale if its time differs from its record's
// removeAt.
type removalQueue []removal

func (q removalQueue) Len() int           { return len(q) }
func (q removalQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q removalQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *removalQueue) Push(x any)        { *q = append(*q, x.(removal)) }
func (q *removalQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// scheduleRemoval sets the time at which the record is removed.
func (t *Table) scheduleRemoval(r *record, at time.Duration) {
	if r.removeAt == at {
		return
	}
	r.removeAt = at
	heap.Push(&t.removal, removal{at: at, seq: r.seq})
}

// startRetention schedules the removal of the record of a call that has ended.
func (t *Table) startRetention(now time.Duration, r *record) {
	t.scheduleRemoval(r, max(r.expiry, now)+t.cfg.Retention)
}

// Expire removes the records whose retention has elapsed.
func (t *Table) Expire(now time.Duration) {
	for len(t.removal) > 0 && t.removal[0].at <= now {
		due := heap.Pop(&t.removal).(removal)
		r := t.records[due.seq]
		if r == nil || r.removeAt != due.at {
			continue
		}
		t.bodies.release(r)
		delete(t.records, r.seq)
	}
	t.bodies.dropReleased()
}

// nextRemoval returns the time until the next removal, or 0 if none is scheduled.
func (t *Table) nextRemoval(now time.Duration) time.Duration {
	if len(t.removal) == 0 {
		return 0
	}
	return max(t.removal[0].at-now, 0)
}
