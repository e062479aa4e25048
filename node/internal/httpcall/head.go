package httpcall

import (
	"bytes"
	"errors"
	"regexp"
	"strings"
)

var (
	// errTransferEncoding is the error of an answer in HTTP/1.0 with a transfer encoding, which HTTP/1.0 does not have.
	// net/http drops the field, so that the sizes of chunks would become a part of the body.
	errTransferEncoding = errors.New("answer in HTTP/1.0 with a transfer encoding")
	// errSecondHead is the error of an answer whose head is cut inside a line and followed by another answer. net/http would
	// take the status of the first one with the length and the body of the second one.
	errSecondHead = errors.New("answer with a second head inside its head")
)

// secondHead matches a line of a head that ends with a status line.
var secondHead = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( [^:]*)?$`)

// headCheck looks for faults in the heads of an answer that net/http accepts.
type headCheck struct {
	line    []byte // read so far of the current line
	lines   int    // lines of the current head that are complete
	http10  bool   // the current head is one of HTTP/1.0
	interim bool   // the current head is informational, so another one follows
	done    bool
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
	if h.lines++; h.lines == 1 {
		var protocol string
		protocol, line, _ = strings.Cut(line, " ")
		h.http10, h.interim = protocol == "HTTP/1.0", strings.HasPrefix(line, "1")
	}
	switch {
	case line == "":
		h.done, h.lines = !h.interim, 0
	case strings.Contains(line, "HTTP/1.") && secondHead.MatchString(line):
		return errSecondHead
	case h.http10 && len(line) >= len(field) && strings.EqualFold(line[:len(field)], field):
		return errTransferEncoding
	}
	return nil
}
