package ticket

import (
	"container/heap"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// record is the state of one ticket. wrote is set once the first byte was allowed; from then on the
// call may have run.
type record struct {
	seq      uint64
	state    State
	wrote    bool
	bound    bool
	held     bool // response is recorded in full
	call     Call
	expiry   time.Duration
	deadline time.Duration
	removeAt time.Duration
	response Response
	end      *outcome.Error // of Unknown and Burned
}

func (r *record) bind(c Call) {
	r.bound = true
	r.call = c
}

// burn makes sure that the call never runs, keeps the answer for retries and returns the answer for
// the caller at hand. The state changes before anybody can be told "not run".
func (t *Table) burn(now time.Duration, r *record, cause *outcome.Error) *outcome.Error {
	r.state = Burned
	t.settle(now, r)
	e := *cause
	e.Kind = outcome.NotRun
	again := e
	if e.Reason != outcome.TicketExpired {
		again.Reason = outcome.TicketBurned
		again.Detail = "ended before with " + string(e.Reason)
	}
	r.end = &again
	return &e
}

// final returns the end of a call that is over, for a caller that can't get the recorded answer.
func (r *record) final() *outcome.Error {
	if r.end != nil {
		return r.end
	}
	return mayHaveRun(outcome.TicketReused, "the call ran")
}

func (r *record) drop() {
	r.held = false
	r.response = Response{}
}

// bodyStore holds recorded answers, oldest first, up to a limit in bytes.
type bodyStore struct {
	limit int
	total int
	order []*record
}

func (b *bodyStore) hold(r *record) {
	r.held = true
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
	if r.held {
		b.total -= len(r.response.Body)
		r.drop()
	}
}

// trim drops the leading entries whose records were released, so that order stays bounded by the table.
func (b *bodyStore) trim() {
	for len(b.order) > 0 && !b.order[0].held {
		b.order[0] = nil
		b.order = b.order[1:]
	}
}

type removal struct {
	at  time.Duration
	seq uint64
}

// removalQueue is a heap by time. An entry whose time differs from its record's is out of date.
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

// schedule sets the time at which the record is removed.
func (t *Table) schedule(r *record, at time.Duration) {
	if r.removeAt == at {
		return
	}
	r.removeAt = at
	heap.Push(&t.removal, removal{at: at, seq: r.seq})
}

// settle starts the retention of a call that is over.
func (t *Table) settle(now time.Duration, r *record) {
	t.schedule(r, max(r.expiry, now)+t.cfg.Retention)
}

// Expire removes the records whose retention is over.
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
	t.bodies.trim()
}

// nextRemoval returns the time until a record can be removed.
func (t *Table) nextRemoval(now time.Duration) time.Duration {
	if len(t.removal) == 0 {
		return 0
	}
	return max(t.removal[0].at-now, 0)
}
