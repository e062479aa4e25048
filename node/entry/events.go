package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent is the maximum size of a stream event in bytes.
const maxEvent = 128 << 10

// eventReader reads a stream of server-sent events. It returns complete events only.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 2<<10)} }

// event is one event with its raw bytes, including the blank line that ends it.
type event struct {
	raw []byte
	id  int64 // -1 if the event has none
}

// next returns the next event. It returns io.EOF if the stream ended after a complete event, and
// io.ErrUnexpectedEOF if it ended inside one.
func (x *eventReader) next() (event, error) {
	ev := event{id: -1}
	continued := false // the line began in an earlier buffer
	for {
		line, err := x.r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.raw) > maxEvent {
				return ev, Error.New("event of more than %d bytes", maxEvent)
			}
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
		if len(ev.raw) > maxEvent {
			return ev, Error.New("event of more than %d bytes", maxEvent)
		}
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
