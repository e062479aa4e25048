package sched

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const classCount = int(ident.Batch) + 1

// queue holds the waiting attempts of a class, most urgent first.
type queue []*attempt

// queueSortKey returns the key that orders a queue, smallest first. Under Predict it is the deadline
// plus the time of submission: earliest deadline first, where a second of waiting weighs as much as a
// second of deadline, so that a stream of requests with short deadlines cannot starve an old one. The
// baseline policies order by age.
func (s *Scheduler) queueSortKey(a *attempt) time.Duration {
	if s.cfg.Policy == Predict {
		return a.Deadline + a.submittedAt
	}
	return a.submittedAt
}

func compareAttempts(a, b *attempt) int {
	switch {
	case a.sortKey < b.sortKey:
		return -1
	case a.sortKey > b.sortKey:
		return 1
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	}
	return 0
}

func (q *queue) insert(a *attempt) {
	i, _ := slices.BinarySearchFunc(*q, a, compareAttempts)
	*q = slices.Insert(*q, i, a)
}

func (q *queue) remove(a *attempt) {
	if i, ok := slices.BinarySearchFunc(*q, a, compareAttempts); ok {
		*q = slices.Delete(*q, i, i+1)
	}
}

func (q queue) position(a *attempt) int {
	i, _ := slices.BinarySearchFunc(q, a, compareAttempts)
	return i
}

// waiting returns the queued attempts in the order in which they are placed: aged ones first, then by
// class and sort key. The slice is a copy, because placing an attempt changes the queues, and is valid
// until the next call: with 1,000 attempts waiting, allocating a new slice in each step made most of
// the garbage.
func (s *Scheduler) waiting() []*attempt {
	aged, rest := s.aged[:0], s.rest[:0]
	for c := range s.queues {
		for _, a := range s.queues[c] {
			if c > 0 && s.now-a.submittedAt >= s.cfg.AgeingLimit {
				aged = append(aged, a)
				continue
			}
			rest = append(rest, a)
		}
	}
	s.rest = rest
	s.aged = append(aged, rest...)
	return s.aged
}
