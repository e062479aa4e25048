// Package ring provides the bounded queue that passes items between goroutines. Push never blocks: a full
// ring rejects the item and counts it as refused.
package ring

import (
	"sync"
	"sync/atomic"
)

// Ring is a bounded first-in first-out queue for any number of producers and consumers.
type Ring[T any] struct {
	mu      sync.RWMutex // serializes Push and Close, so that Push never sends on a closed channel
	closed  bool
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds up to capacity items. A capacity below one is raised to one.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, max(capacity, 1))}
}

// Push appends an item without blocking. It returns false and counts a refusal when the ring is full or
// closed.
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

// TryPop removes and returns the oldest item without blocking.
func (r *Ring[T]) TryPop() (item T, ok bool) {
	select {
	case item, ok = <-r.items:
		return item, ok
	default:
		return item, false
	}
}

// Items returns the channel to receive from. After Close it delivers the remaining items and is then
// closed.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Close makes later pushes fail. Queued items can still be received. Close may be called more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		r.closed = true
		close(r.items)
	}
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.items) }

// Refused returns the number of refused pushes since the ring was created.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
