package ring

import (
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a push to a full ring that blocks or overwrites an item, and against a refused push that is not
// counted.
func TestFullRingRefuses(t *testing.T) {
	c := qt.New(t)
	r := New[int](2)
	c.Assert(r.Push(1), qt.IsTrue)
	c.Assert(r.Push(2), qt.IsTrue)
	c.Assert(r.Push(3), qt.IsFalse)
	c.Assert(r.Refused(), qt.Equals, uint64(1))
	v, ok := r.TryPop()
	c.Assert(ok && v == 1, qt.IsTrue)
	c.Assert(r.Push(4), qt.IsTrue)
	r.Close()
	r.Close()
	c.Assert(r.Push(5), qt.IsFalse)
	var rest []int
	for v := range r.Items() {
		rest = append(rest, v)
	}
	c.Assert(rest, qt.DeepEquals, []int{2, 4})
	_, ok = r.TryPop()
	c.Assert(ok, qt.IsFalse)
}

// Guards against a panic or a lost item when producers push during Close: each item is either received or
// counted as refused.
func TestConcurrentPushAndClose(t *testing.T) {
	c := qt.New(t)
	const producers, pushes = 8, 1000
	r := New[int](16)
	var wg sync.WaitGroup
	var pushed atomic.Int64
	for range producers {
		wg.Go(func() {
			for i := range pushes {
				r.Push(i)
				if pushed.Add(1) == producers*pushes/2 {
					r.Close() // while the other producers push
				}
			}
		})
	}
	taken := 0
	for range r.Items() {
		taken++
	}
	wg.Wait()
	c.Assert(taken+int(r.Refused()), qt.Equals, producers*pushes)
}
