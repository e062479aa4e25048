package placement

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the requests of one host that wait for an engine of one service. It protects against bursts of short
// requests: an engine serves waiting requests first come, first served, so once its slots are taken every later
// request is late as well. The queue instead places requests that can still be on time first, and overdue ones
// only when they delay no others. It is not safe for concurrent use.
type Queue[T any] struct {
	waiting []*QueuedRequest[T]
}

// QueuedRequest is a request in a queue.
type QueuedRequest[T any] struct {
	Value     T
	Team      string // teams are served round-robin
	Priority  int    // 0 is the most urgent
	Arrived   time.Duration
	Objective time.Duration // time at which its first event becomes late
	WaitUntil time.Duration // time from which it is placed regardless of the loss

	teamRank int // number of requests of the same team, kind and priority that go before it
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add adds a request.
func (q *Queue[T]) Add(w *QueuedRequest[T]) { q.waiting = append(q.waiting, w) }

// Remove takes a request out, if it is still in the queue.
func (q *Queue[T]) Remove(w *QueuedRequest[T]) {
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Offer offers the waiting requests for placement, in order, until one of each kind is declined: first
// those whose waiting time has expired, then those that can be on time, by their objectives, then the
// overdue ones by arrival. Within a kind, more urgent priorities go first, and teams are served round-robin, so that
// a burst of one team does not delay the others. WaitUntil prevents the starvation of requests that are offered late.
// place returns false to decline a request.
func (q *Queue[T]) Offer(now time.Duration, place func(*QueuedRequest[T]) bool) {
	q.sort(now)
	var declined [kinds]bool
	q.waiting = slices.DeleteFunc(q.waiting, func(w *QueuedRequest[T]) bool {
		k := w.kind(now)
		if declined[k] {
			return false
		}
		declined[k] = !place(w)
		return !declined[k]
	})
}

func (q *Queue[T]) sort(now time.Duration) {
	slices.SortStableFunc(q.waiting, func(a, b *QueuedRequest[T]) int {
		return cmp.Or(cmp.Compare(a.kind(now), b.kind(now)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sortTime(now), b.sortTime(now)))
	})
	type class struct {
		kind, priority int
		team           string
	}
	before := map[class]int{}
	for _, w := range q.waiting {
		c := class{w.kind(now), w.Priority, w.Team}
		w.teamRank = before[c]
		before[c]++
	}
	slices.SortStableFunc(q.waiting, func(a, b *QueuedRequest[T]) int {
		return cmp.Or(cmp.Compare(a.kind(now), b.kind(now)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.teamRank, b.teamRank))
	})
}

// Kinds of waiting requests, by the order in which they are offered.
const (
	waitExpired = iota
	onTime
	overdue
	kinds
)

func (w *QueuedRequest[T]) kind(now time.Duration) int {
	switch {
	case now >= w.WaitUntil:
		return waitExpired
	case now < w.Objective:
		return onTime
	default:
		return overdue
	}
}

// sortTime returns the time by which requests of one kind and priority are ordered.
func (w *QueuedRequest[T]) sortTime(now time.Duration) time.Duration {
	if w.kind(now) == onTime {
		return w.Objective
	}
	return w.Arrived
}

const (
	// waitShare is the largest share of the time until its deadline that a request may wait. The rest is
	// enough for an answer from a full engine.
	waitShare = 0.2
	// onTimeLoss is the loss, as a share of its worth, above which a request that could be on time waits.
	// Such a request would be late itself or make others late.
	onTimeLoss = lateShare
	// overdueLoss is the same for overdue requests, which yield the rest of their worth whenever they are served.
	overdueLoss = 0.2
)

// MayWait reports whether a request can gain by waiting: it is short, has an objective and can start before its
// deadline.
func (t *Table) MayWait(c Choice) bool {
	e := t.engines[c.Engine]
	if e == nil || c.request.Objective == 0 || c.TimeToFirstEvent >= c.request.TimeLeft {
		return false
	}
	return decodeRole(PrefillMS(e.runtime, c.request.PromptTokens), c.request.MaxPause) == shortDecode
}

// ShouldPlaceNow reports whether the loss of a choice is low enough to place the request now.
func (t *Table) ShouldPlaceNow(c Choice) bool {
	share := c.Loss / Worth(c.request.PromptTokens, c.request.OutputTokens)
	if c.request.Objective < 0 {
		return share < overdueLoss
	}
	return share < onTimeLoss
}

// WaitUntil returns the time until which a request may wait.
func WaitUntil(now, left time.Duration) time.Duration {
	return now + time.Duration(waitShare*float64(left))
}
