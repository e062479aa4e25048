package hedge

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Flags{"checks": "2000"}) }

// sender is the model of an attempt's server.
type sender struct {
	gaps     Gaps
	position int64 // up to which its answer has come
	events   int
	left     bool
	held     bool // its first event is held
}

// Guards against events that are lost, repeated or joined out of order, against an attempt that is closed although nothing
// has replaced it, against more servers than the route allows, and against a stream that is given up because its numbers
// increase by more than one.
func TestRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, repeatable := rapid.IntRange(1, 4).Draw(t, "limit"), rapid.Bool().Draw(t, "repeatable")
		start := rapid.Int64Range(-1, 2).Draw(t, "last event of the caller")
		r := NewRace(limit, repeatable, start)
		open := map[Attempt]*sender{}
		add := func() {
			gaps := rapid.SampledFrom([]Gaps{Unknown, Nowhere, Anywhere}).Draw(t, "gaps")
			open[r.Open(gaps)] = &sender{gaps: gaps, position: r.Last()}
		}
		add()
		sent, winner, last := 1, Attempt(0), start
		var delivered []int64
		left := false    // a number has been left out
		doubted := false // a server has left out numbers right after last
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a := Attempt(rapid.IntRange(1, 5).Draw(t, "attempt"))
			x := open[a]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if r.MayHedge() {
					add()
					sent++
				}
			case 1:
				if r.Close(a) != (x != nil) {
					t.Fatalf("attempt %d: open %v", a, x)
				}
				delete(open, a)
			default:
				if x == nil {
					if verdict, _ := r.Event(a, last+1); verdict != Drop {
						t.Fatalf("event of the closed attempt %d: verdict %d", a, verdict)
					}
					continue
				}
				id, before := x.position+1+rapid.Int64Range(0, 2).Draw(t, "left out"), x.position
				if x.events == 0 && x.position >= 0 && rapid.Bool().Draw(t, "begins again") {
					id = rapid.Int64Range(0, x.position).Draw(t, "first event")
				}
				verdict, losers := r.Event(a, id)
				x.left = x.left || (x.events > 0 && id != x.position+1)
				x.position, x.events = id, x.events+1
				// An event with several tokens begins after the one before it. Within an answer that is whatever its server sent.
				// Between two servers a number that is left out must be explained.
				explained := a == winner || id == last+1 || left || doubted || x.gaps == Anywhere || (x.gaps == Unknown && len(delivered) == 0)
				want := Gap
				switch {
				case id <= last:
					want = Drop
				case x.held && x.left: // its numbers show the same again
					want = Deliver
				case x.held:
				case last < 0 || (before == last && explained):
					want = Deliver
				case before == last:
					want = Hold
				}
				if verdict != want {
					t.Fatalf("event %d of attempt %d after %v, before it %d: verdict %d in place of %d", id, a, delivered, before, verdict, want)
				}
				if r.Holds(a) != (verdict == Hold || (x.held && verdict != Deliver)) {
					t.Fatalf("attempt %d holds an event: %v", a, r.Holds(a))
				}
				if events, out := r.Numbers(a); events != x.events || out != x.left {
					t.Fatalf("attempt %d: %d events, left out %v, in place of %+v", a, events, out, x)
				}
				switch verdict {
				case Gap:
					r.Close(a)
					delete(open, a)
				case Hold:
					doubted, x.held = true, true
				case Deliver:
					left = left || (last >= 0 && id != last+1)
					if x.held {
						delivered = append(delivered, before)
					}
					delivered, winner, last, doubted, x.held = append(delivered, id), a, id, false, false
					for _, x := range losers {
						delete(open, x)
					}
					if len(open) != 1 {
						t.Fatalf("open after a win: %v", open)
					}
				}
			}
			if r.Running() != len(open) || len(open) > maxOpen || (!repeatable && sent > 1) || sent > max(1, limit) || r.Last() != last {
				t.Fatalf("%d running, %v expected, %d sent, last event %d", r.Running(), open, sent, r.Last())
			}
		}
	})
}

// receive sends events of an attempt and returns the verdict on the last one.
func receive(r *Race, a Attempt, ids ...int64) (v Verdict) {
	for _, id := range ids {
		v, _ = r.Event(a, id)
	}
	return v
}

// Guards against an event that is lost at the change to another server, and against one of a stream whose numbers leave some
// out that is taken for lost there.
func TestGapsAtAnotherServer(t *testing.T) {
	c := qt.New(t)
	r := NewRace(3, true, -1)
	first, second := r.Open(Unknown), r.Open(Unknown)
	c.Assert(receive(r, first, 1, 5), qt.Equals, Deliver)
	r.Close(first)
	r.Close(second)
	c.Assert(receive(r, r.Open(Unknown), 9), qt.Equals, Deliver)

	r = NewRace(3, true, -1)
	first = r.Open(Unknown)
	c.Assert(receive(r, first, 1, 2, 3), qt.Equals, Deliver)
	r.Close(first)
	second = r.Open(Unknown)
	c.Assert(receive(r, second, 5), qt.Equals, Hold)
	c.Assert(r.Holds(second), qt.IsTrue)
	c.Assert(receive(r, second, 6), qt.Equals, Gap)

	// An attempt beside the first one has sent the same event before.
	r = NewRace(3, true, -1)
	first, second = r.Open(Unknown), r.Open(Unknown)
	r.Event(second, 1)
	c.Assert(r.Last(), qt.Equals, int64(1))
	c.Assert(r.IsOpen(first), qt.IsFalse)
	c.Assert(receive(r, second, 5, 9), qt.Equals, Deliver)

	// The caller goes on after an event of an earlier stream.
	r = NewRace(3, true, 5)
	c.Assert(receive(r, r.Open(Unknown), 9), qt.Equals, Deliver)
	r = NewRace(3, true, 5)
	c.Assert(receive(r, r.Open(Nowhere), 9, 10), qt.Equals, Gap)
}

