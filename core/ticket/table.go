package ticket

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/zeebo/errs"
)

// Error is the class of faults in the use of a Table.
var Error = errs.Class("ticket")

const (
	minKeyBytes = 16
	lateDetail  = "the deadline passed before the call was sent"
)

// Table holds the tickets that this incarnation issued. It isn't safe for concurrent use.
type Table struct {
	cfg     Config
	next    uint64
	records map[uint64]*record
	removal removalQueue
	bodies  bodyStore
}

// New returns an empty table.
func New(cfg Config) (*Table, error) {
	if len(cfg.Key) < minKeyBytes {
		return nil, Error.New("key has %d bytes, needs at least %d", len(cfg.Key), minKeyBytes)
	}
	if cfg.Host == "" || cfg.Incarnation == 0 {
		return nil, Error.New("host and incarnation must be set")
	}
	setDefault(&cfg.Lifetime, Lifetime)
	setDefault(&cfg.Retention, Retention)
	setDefault(&cfg.MaxRecords, MaxRecords)
	setDefault(&cfg.MaxBodyBytes, MaxBodyBytes)
	setDefault(&cfg.MaxTotalBytes, MaxTotalBytes)
	t := &Table{cfg: cfg, next: 1, records: make(map[uint64]*record)}
	t.bodies.limit = cfg.MaxTotalBytes
	return t, nil
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// Issue returns n new tickets, or none when the table has no room for all of them.
func (t *Table) Issue(now time.Duration, n int) ([]string, *outcome.Error) {
	t.Expire(now)
	if n < 0 || n > MaxTicketsPerRequest {
		return nil, outcome.Refuse(step, outcome.BadRequest, "tickets must be between 0 and 16")
	}
	if len(t.records)+n > t.cfg.MaxRecords {
		e := outcome.Refuse(step, outcome.Overload, "the ticket table is full")
		e.RetryAfter = t.nextRemoval(now)
		return nil, e
	}
	texts := make([]string, n)
	for i := range texts {
		texts[i] = t.issue(now)
	}
	return texts, nil
}

func (t *Table) issue(now time.Duration) string {
	r := &record{seq: t.next, expiry: now + t.cfg.Lifetime}
	t.next++
	t.records[r.seq] = r
	t.schedule(r, r.expiry+t.cfg.Retention)
	return seal(t.cfg.Key, Ticket{
		Host:         t.cfg.Host,
		Incarnation:  t.cfg.Incarnation,
		Sequence:     r.seq,
		ExpiryUnixMS: t.cfg.StartUnixMS + r.expiry.Milliseconds(),
	})
}

// Begin decides about a call that carries a ticket. It binds the ticket to the call on first use and
// claims it before it returns Run. deadline is the caller's, on the clock of now.
func (t *Table) Begin(now time.Duration, text string, call Call, deadline time.Duration) Decision {
	r, err := t.find(now, text, call)
	if err != nil {
		return refuse(err)
	}
	switch r.state {
	case Issued:
		return t.claim(now, r, call, deadline)
	case Sending:
		if now >= deadline {
			return refuse(mayHaveRun(outcome.Deadline, "the call is still running"))
		}
		return Decision{Action: Wait, Sequence: r.seq}
	case Done:
		if !r.held {
			return refuse(mayHaveRun(outcome.TicketReused, "the call ran; its answer is no longer held"))
		}
		return Decision{Action: Replay, Sequence: r.seq, Response: r.response}
	default:
		return refuse(r.end)
	}
}

func (t *Table) claim(now time.Duration, r *record, call Call, deadline time.Duration) Decision {
	r.bind(call)
	if now >= deadline {
		return refuse(t.burn(now, r, outcome.Refuse(step, outcome.Deadline, lateDetail)))
	}
	r.state = Sending
	r.deadline = deadline
	// A call may run longer than the retention, and its outcome is wanted after that.
	t.schedule(r, max(r.expiry, deadline)+t.cfg.Retention)
	return Decision{Action: Run, Sequence: r.seq}
}

// Refuse ends a call for a reason outside the table, such as a team limit, and returns what to tell
// the caller. An unused ticket is burned first and ends "not run"; a ticket that was used before
// ends "may have run".
func (t *Table) Refuse(now time.Duration, text string, call Call, cause *outcome.Error) *outcome.Error {
	r, err := t.find(now, text, call)
	switch {
	case err != nil:
		return err
	case r.state == Issued:
		r.bind(call)
		return t.burn(now, r, cause)
	case r.state == Burned, r.state == Unknown:
		return r.end
	default:
		return AsMayHaveRun(cause)
	}
}

// find returns the record of a genuine ticket that isn't bound to another call.
func (t *Table) find(now time.Duration, text string, call Call) (*record, *outcome.Error) {
	t.Expire(now)
	tk, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if tk.Host != t.cfg.Host || tk.Incarnation != t.cfg.Incarnation {
		return nil, mayHaveRun(outcome.ExecutorGone, "another process issued the ticket")
	}
	if !tk.genuine(t.cfg.Key) {
		return nil, mayHaveRun(outcome.TicketInvalid, "the ticket is damaged or forged")
	}
	r := t.records[tk.Sequence]
	if r == nil {
		return nil, mayHaveRun(outcome.TicketExpired, "the outcome is no longer held")
	}
	if r.bound && r.call != call {
		return nil, mayHaveRun(outcome.TicketReused, "the ticket belongs to another call")
	}
	if r.state == Issued && now >= r.expiry {
		t.burn(now, r, outcome.Refuse(step, outcome.TicketExpired, "the ticket expired unused"))
	}
	return r, nil
}

// FirstByte must be called right before the first byte of the call is written, after the connection
// is up. A nil return allows the write, once. Otherwise nothing may be written. The process may have
// been paused since Begin, so the deadline is compared again.
func (t *Table) FirstByte(now time.Duration, seq uint64) *outcome.Error {
	r := t.records[seq]
	if r == nil || r.state != Sending || r.wrote {
		return mayHaveRun(outcome.TicketReused, "the call was sent before or is over")
	}
	if now >= r.deadline {
		return t.burn(now, r, outcome.Refuse(step, outcome.Deadline, lateDetail))
	}
	r.wrote = true
	return nil
}

// Burn ends a call whose first byte was never allowed, such as after a failed dial, and returns what
// to tell the caller. If FirstByte allowed the write, the call ends "may have run" instead.
func (t *Table) Burn(now time.Duration, seq uint64, cause *outcome.Error) *outcome.Error {
	r := t.records[seq]
	switch {
	case r == nil:
		return mayHaveRun(outcome.TicketExpired, "the outcome is no longer held")
	case r.state == Sending && r.wrote:
		return t.Fail(now, seq, cause)
	case r.state == Issued || r.state == Sending:
		return t.burn(now, r, cause)
	default:
		return r.final()
	}
}

// Fail records that a call was sent and brought no answer. It returns what to tell the caller.
func (t *Table) Fail(now time.Duration, seq uint64, cause *outcome.Error) *outcome.Error {
	r := t.records[seq]
	if r == nil {
		return AsMayHaveRun(cause)
	}
	if r.state != Sending {
		return r.final()
	}
	r.state = Unknown
	t.settle(now, r)
	r.end = AsMayHaveRun(cause)
	return r.end
}

// Finish records the service's answer. It reports whether the answer was recorded: only a call that
// was sent and isn't over takes one.
func (t *Table) Finish(now time.Duration, seq uint64, resp Response) bool {
	r := t.records[seq]
	if r == nil || r.state != Sending || !r.wrote {
		return false
	}
	r.state = Done
	t.settle(now, r)
	r.response = resp
	if len(resp.Body) <= t.cfg.MaxBodyBytes {
		t.bodies.hold(r)
	} else {
		r.drop()
	}
	return true
}

// State returns the state of a ticket; ok is false when no record is held.
func (t *Table) State(seq uint64) (s State, ok bool) {
	r := t.records[seq]
	if r == nil {
		return 0, false
	}
	return r.state, true
}

// Len returns the number of records, and BodyBytes the bytes of recorded answers.
func (t *Table) Len() int { return len(t.records) }

// BodyBytes returns the bytes of recorded answers.
func (t *Table) BodyBytes() int { return t.bodies.total }
