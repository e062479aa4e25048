package entry

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEvent bounds one event of a stream.
const maxEvent = 1 << 20

// eventReader reads a stream of server-sent events whole: half an event never comes out.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReaderSize(r, 2<<10)} }

// event is one event with its bytes as they came, the blank line included.
type event struct {
	raw []byte
	id  int64 // -1 when the event names none
}

// next returns the next event. io.EOF means that the stream has ended after a whole event, and
// io.ErrUnexpectedEOF that it broke off inside one.
func (x *eventReader) next() (event, error) {
	ev := event{id: -1}
	for {
		line, err := x.r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			if len(ev.raw) > maxEvent {
				return ev, Error.New("event of more than %d bytes", maxEvent)
			}
			continue
		case errors.Is(err, io.EOF) && len(ev.raw) > 0:
			return ev, io.ErrUnexpectedEOF
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
				ev.id = id
			}
		}
		if len(ev.raw) > maxEvent {
			return ev, Error.New("event of more than %d bytes", maxEvent)
		}
	}
}
