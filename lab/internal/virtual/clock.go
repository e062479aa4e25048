// Package virtual runs events in virtual time.
package virtual

import (
	"container/heap"
	"time"
)

// Clock holds events that are due at a time and runs them in order. Events of one time run in the order in
// which they were added. The zero value is ready for use.
type Clock struct {
	now      time.Duration
	queue    eventHeap
	sequence uint64
}

// Now returns the virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// At adds an event; one that is due in the past runs next.
func (c *Clock) At(at time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: max(at, c.now), sequence: c.sequence, run: run})
}

// After adds an event that is due after a time.
func (c *Clock) After(d time.Duration, run func()) { c.At(c.now+d, run) }

// Run runs all events up to an end, those that they add included.
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
	old[len(old)-1] = event{} // so that what it refers to can be freed
	*h = old[:len(old)-1]
	return last
}
