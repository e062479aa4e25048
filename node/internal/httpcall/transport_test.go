package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a status that HTTP does not have, which a process would pass on or treat as a success.
func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	c := qt.New(t)
	for status, valid := range map[string]bool{
		"000": false, "099": false, "199": false, "200": true, "299": true, "599": true, "600": false, "999": false,
	} {
		address := answerOnce(c, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 0\r\n\r\n")
		req, err := http.NewRequest("GET", "http://"+address, nil)
		c.Assert(err, qt.IsNil)
		resp, err := NewTransport(time.Second).RoundTrip(req)
		if valid {
			c.Check(err, qt.IsNil)
			c.Check(resp.Body.Close(), qt.IsNil)
		} else {
			c.Check(err, qt.IsNotNil, qt.Commentf(status))
		}
	}
}

// Guards against a call that never ends because its server changes to another protocol, sends bytes without end, and the
// context of the call does not end the reading of them.
func TestProtocolChangeEndsTheCall(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		defer conn.Close()
		_, err = http.ReadRequest(bufio.NewReader(conn))
		for answer := "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n"; err == nil; answer = "x" {
			_, err = io.WriteString(conn, answer)
			time.Sleep(time.Millisecond)
		}
	}()
	req, err := http.NewRequest("GET", "http://"+ln.Addr().String(), nil)
	c.Assert(err, qt.IsNil)
	_, err = NewTransport(time.Second).RoundTrip(req)
	c.Assert(err, qt.ErrorIs, ErrProtocolChange)
	<-closed // the connection is not kept
}
