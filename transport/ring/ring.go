// Package ring provides the bounded queue that joins goroutines. A push never waits: a full ring
// refuses the item and counts the refusal.
package ring

import (
	"sync"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue for any number of producers and consumers.
type Ring[T any] struct {
	mu      sync.RWMutex // orders Push against Close, so that no push meets a closed channel
	closed  bool
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity items. A capacity below one counts as one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1))}
}

// Push appends an item without waiting. It returns false, and counts a refusal, when the ring is full
// or closed.
func (r *Ring[T]) Push(item T) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.closed {
		select {
		case r.items <- item:
			return true
		default:
		}
	}
	r.refused.Add(1)
	return false
}

// TryPop takes the oldest item without waiting.
func (r *Ring[T]) TryPop() (item T, ok bool) {
	select {
	case item, ok = <-r.items:
		return item, ok
	default:
		return item, false
	}
}

// Items returns the channel to receive from. It is closed by Close once the held items are taken.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Close refuses later pushes. Items that are held can still be taken. It may be called repeatedly.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.items)
	}
}

// Len returns the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Refused returns the number of refused pushes since the start.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
