package entry

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against relaying a partial event, and against a truncated stream that looks complete.
func TestEventsComeWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		n := rapid.IntRange(0, 6).Draw(t, "events")
		for i := range n {
			newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "newline")
			if rapid.Bool().Draw(t, "first line") {
				all.WriteString("x-version: 3" + newline)
			}
			all.WriteString("id: " + string(rune('0'+i)) + newline + "data: " + strings.Repeat("y", rapid.IntRange(0, 5000).Draw(t, "size")) + newline + newline)
		}
		text := all.String()
		cut := rapid.IntRange(0, len(text)).Draw(t, "cut")
		r := newEventReader(iotest.OneByteReader(strings.NewReader(text[:cut])), newBodyMemory(0))
		var relayed bytes.Buffer
		last := int64(-1)
		for {
			ev, err := r.next()
			if err != nil {
				atEventBoundary := strings.HasPrefix(text[cut:], "id:") || strings.HasPrefix(text[cut:], "x-") || cut == len(text) || cut == 0
				if errors.Is(err, io.EOF) && !atEventBoundary {
					t.Fatalf("a stream truncated after %d of %d bytes ended without an error", cut, len(text))
				}
				break
			}
			if ev.id != last+1 {
				t.Fatalf("event %d after %d", ev.id, last)
			}
			last = ev.id
			relayed.Write(ev.raw)
		}
		if !strings.HasPrefix(text, relayed.String()) {
			t.Fatal("bytes were changed")
		}
	})
}

// Guards against unbounded memory use by an event that never ends.
func TestEventSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	_, err := newEventReader(io.LimitReader(zeros{}, 2*maxEvent), newBodyMemory(0)).next()
	c.Assert(err, qt.ErrorMatches, ".*event of more than.*")
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = '0'
	}
	return len(p), nil
}

// Guards against a long line whose end alone is left after full buffers being taken for the blank line that ends an event.
func TestLongLineIsNoBlankLine(t *testing.T) {
	c := qt.New(t)
	for _, length := range []int{2046, 2047, 2048, 4094, 4096, 16384} {
		for _, end := range []string{"\n", "\r\n"} {
			text := strings.Repeat("x", length) + end + "id: 1" + end + end
			ev, err := newEventReader(strings.NewReader(text), newBodyMemory(0)).next()
			c.Check(err, qt.IsNil)
			c.Check(string(ev.raw), qt.Equals, text, qt.Commentf("line of %d bytes", length))
			c.Check(ev.id, qt.Equals, int64(1))
		}
	}
}

// Guards against streams with large events that take the memory for bodies from each other for good, and against usual events
// that fail while others take all of it.
func TestEventsCountTowardsMemory(t *testing.T) {
	c := qt.New(t)
	bodies := newBodyMemory(0)
	bodies.limit = 10_000
	read := func(size int) (event, error) {
		return newEventReader(strings.NewReader("data: "+strings.Repeat("x", size)+"\n\n"), bodies).next()
	}
	first, err := read(9_000)
	c.Assert(err, qt.IsNil)
	c.Assert(first.memory.bytes, qt.Equals, int64(len(first.raw)-freeEventBytes))
	second, err := read(9_000)
	c.Assert(err, qt.IsNil)
	third, err := read(9_000)
	c.Assert(err, qt.Equals, errBodyMemory)
	_, err = read(2_000)
	c.Assert(err, qt.IsNil)
	third.memory.release()
	second.memory.release()
	_, err = read(9_000)
	c.Assert(err, qt.IsNil)
}
