package ticket

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

func newTable(c *qt.C, cfg Config) *Table {
	cfg.Host, cfg.Incarnation, cfg.Key = "be-1", 7, []byte("0123456789abcdef")
	t, err := New(cfg)
	c.Assert(err, qt.IsNil)
	return t
}

func issueOne(c *qt.C, t *Table, now time.Duration) string {
	texts, err := t.Issue(now, 1)
	c.Assert(err == nil, qt.IsTrue)
	return texts[0]
}

func runToFinish(c *qt.C, t *Table, text, body string) {
	d := t.Begin(0, text, Call{}, time.Minute)
	c.Assert(d.Action, qt.Equals, Run)
	c.Assert(t.FirstByte(0, d.Sequence) == nil, qt.IsTrue)
	c.Assert(t.Finish(0, d.Sequence, Response{Status: 200, Body: []byte(body)}), qt.IsTrue)
}

// TestTextOfTickets guards against texts that parse to a ticket other than the one issued, and against
// "not run" for a damaged copy.
func TestTextOfTickets(t *testing.T) {
	c := qt.New(t)
	table := newTable(c, Config{StartUnixMS: 1_000})
	text := issueOne(c, table, 0)
	c.Assert(text, qt.Matches, `rh1\.be-1\.0000000000000007\.1\.121000\.[\w-]{22}`)
	for damaged, want := range map[string]outcome.Kind{
		"":                                     outcome.NotRun,
		"order-17":                             outcome.NotRun,
		text[:len(text)-1]:                     outcome.MayHaveRun,
		strings.Replace(text, ".1.", ".2.", 1): outcome.MayHaveRun,
		strings.Replace(text, "rh1", "rh2", 1): outcome.MayHaveRun,
		text + "A":                             outcome.MayHaveRun,
		"rh1." + strings.Repeat("a", MaxTextBytes): outcome.MayHaveRun,
	} {
		d := table.Begin(0, damaged, Call{}, time.Second)
		c.Check(d.Action, qt.Equals, Refuse)
		c.Check(d.Err.Kind, qt.Equals, want, qt.Commentf("%q", damaged))
	}
	c.Assert(table.Begin(0, text, Call{}, time.Second).Action, qt.Equals, Run)
}

// TestEndsOfTickets guards against a wrong reason or kind of error in each way that a ticket can end.
func TestEndsOfTickets(t *testing.T) {
	c := qt.New(t)
	table := newTable(c, Config{})
	text := issueOne(c, table, 0)
	late := table.Begin(Lifetime, text, Call{}, Lifetime+time.Second)
	c.Check(late.Err.Reason, qt.Equals, outcome.TicketExpired)
	c.Check(late.Err.Kind, qt.Equals, outcome.NotRun)
	removed := table.Begin(Lifetime+Retention, text, Call{}, time.Hour)
	c.Check(removed.Err.Kind, qt.Equals, outcome.MayHaveRun)

	text = issueOne(c, table, 0)
	d := table.Begin(0, text, Call{}, time.Second)
	c.Check(table.Begin(0, text, Call{}, time.Second).Action, qt.Equals, Wait)
	c.Check(table.FirstByte(time.Second, d.Sequence).Reason, qt.Equals, outcome.Deadline)
	again := table.Begin(0, text, Call{}, time.Minute).Err
	c.Check(again.Reason, qt.Equals, outcome.TicketBurned)
	c.Check(again.Kind, qt.Equals, outcome.NotRun)

	text = issueOne(c, table, 0)
	d = table.Begin(0, text, Call{}, time.Second)
	c.Assert(table.FirstByte(0, d.Sequence) == nil, qt.IsTrue)
	c.Check(table.FirstByte(0, d.Sequence) != nil, qt.IsTrue) // a second write would run the call twice
	lost := table.Fail(0, d.Sequence, outcome.Refuse("send", outcome.BackendLost, ""))
	c.Check(lost.Kind, qt.Equals, outcome.MayHaveRun)
	c.Check(table.Finish(0, d.Sequence, Response{}), qt.IsFalse)
	c.Check(table.Begin(0, text, Call{}, time.Minute).Err == lost, qt.IsTrue)
	c.Check(table.Begin(0, text, Call{Path: "x"}, time.Minute).Err.Reason, qt.Equals, outcome.TicketReused)
}

