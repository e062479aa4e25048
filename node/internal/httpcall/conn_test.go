package httpcall

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a reset that passes for the clean end of a body without length or chunks: a request that is still being
// written takes the error of the reset, and the kernel then reports an end of file to the reader.
func TestResetDuringRequestIsNoCleanEnd(t *testing.T) {
	const rounds, requestBytes = 100, 16 << 20
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	go answerAndReset(ln)
	client := &http.Client{Transport: NewTransport(time.Second)}
	answered, whole := 0, 0
	for range rounds {
		resp, err := client.Post("http://"+ln.Addr().String(), "text/plain", bytes.NewReader(make([]byte, requestBytes)))
		if err != nil {
			continue // the reset came before the head was read
		}
		answered++
		if _, err := io.ReadAll(resp.Body); err == nil {
			whole++
		}
		resp.Body.Close()
	}
	c.Assert(answered > 0, qt.IsTrue)
	c.Assert(whole, qt.Equals, 0, qt.Commentf("of %d answers", answered))
}

// answerAndReset answers each request after its head with a part of a body, and resets the connection.
func answerAndReset(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(2 * time.Millisecond) // the client reads the head and goes on writing
			conn.(*net.TCPConn).SetLinger(0)
		}()
	}
}

// Guards against faults of a head that are missed because it arrives in parts or after an informational one, and against what
// stands in a body or is allowed being taken for one.
func TestFaultsOfHeadsAreFound(t *testing.T) {
	c := qt.New(t)
	const field = "Transfer-Encoding: chunked\r\n"
	for text, want := range map[string]error{
		"HTTP/1.0 200 OK\r\nA: b\r\n" + field + "\r\n":                                          errTransferEncoding,
		"HTTP/1.0 200 OK\ntRANSFER-eNCODING:\n\n":                                               errTransferEncoding,
		"HTTP/1.0 200 OK\r\nA: b\r\n\r\n" + field:                                               nil,
		"HTTP/1.0 200 OK\r\nX-" + field + "\r\n":                                                nil,
		"HTTP/1.1 200 OK\r\n" + field + "\r\n":                                                  nil,
		"HTTP/1.1 200 OK\r\nA: bHTTP/1.1 200 OK\r\nC: d\r\n\r\n":                                errSecondHead,
		"HTTP/1.0 200 OK\nA: HTTP/1.0 503 Service Unavailable\n\n":                              errSecondHead,
		"HTTP/1.1 200 HTTP/1.1 500 Internal Server Error\r\nA: b\r\n\r\n":                       errSecondHead,
		"HTTP/1.1 200 OK\r\nA:HTTP/1.1 200\r\n\r\n":                                             errSecondHead,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK\r\n\r\n": errSecondHead,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nServer: HTTP/1.1 200 rpm/2: x\r\n\r\n":       nil,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: HTTP/1.1 200 OK\r\n":              nil,
	} {
		var whole, parts headCheck
		c.Check(whole.read([]byte(text)), qt.Equals, want, qt.Commentf(text))
		var err error
		for i := 0; i < len(text) && err == nil; i++ {
			err = parts.read([]byte(text[i : i+1]))
		}
		c.Check(err, qt.Equals, want, qt.Commentf(text))
	}
}

// Guards against a fault of a head that net/http reads over because it shows in the second part of a line: the reader of lines
// takes the first part for the line, and drops the error.
func TestFaultInSecondPartOfLineEndsTheAnswer(t *testing.T) {
	c := qt.New(t)
	for _, parts := range [][]string{
		{"HTTP/1.1 200 OK\r\nServer: sealHTTP/1.1 200", " OK\r\nContent-L", "ength: 0\r\n\r\nrest"},
		{"HTTP/1.0 200 OK\r\nTransfer-Enc", "oding: chunked\r\nA: ", "b\r\n\r\n4\r\nrest\r\n0\r\n\r\n"},
	} {
		address := answerOnce(c, parts...)
		client := &http.Client{Transport: &http.Transport{DialContext: DialContext(&net.Dialer{})}}
		resp, err := client.Get("http://" + address)
		if err == nil {
			resp.Body.Close()
		}
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", parts))
	}
}

// answerOnce starts a server that answers one request, whatever it is, in parts that are read each by itself.
func answerOnce(c *qt.C, parts ...string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn)) // the request is not looked at
		for _, part := range parts {
			_, _ = io.WriteString(conn, part)
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return ln.Addr().String()
}

// Guards against heads that take the memory for heads for good after their connection has ended or their last line has come, and
// against usual heads that fail while others take all of it.
func TestHeadMemoryIsGivenBack(t *testing.T) {
	c := qt.New(t)
	heads := NewHeadMemory(10_000)
	get := func(parts ...string) error {
		client := &http.Client{Transport: &http.Transport{DialContext: heads.DialContext(&net.Dialer{}), DisableKeepAlives: true}}
		resp, err := client.Get("http://" + answerOnce(c, parts...))
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		c.Check(heads.used.Load(), qt.Equals, int64(0))
		_, err = io.ReadAll(resp.Body)
		return err
	}
	status, end := "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"
	field := "X-Filler: " + strings.Repeat("x", 8_000) + "\r\n"
	for range 3 {
		c.Check(get(status, field, end), qt.IsNil)
		c.Check(get(status, field), qt.IsNotNil) // ends inside the head
		c.Check(get(status, field, field, field), qt.ErrorMatches, ".*"+ErrHeadMemory.Error())
		c.Check(heads.used.Load(), qt.Equals, int64(0))
	}
	heads.used.Store(20_000)
	c.Check(get(status, field, end), qt.ErrorMatches, ".*"+ErrHeadMemory.Error())
	heads.used.Store(0)
	body := strings.Repeat("y", 50_000)
	c.Check(get(status, "Content-Length: 50000\r\n\r\n", body), qt.IsNil)
}
