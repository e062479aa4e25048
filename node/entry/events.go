package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEvent is the maximum size of a stream event in bytes.
	maxEvent = 128 << 10
	// freeEventBytes is the part of an event, and of what comes before the first one, that does not count towards the memory
	// for bodies. Usual events are smaller, so streams of them go on while others take all of that memory.
	freeEventBytes = 4 << 10
)

// eventReader reads a stream of server-sent events. It returns complete events only.
type eventReader struct {
	r      *bufio.Reader
	bodies *bodyMemory
}

func newEventReader(r io.Reader, bodies *bodyMemory) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, 2<<10), bodies}
}

// event is one event with its raw bytes, including the blank line that ends it.
type event struct {
	raw    []byte
	id     int64 // -1 if the event has none
	memory share // of raw; the receiver releases it
}

// add appends a part of the event.
func (e *event) add(part []byte) error {
	if e.raw = append(e.raw, part...); len(e.raw) > maxEvent {
		return Error.New("event of more than %d bytes", maxEvent)
	}
	return e.memory.takeBeyondFree(len(e.raw), len(part))
}

// takeBeyondFree counts the bytes that were added last to a part of a stream, as far as the part exceeds freeEventBytes. total is
// its size with them.
func (s *share) takeBeyondFree(total, added int) error {
	if over := total - freeEventBytes; over > 0 {
		return s.take(min(over, added))
	}
	return nil
}

// next returns the next event, or what was read of it with an error: io.EOF if the stream ended after a complete event, and
// io.ErrUnexpectedEOF if it ended inside one.
func (x *eventReader) next() (event, error) {
	ev := event{id: -1, memory: share{memory: x.bodies}}
	continued := false // the line began in an earlier buffer
	for {
		line, err := x.r.ReadSlice('\n')
		if err := ev.add(line); err != nil {
			return ev, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continued = true
			continue
		case errors.Is(err, io.EOF) && len(ev.raw) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && !continued {
			return ev, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found && !continued {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.id = id
			}
		}
		continued = false
	}
}

// isComment reports whether all lines of an event are comments.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