// TestBounds guards against a table or recorded responses that grow with the number of calls.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	table := newTable(c, Config{MaxRecords: 4, MaxBodyBytes: 4, MaxTotalBytes: 6})
	texts, err := table.Issue(0, 4)
	c.Assert(err == nil, qt.IsTrue)
	_, err = table.Issue(0, 1)
	c.Assert(err.Reason, qt.Equals, outcome.Overload)
	c.Assert(err.RetryAfter, qt.Equals, Lifetime+Retention)
	for i, body := range []string{"aaaa", "bbbb", "too long", "cc"} {
		runToFinish(c, table, texts[i], body)
	}
	for i, want := range []Action{Refuse, Replay, Refuse, Replay} {
		d := table.Begin(0, texts[i], Call{}, time.Minute)
		c.Check(d.Action, qt.Equals, want)
		if want == Refuse {
			c.Check(d.Err.Kind, qt.Equals, outcome.MayHaveRun)
		}
	}
	c.Assert(table.BodyBytes(), qt.Equals, 6)
	table.Expire(time.Hour)
	c.Assert(table.Len()+table.BodyBytes()+len(table.removal)+len(table.bodies.order), qt.Equals, 0)
}

// TestRecordOutlivesLongCall guards against losing the outcome of a call while the call runs, and
// against records that are kept until long after the deadline although the call ended early.
func TestRecordOutlivesLongCall(t *testing.T) {
	c := qt.New(t)
	table := newTable(c, Config{})
	text := issueOne(c, table, 0)
	d := table.Begin(0, text, Call{}, time.Hour)
	c.Assert(table.FirstByte(0, d.Sequence) == nil, qt.IsTrue)
	table.Expire(time.Hour)
	c.Assert(table.Finish(time.Hour, d.Sequence, Response{Body: bytes.Repeat([]byte("x"), 9)}), qt.IsTrue)
	table.Expire(time.Hour + Retention - 1)
	c.Assert(table.Len(), qt.Equals, 1)
	table.Expire(time.Hour + Retention)
	c.Assert(table.Len(), qt.Equals, 0)
}

// BenchmarkCall measures one call: issue, begin, first byte, finish.
func BenchmarkCall(b *testing.B) {
	c := qt.New(b)
	table := newTable(c, Config{})
	for i := range b.N {
		now := time.Duration(i) * 10 * time.Millisecond
		texts, _ := table.Issue(now, 1)
		d := table.Begin(now, texts[0], Call{}, now+time.Second)
		table.FirstByte(now, d.Sequence)
		table.Finish(now, d.Sequence, Response{})
	}
}

// BenchmarkTable measures one call with n records in the table, and the heap bytes of each record.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1_000, 16_000, 64_000} {
		b.Run(fmt.Sprintf("records=%d", n), func(b *testing.B) {
			c := qt.New(b)
			before := heapBytes()
			table := newTable(c, Config{})
			for range n {
				finishOneCall(table, 0)
			}
			held := heapBytes() - before
			for b.Loop() {
				texts, _ := table.Issue(0, 1)
				r := table.Begin(0, texts[0], Call{}, time.Second)
				table.FirstByte(0, r.Sequence)
				table.Finish(0, r.Sequence, Response{})
				delete(table.records, r.Sequence) // keeps the table at n records
			}
			b.ReportMetric(float64(held)/float64(n), "B/record")
		})
	}
}

func finishOneCall(table *Table, now time.Duration) {
	texts, _ := table.Issue(now, 1)
	r := table.Begin(now, texts[0], Call{Team: "sorters", Service: "ledger", Path: "POST /lots"}, now+time.Second)
	table.FirstByte(now, r.Sequence)
	table.Finish(now, r.Sequence, Response{})
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestUnknownIncarnationMayAnswer guards against abandoning a forwarded call while the system starts: the
// executor's host is then known from the host list only, and its incarnation isn't known yet.
func TestUnknownIncarnationMayAnswer(t *testing.T) {
	issued := Ticket{Host: "a", Incarnation: 7}
	for _, test := range []struct {
		x    Executor
		want bool
	}{
		{Executor{Member: true, Reachable: true}, true},
		{Executor{Member: true, Reachable: true, Incarnation: 7}, true},
		{Executor{Member: true, Reachable: true, Incarnation: 8}, false},
		{Executor{Member: true, Incarnation: 7}, false},
		{Executor{Reachable: true, Incarnation: 7}, false},
	} {
		if got := test.x.MayAnswer(issued); got != test.want {
			t.Errorf("%+v: %v", test.x, got)
		}
	}
}
