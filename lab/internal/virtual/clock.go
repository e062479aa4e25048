// Package virtual implements discrete-event simulation in virtual time.
package virtual

import (
	"container/heap"
	"time"
)

// Clock holds scheduled events and runs them in order of time. Events due at the same time run in the order in
// which they were added. The zero value is ready for use.
type Clock struct {
	now      time.Duration
	queue    eventHeap
	sequence uint64
}

// Now returns the current virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules an event. An event that is due in the past is scheduled for the current time.
func (c *Clock) At(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: max(at, c.now), sequence: c.sequence, run: run})
}

// After schedules an event at duration d from now.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// Run runs all events that are due up to and including end, also those that are added meanwhile.
func (c *Clock) Run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.run()
	}
}

type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{} // drops the reference, so that the closure can be freed
	*h = old[:len(old)-1]
	return last
}
