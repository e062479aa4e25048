package httpcall

import (
	"bytes"
	"errors"
	"strings"
)

// errTransferEncoding is the error of an answer in HTTP/1.0 with a transfer encoding, which HTTP/1.0 does not have. net/http
// drops the field, so that the sizes of chunks would become a part of the body.
var errTransferEncoding = errors.New("answer in HTTP/1.0 with a transfer encoding")

// headCheck looks for a transfer encoding in the head of an answer in HTTP/1.0.
type headCheck struct {
	line  []byte // read so far of the current line
	lines int    // lines that are complete
	done  bool
}

// read takes the bytes of a read of the connection. The limit of net/http for heads bounds their number.
func (h *headCheck) read(b []byte) error {
	for !h.done {
		rest, after, complete := bytes.Cut(b, []byte("\n"))
		h.line = append(h.line, rest...)
		if !complete {
			return nil
		}
		if err := h.check(strings.TrimRight(string(h.line), "\r")); err != nil {
			return err
		}
		h.line, b = h.line[:0], after
	}
	h.line = nil
	return nil
}

// check takes a complete line.
func (h *headCheck) check(line string) error {
	const field = "transfer-encoding:"
	h.lines++
	http10 := h.lines > 1 || strings.HasPrefix(line, "HTTP/1.0 ")
	h.done = !http10 || line == ""
	if len(line) >= len(field) && strings.EqualFold(line[:len(field)], field) {
		return errTransferEncoding
	}
	return nil
}
