package httpend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a caller that gets no answer because it has stopped sending in the middle of its body, or because its
// body is too large.
func TestUnfinishedBodyIsAnswered(t *testing.T) {
	const within = 100 * time.Millisecond
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, e := ReadBody(w, r, 1000, within); e != nil {
			WriteError(w, e, func(time.Duration) string { return "" })
		}
	}))
	defer s.Close()
	for _, x := range []struct {
		name         string
		length, sent int
		status       int
	}{
		{"a body that stops", 500, 200, http.StatusServiceUnavailable},
		{"a large body that stops", 5000, 2000, http.StatusRequestEntityTooLarge},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			conn, err := net.Dial("tcp", s.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(within + 3*time.Second)) // an error shows in the reads below
			fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", x.length, make([]byte, x.sent))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Assert(resp.StatusCode, qt.Equals, x.status)
			c.Assert(resp.Close, qt.IsTrue)
		})
	}
}
