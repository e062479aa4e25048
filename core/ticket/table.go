package ticket

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/zeebo/errs"
)

// Error is the class of errors in the setup of a Table.
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

// Issue returns n new tickets, or none if the table has no room for all of them.
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
	t.scheduleRemoval(r, r.expiry+t.cfg.Retention)
	return formatSigned(t.cfg.Key, Ticket{
		Host:         t.cfg.Host,
		Incarnation:  t.cfg.Incarnation,
		Sequence:     r.seq,
		ExpiryUnixMS: t.cfg.StartUnixMS + r.expiry.Milliseconds(),
	})
}

// Begin decides what happens to a call that carries a ticket. On first use it binds the ticket to the
// call, and it claims the ticket before it returns Run. deadline is the caller's, on the same clock as
// now.
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
		if !r.responseHeld {
			return refuse(mayHaveRun(outcome.TicketReused, "the call ran; its answer is no longer held"))
		}
		return Decision{Action: Replay, Sequence: r.seq, Response: r.response}
	default:
		return refuse(r.endErr)
	}
}

func (t *Table) claim(now time.Duration, r *record, call Call, deadline time.Duration) Decision {
	r.bind(call)
	if now >= deadline {
		return refuse(t.burn(now, r, outcome.Refuse(step, outcome.Deadline, lateDetail)))
	}
	r.state = Sending
	r.deadline = deadline
	// A call may run longer than the retention, and its outcome is needed after it ends.
	t.scheduleRemoval(r, max(r.expiry, deadline)+t.cfg.Retention)
	return Decision{Action: Run, Sequence: r.seq}
}

// Refuse ends a call for a reason outside the table, such as a team limit, and returns the error for
// the caller. An unused ticket is burned first and ends "not run"; a ticket that was used before
// ends "may have run" unless it was burned.
func (t *Table) Refuse(now time.Duration, text string, call Call, cause *outcome.Error) *outcome.Error {
	r, err := t.find(now, text, call)
	switch {
	case err != nil:
		return err
	case r.state == Issued:
		r.bind(call)
		return t.burn(now, r, cause)
	case r.state == Burned, r.state == Unknown:
		return r.endErr
	default:
		return AsMayHaveRun(cause)
	}
}

// find returns the record of a ticket with a valid MAC that isn't bound to another call.
func (t *Table) find(now time.Duration, text string, call Call) (*record, *outcome.Error) {
	t.Expire(now)
	tk, err := Parse(text)
	if err != nil {
		return nil, err
	}
	if tk.Host != t.cfg.Host || tk.Incarnation != t.cfg.Incarnation {
		return nil, mayHaveRun(outcome.ExecutorGone, "another process issued the ticket")
	}
	if !tk.hasValidMAC(t.cfg.Key) {
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
// is established. It returns nil at most once for each ticket, and only then may the call be written.
// The process may have been paused since Begin, so the deadline is checked again.
func (t *Table) FirstByte(now time.Duration, seq uint64) *outcome.Error {
	r := t.records[seq]
	if r == nil || r.state != Sending || r.writeAllowed {
		return mayHaveRun(outcome.TicketReused, "the call was sent before or is over")
	}
	if now >= r.deadline {
		return t.burn(now, r, outcome.Refuse(step, outcome.Deadline, lateDetail))
	}
	r.writeAllowed = true
	return nil
}

// Burn ends a call whose first byte was never allowed, such as after a failed dial, and returns the
// error for the caller. If FirstByte allowed the write, the call ends "may have run" instead.
func (t *Table) Burn(now time.Duration, seq uint64, cause *outcome.Error) *outcome.Error {
	r := t.records[seq]
	switch {
	case r == nil:
		return mayHaveRun(outcome.TicketExpired, "the outcome is no longer held")
	case r.state == Sending && r.writeAllowed:
		return t.Fail(now, seq, cause)
	case r.state == Issued || r.state == Sending:
		return t.burn(now, r, cause)
	default:
		return r.endError()
	}
}

// Fail records that a call was sent and got no response. It returns the error for the caller.
func (t *Table) Fail(now time.Duration, seq uint64, cause *outcome.Error) *outcome.Error {
	r := t.records[seq]
	if r == nil {
		return AsMayHaveRun(cause)
	}
	if r.state != Sending {
		return r.endError()
	}
	r.state = Unknown
	t.startRetention(now, r)
	r.endErr = AsMayHaveRun(cause)
	return r.endErr
}

// Finish records the service's response. It reports whether the response was recorded: this requires
// that the call was sent and hasn't ended.
func (t *Table) Finish(now time.Duration, seq uint64, resp Response) bool {
	r := t.records[seq]
	if r == nil || r.state != Sending || !r.writeAllowed {
		return false
	}
	r.state = Done
	t.startRetention(now, r)
	r.response = resp
	if len(resp.Body) <= t.cfg.MaxBodyBytes {
		t.bodies.hold(r)
	} else {
		r.dropResponse()
	}
	return true
}

// State returns the state of a ticket; ok is false if the table has no record of it.
func (t *Table) State(seq uint64) (s State, ok bool) {
	r := t.records[seq]
	if r == nil {
		return 0, false
	}
	return r.state, true
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// BodyBytes returns the total size of the recorded response bodies.
func (t *Table) BodyBytes() int { return t.bodies.total }
