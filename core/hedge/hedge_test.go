package hedge

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Flags{"checks": "2000"}) }

// Guards against events that are lost, repeated or joined out of order, against an attempt that is closed although nothing
// has replaced it, and against more servers than the route allows.
func TestRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, repeatable := rapid.IntRange(1, 4).Draw(t, "limit"), rapid.Bool().Draw(t, "repeatable")
		r := NewRace(limit, repeatable, -1)
		next := map[Attempt]int64{r.Open(): 0} // next event of each open attempt
		sent, delivered := 1, int64(-1)
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
				id := next[a] + rapid.Int64Range(0, 2).Draw(t, "skipped")
				verdict, losers := r.Event(a, id)
				if (verdict == Deliver) != (open && (delivered < 0 && id >= 0 || id == delivered+1)) {
					t.Fatalf("event %d of attempt %d after %d: verdict %d", id, a, delivered, verdict)
				}
				if verdict != Deliver {
					continue
				}
				delivered, next[a] = id, id+1
				for _, x := range losers {
					delete(next, x)
				}
				if len(next) != 1 {
					t.Fatalf("open after a win: %v", next)
				}
			}
			if r.Running() != len(next) || len(next) > maxOpen || (!repeatable && sent > 1) || sent > max(1, limit) {
				t.Fatalf("%d running, %v expected, %d sent", r.Running(), next, sent)
			}
		}
	})
}

// Guards against a refused connection that uses up the servers that a request may be sent to.
func TestUnsentAttemptDoesNotCount(t *testing.T) {
	c := qt.New(t)
	r := NewRace(2, true, -1)
	first := r.Open()
	c.Assert(r.MayHedge(), qt.IsTrue)
	second := r.Open()
	c.Assert(r.MayHedge(), qt.IsFalse)
	r.Unsent()
	c.Assert(r.Close(second), qt.IsTrue)
	c.Assert(r.MayHedge(), qt.IsTrue)
	c.Assert(r.IsOpen(first), qt.IsTrue)
}