// Guards against a stream of a sound server that is cut in its middle, since earlier streams of the service were numbered
// consecutively.
func TestAnswerLeavesNumbersOut(t *testing.T) {
	c := qt.New(t)
	for _, gaps := range []Gaps{Unknown, Nowhere, Anywhere} {
		r := NewRace(1, false, -1)
		a := r.Open(gaps)
		for _, id := range []int64{1, 2, 5, 6, 9} {
			c.Assert(receive(r, a, id), qt.Equals, Deliver)
		}
		events, leftOut := r.Numbers(a)
		c.Assert(events, qt.Equals, 5)
		c.Assert(leftOut, qt.IsTrue)
	}
}

// Guards against tokens that the caller gets twice, when a server that puts several into an event continues the stream of one
// that does not.
func TestEventWithTokensOfAnotherServer(t *testing.T) {
	c := qt.New(t)
	r := NewRace(3, true, -1)
	first := r.Open(Nowhere)
	c.Assert(receive(r, first, 1, 2, 3), qt.Equals, Deliver)
	second := r.Open(Anywhere)
	c.Assert(receive(r, first, 4, 5), qt.Equals, Deliver)
	c.Assert(r.IsOpen(second), qt.IsFalse)

	third := r.Open(Anywhere) // continues after event 5, but its server begins again: 1 to 3, 4 to 6
	c.Assert(receive(r, third, 3), qt.Equals, Drop)
	c.Assert(receive(r, third, 6), qt.Equals, Gap)
}

// Guards against a stream that is cut at the change to a server of a new version, all of which put several tokens into an event:
// the next event of that server, or another server that leaves out numbers too, shows that no event is missing.
func TestNewVersionContinuesStream(t *testing.T) {
	c := qt.New(t)
	begun := func() *Race {
		r := NewRace(4, true, -1)
		a := r.Open(Nowhere)
		c.Assert(receive(r, a, 1, 2, 3), qt.Equals, Deliver)
		r.Close(a)
		return r
	}
	r := begun()
	a := r.Open(Nowhere)
	c.Assert(receive(r, a, 6), qt.Equals, Hold)
	c.Assert(r.Last(), qt.Equals, int64(3))
	c.Assert(receive(r, a, 9), qt.Equals, Deliver)
	c.Assert(r.Holds(a), qt.IsFalse)
	c.Assert(receive(r, a, 10), qt.Equals, Deliver)

	r = begun()
	a = r.Open(Nowhere)
	c.Assert(receive(r, a, 6), qt.Equals, Hold)
	r.Close(a)
	c.Assert(receive(r, r.Open(Nowhere), 6), qt.Equals, Deliver)
}

// Guards against a few spoilt streams that make a service look as if it left numbers out.
func TestNumbering(t *testing.T) {
	c := qt.New(t)
	var n Numbering
	for range minStreams {
		c.Assert(n.Gaps(), qt.Equals, Unknown)
		n.Record(false)
	}
	n.Record(true)
	c.Assert(n.Gaps(), qt.Equals, Nowhere)
	for range 3 * maxStreams {
		n.Record(true)
	}
	c.Assert(n.Gaps(), qt.Equals, Anywhere)
}

// Guards against servers of a new version that are judged by the streams of those that they replace, or the reverse, and
// against a record of servers that grows with each start.
func TestNumberingOfServers(t *testing.T) {
	c := qt.New(t)
	var n Numberings
	c.Assert(n.Gaps("models", "old"), qt.Equals, Unknown)
	for range maxStreams {
		n.Record("models", "old", false)
	}
	c.Assert(n.Gaps("models", "new"), qt.Equals, Nowhere, qt.Commentf("by its service"))
	n.Record("models", "new", true)
	c.Assert(n.Gaps("models", "new"), qt.Equals, Anywhere)
	c.Assert(n.Gaps("models", "old"), qt.Equals, Nowhere)
	c.Assert(n.Gaps("others", "other"), qt.Equals, Unknown)
	for range maxStreams {
		n.Record("models", "new", true)
	}
	c.Assert(n.Gaps("models", "newer"), qt.Equals, Anywhere, qt.Commentf("by its service"))
	n.Retain(func(id ident.BackendID) bool { return id == "old" })
	c.Assert(n.servers, qt.HasLen, 1)
}

// Guards against a refused connection that uses up the servers that a request may be sent to.
func TestUnsentAttemptDoesNotCount(t *testing.T) {
	c := qt.New(t)
	r := NewRace(2, true, -1)
	first := r.Open(Unknown)
	c.Assert(r.MayHedge(), qt.IsTrue)
	second := r.Open(Unknown)
	c.Assert(r.MayHedge(), qt.IsFalse)
	r.Unsent()
	c.Assert(r.Close(second), qt.IsTrue)
	c.Assert(r.MayHedge(), qt.IsTrue)
	c.Assert(r.IsOpen(first), qt.IsTrue)
}
