package sched

import (
	"container/heap"
	"math"
	"time"
)

// never is later than every time of the clock.
const never = time.Duration(math.MaxInt64)

// timed is a value with a timer. due returns never if nothing is pending. fire must move due into the
// future.
type timed interface {
	due(s *Scheduler) time.Duration
	fire(s *Scheduler)
	slot() *timerSlot
}

// timerSlot holds the time of the valid heap entry of a timed value. A due time that moves later does
// not change the heap; the entry is pushed again when it is popped.
type timerSlot struct {
	at  time.Duration
	set bool
}

type timerEntry struct {
	at   time.Duration
	seq  uint64
	item timed
}

// schedule ensures that item is checked no later than its due time.
func (s *Scheduler) schedule(item timed) {
	at := item.due(s)
	slot := item.slot()
	if at == never || (slot.set && slot.at <= at) {
		return
	}
	slot.at, slot.set = at, true
	s.nextSeq++
	heap.Push(&s.timers, timerEntry{at: at, seq: s.nextSeq, item: item})
}

// fireDue fires all due timers.
func (s *Scheduler) fireDue() {
	for len(s.timers) > 0 && s.timers[0].at <= s.now {
		e := heap.Pop(&s.timers).(timerEntry)
		slot := e.item.slot()
		if !slot.set || slot.at != e.at {
			continue
		}
		slot.set = false
		if e.item.due(s) <= s.now {
			e.item.fire(s)
		}
		s.schedule(e.item)
	}
}

// emitWake requests a Tick at the next due time if that changed.
func (s *Scheduler) emitWake() {
	for len(s.timers) > 0 {
		e := s.timers[0]
		slot := e.item.slot()
		stale := !slot.set || slot.at != e.at
		if !stale && e.item.due(s) == e.at {
			break
		}
		heap.Pop(&s.timers)
		if !stale {
			slot.set = false
			s.schedule(e.item)
		}
	}
	next := never
	if len(s.timers) > 0 {
		next = s.timers[0].at
	}
	if next != s.lastWake && next != never {
		s.emit(Wake{At: next})
	}
	s.lastWake = next
}

type timerHeap []timerEntry

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timerEntry)) }
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timerEntry{}
	*h = old[:len(old)-1]
	return last
}
