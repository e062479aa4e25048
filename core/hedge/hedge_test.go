package hedge

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Flags{"checks": "2000"}) }

// Guards against events that are lost, repeated or joined out of order, against an attempt that is closed although nothing
// has replaced it, against more servers than the route allows, and against a stream that is given up because its numbers
// increase by more than one.
func TestRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, repeatable := rapid.IntRange(1, 4).Draw(t, "limit"), rapid.Bool().Draw(t, "repeatable")
		gaps := rapid.SampledFrom([]Gaps{AtFirst, Nowhere, Anywhere}).Draw(t, "gaps")
		r := NewRace(limit, repeatable, -1, gaps)
		next := map[Attempt]int64{r.Open(): 0} // lowest number of the next event of each open attempt
		sent, winner := 1, Attempt(0)
		var delivered []int64
		last := func() int64 {
			if len(delivered) == 0 {
				return -1
			}
			return delivered[len(delivered)-1]
		}
		left := false // a number has been left out
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a := Attempt(rapid.IntRange(1, 5).Draw(t, "attempt"))
			_, open := next[a]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if r.MayHedge() {
					next[r.Open()] = r.Last() + 1
					sent++
				}
			case 1:
				if r.Close(a) != open {
					t.Fatalf("attempt %d: open %v", a, open)
				}
				delete(next, a)
			default:
				id := next[a] + rapid.Int64Range(0, 2).Draw(t, "left out")
				verdict, losers := r.Event(a, id)
				// Within a stream the numbering must be known to leave numbers out, or show it with its second event.
				allowed := left || gaps == Anywhere || (gaps == AtFirst && len(delivered) == 1 && a == winner)
				want := open && id > last() && (last() < 0 || id == last()+1 || allowed)
				if (verdict == Deliver) != want {
					t.Fatalf("event %d of attempt %d after %v: verdict %d", id, a, delivered, verdict)
				}
				if verdict != Deliver {
					if open && id > last() && verdict != Gap {
						t.Fatalf("event %d after %v: verdict %d", id, delivered, verdict)
					}
					continue
				}
				left = left || (last() >= 0 && id != last()+1)
				delivered, winner = append(delivered, id), a
				next[a] = id + 1
				for _, x := range losers {
					delete(next, x)
				}
				if len(next) != 1 {
					t.Fatalf("open after a win: %v", next)
				}
			}
			if r.Running() != len(next) || len(next) > maxOpen || (!repeatable && sent > 1) || sent > max(1, limit) || r.LeftOut() != left {
				t.Fatalf("%d running, %v expected, %d sent, left out %v", r.Running(), next, sent, r.LeftOut())
			}
		}
	})
}

// Guards against an event that is lost at the change to another server, and against one of a stream whose numbers leave some
// out that is taken for lost there.
func TestGapsAtAnotherServer(t *testing.T) {
	c := qt.New(t)
	events := func(r *Race, a Attempt, ids ...int64) (v Verdict) {
		for _, id := range ids {
			v, _ = r.Event(a, id)
		}
		return v
	}
	r := NewRace(3, true, -1, AtFirst)
	first, second := r.Open(), r.Open()
	c.Assert(events(r, first, 1, 5), qt.Equals, Deliver)
	r.Close(first)
	r.Close(second)
	c.Assert(events(r, r.Open(), 9), qt.Equals, Deliver)

	r = NewRace(3, true, -1, AtFirst)
	first = r.Open()
	c.Assert(events(r, first, 1, 2, 3), qt.Equals, Deliver)
	r.Close(first)
	c.Assert(events(r, r.Open(), 5), qt.Equals, Gap)

	// An attempt beside the first one has sent the same event before.
	r = NewRace(3, true, -1, AtFirst)
	first, second = r.Open(), r.Open()
	r.Event(second, 1)
	c.Assert(r.Last(), qt.Equals, int64(1))
	c.Assert(r.IsOpen(first), qt.IsFalse)
	c.Assert(events(r, second, 5, 9), qt.Equals, Deliver)

	// The caller goes on after an event of an earlier stream.
	r = NewRace(3, true, 5, AtFirst)
	c.Assert(events(r, r.Open(), 9), qt.Equals, Deliver)
	r = NewRace(3, true, 5, Nowhere)
	c.Assert(events(r, r.Open(), 9), qt.Equals, Gap)
}

// Guards against a few spoilt streams that make a service look as if it left numbers out.
func TestNumbering(t *testing.T) {
	c := qt.New(t)
	var n Numbering
	for range minStreams {
		c.Assert(n.Gaps(), qt.Equals, AtFirst)
		n.Record(false)
	}
	n.Record(true)
	c.Assert(n.Gaps(), qt.Equals, Nowhere)
	for range 3 * maxStreams {
		n.Record(true)
	}
	c.Assert(n.Gaps(), qt.Equals, Anywhere)
}

// Guards against a refused connection that uses up the servers that a request may be sent to.
func TestUnsentAttemptDoesNotCount(t *testing.T) {
	c := qt.New(t)
	r := NewRace(2, true, -1, AtFirst)
	first := r.Open()
	c.Assert(r.MayHedge(), qt.IsTrue)
	second := r.Open()
	c.Assert(r.MayHedge(), qt.IsFalse)
	r.Unsent()
	c.Assert(r.Close(second), qt.IsTrue)
	c.Assert(r.MayHedge(), qt.IsTrue)
	c.Assert(r.IsOpen(first), qt.IsTrue)
}
