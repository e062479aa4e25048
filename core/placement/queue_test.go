package placement

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// fill takes all slots of all engines with short streams and waits until their prefill has ended.
func fill(c *qt.C, t *Table, engines int) (items []*PlacedRequest, now time.Duration) {
	for range 16 * engines {
		now += 20 * time.Millisecond
		_, it := place(c, t, now, short())
		t.MarkStarted(it)
		items = append(items, it)
	}
	return items, now + time.Second
}

// Guards against a prediction without the wait for a slot: requests were sent to full engines as if they would
// be on time and waited there for up to 900 ms.
func TestPredictionIncludesSlotWait(t *testing.T) {
	c := qt.New(t)
	tb := table(4)
	items, now := fill(c, tb, 4)
	full, ok := tb.Choose(now, service, short())
	c.Assert(ok, qt.IsTrue)
	tb.End(now, items[0])
	free, ok := tb.Choose(now, service, short())
	c.Assert(ok, qt.IsTrue)
	c.Assert(full.TimeToFirstEvent-free.TimeToFirstEvent > 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v full, %v with a free slot", full.TimeToFirstEvent, free.TimeToFirstEvent))
}

// Guards against requests that queue at full engines, where each one delays all later ones, and against
// overdue requests that take the first free slot from a request that can be on time.
func TestShortRequestsWaitForASlot(t *testing.T) {
	c := qt.New(t)
	tb := table(4)
	items, now := fill(c, tb, 4)
	late := short()
	late.Objective = -time.Millisecond
	shouldPlace := func(r Request) bool {
		choice, ok := tb.Choose(now, service, r)
		c.Assert(ok, qt.IsTrue)
		c.Assert(tb.MayWait(choice), qt.IsTrue)
		return tb.ShouldPlaceNow(choice)
	}
	c.Assert(shouldPlace(short()), qt.IsFalse, qt.Commentf("all engines full"))
	c.Assert(shouldPlace(late), qt.IsFalse)
	tb.End(now, items[0])
	c.Assert(shouldPlace(short()), qt.IsTrue, qt.Commentf("one slot free"))
	c.Assert(shouldPlace(late), qt.IsFalse)
	for _, it := range items[:16] {
		tb.End(now, it)
	}
	c.Assert(shouldPlace(late), qt.IsTrue, qt.Commentf("a quarter of the slots free"))
}

// Guards against long prompts in the queue: they are admitted by the cost of their prefill, and refused at
// once when it exceeds their worth.
func TestLongPromptsDoNotWait(t *testing.T) {
	c := qt.New(t)
	tb := table(8)
	choice, ok := tb.Choose(0, service, long(150_000))
	c.Assert(ok, qt.IsTrue)
	c.Assert(tb.MayWait(choice), qt.IsFalse)
	none := short()
	none.Objective = 0
	choice, _ = tb.Choose(0, service, none)
	c.Assert(tb.MayWait(choice), qt.IsFalse, qt.Commentf("without an objective, waiting gains nothing"))
}

// Guards against a loss for lateness that grows without bound: requests that had little of their objective left were
// refused, although a late answer still yields a part of their worth.
func TestLateAnswersKeepAPartOfTheirWorth(t *testing.T) {
	c := qt.New(t)
	for _, objective := range []time.Duration{time.Millisecond, 300 * time.Millisecond} {
		c.Assert(firstEventLoss(5000, objective) <= lateShare+maxOverdue, qt.IsTrue)
	}
	c.Assert(firstEventLoss(5000, 3*time.Second) > firstEventLoss(4000, 3*time.Second), qt.IsTrue, qt.Commentf("sooner is better"))
}

// Guards against overdue requests that are offered before those that can be on time, and against a request that
// waits beyond WaitUntil because others are always offered first.
func TestOrderOfTheQueue(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	add := func(name string, arrived, objective, until time.Duration) {
		q.Add(&QueuedRequest[string]{Value: name, Arrived: arrived, Objective: objective, WaitUntil: until})
	}
	add("overdue late", 20, 80, 900)
	add("overdue early", 10, 70, 900)
	add("fresh", 60, 140, 900)
	add("must go", 5, 50, 95)
	add("urgent", 70, 120, 900)
	var offered []string
	take := func(w *QueuedRequest[string]) bool { offered = append(offered, w.Value); return true }
	q.Offer(100, take)
	c.Assert(offered, qt.DeepEquals, []string{"must go", "urgent", "fresh", "overdue early", "overdue late"})
	c.Assert(q.Len(), qt.Equals, 0)

	add("less urgent", 10, 110, 900)
	q.waiting[0].Priority = 1
	add("more urgent", 20, 190, 900)
	offered = nil
	q.Offer(100, take)
	c.Assert(offered, qt.DeepEquals, []string{"more urgent", "less urgent"})

	add("a", 10, 200, 900)
	add("b", 20, 210, 900)
	add("c", 5, 50, 900)
	offered = nil
	q.Offer(100, func(w *QueuedRequest[string]) bool { offered = append(offered, w.Value); return w.Value == "c" })
	c.Assert(offered, qt.DeepEquals, []string{"a", "c"}, qt.Commentf("after one declined request, no other of its kind is offered"))
	c.Assert(q.Len(), qt.Equals, 2)
}

// Guards against a team whose requests wait behind a burst of another team.
func TestTeamsTakeTurns(t *testing.T) {
	c := qt.New(t)
	var q Queue[string]
	add := func(team string, objective time.Duration) {
		q.Add(&QueuedRequest[string]{Value: team, Team: team, Objective: objective, WaitUntil: 900})
	}
	for i := range 10 {
		add("heavy", 100+time.Duration(i))
	}
	add("light", 150)
	add("other", 160)
	add("light", 170)
	var offered []string
	q.Offer(50, func(w *QueuedRequest[string]) bool { offered = append(offered, w.Value); return true })
	c.Assert(offered[:5], qt.DeepEquals, []string{"heavy", "light", "other", "heavy", "light"})
	c.Assert(offered, qt.HasLen, 13)
}

// Guards against waiting requests that are lost or placed twice, for any order of events.
func TestQueueKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		waiting := map[int]*QueuedRequest[int]{}
		next := 0
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				w := &QueuedRequest[int]{
					Value: next, Arrived: now, Objective: now + time.Duration(rapid.IntRange(0, 300).Draw(t, "objective")),
					WaitUntil: now + time.Duration(rapid.IntRange(0, 2000).Draw(t, "until")),
				}
				next++
				waiting[w.Value] = w
				q.Add(w)
			},
			"remove": func(t *rapid.T) {
				for id, w := range waiting {
					q.Remove(w)
					q.Remove(w)
					delete(waiting, id)
					return
				}
			},
			"offer": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 500).Draw(t, "pause"))
				q.Offer(now, func(w *QueuedRequest[int]) bool {
					if waiting[w.Value] != w {
						t.Fatalf("request %d is not waiting", w.Value)
					}
					taken := now >= w.WaitUntil || rapid.Bool().Draw(t, "taken")
					if taken {
						delete(waiting, w.Value)
					}
					return taken
				})
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) || slices.ContainsFunc(q.waiting, func(w *QueuedRequest[int]) bool { return waiting[w.Value] != w }) {
					t.Fatalf("%d requests in the queue, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}
