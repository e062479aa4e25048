package httpcall

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"
)

// Guards against a body that is read with a part missing, added or taken for whole after it was truncated.
func TestBodyIsReadWhole(t *testing.T) {
	c := qt.New(t)
	const limit = 1 << 20
	for _, size := range []int{0, 1, firstSegment - 1, firstSegment, firstSegment + 1, 100_000, limit} {
		body := bytes.Repeat([]byte("kernel "), size/7+1)[:size]
		for _, r := range []io.Reader{bytes.NewReader(body), iotest.OneByteReader(bytes.NewReader(body)), iotest.DataErrReader(bytes.NewReader(body))} {
			got, err := readBounded(r, limit)
			c.Assert(err, qt.IsNil)
			c.Assert(bytes.Equal(got, body), qt.IsTrue, qt.Commentf("%d bytes", size))
		}
		_, err := readBounded(io.MultiReader(bytes.NewReader(body), iotest.ErrReader(io.ErrUnexpectedEOF)), limit)
		c.Assert(err, qt.Equals, io.ErrUnexpectedEOF)
		_, err = readBounded(io.MultiReader(bytes.NewReader(body), bytes.NewReader(make([]byte, limit+1-size))), limit)
		c.Assert(err, qt.Equals, ErrTooLarge)
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against bodies without end that cost several times their limit in memory and copying.
func TestEndlessBodyIsNotCopied(t *testing.T) {
	c := qt.New(t)
	const limit = 8 << 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readBounded(endless{}, limit)
	runtime.ReadMemStats(&after)
	c.Assert(err, qt.Equals, ErrTooLarge)
	allocated := after.TotalAlloc - before.TotalAlloc
	c.Assert(allocated < limit*5/4, qt.IsTrue, qt.Commentf("%d bytes for a limit of %d", allocated, limit))
}
