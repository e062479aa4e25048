package virtual

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an event order that depends on the heap's layout, which would make two runs with the same seed differ.
func TestEventOrder(t *testing.T) {
	c := qt.New(t)
	var clock Clock
	var ran []string
	add := func(at time.Duration, name string) { clock.At(at, func() { ran = append(ran, name) }) }
	add(3, "late")
	for _, name := range []string{"a", "b", "c", "d"} {
		add(2, name)
	}
	clock.At(1, func() {
		ran = append(ran, "first")
		add(0, "past")
		clock.After(1, func() { ran = append(ran, "after") })
	})
	add(9, "beyond the end")
	clock.Run(5)
	c.Assert(ran, qt.DeepEquals, []string{"first", "past", "a", "b", "c", "d", "after", "late"})
	c.Assert(clock.Now(), qt.Equals, time.Duration(3))
}
