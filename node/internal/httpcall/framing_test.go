package httpcall_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/enginehttp"
	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
)

// timeout is how long the calls of the table wait for an answer.
const timeout = 150 * time.Millisecond

// What a server does after it has sent a part of an answer.
const (
	atClose   = "close"
	atReset   = "reset"
	atSilence = "silence"
	atEndless = "more bytes without end"
)

// answer is the text of an answer, and what a server does after it.
type answer struct {
	head, body, last, end string
	chunks                bool
}

// serve answers every request of a listener.
func (a answer) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body) // request bodies are short
			fmt.Fprint(conn, a.head, a.frame(a.body), a.last)
			switch a.end {
			case atReset:
				conn.(*net.TCPConn).SetLinger(0)
			case atSilence:
				_, _ = r.ReadByte() // until the client closes
			case atEndless:
				for err == nil {
					_, err = fmt.Fprint(conn, a.frame("{}\n"))
				}
			}
		}()
	}
}

func (a answer) frame(text string) string {
	if !a.chunks || text == "" {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

const (
	first = "{\"n\":1,\"text\":\"a\"}\n"
	whole = first + "{\"end\":true,\"count\":1}\n"
)

// Guards against an answer of a service or engine that is taken for whole although its end did not arrive, that fails
// although it did, or that is changed, for each framing and end.
func TestFramingAndEnd(t *testing.T) {
	for _, f := range []struct {
		name, head, last string
		marked, chunks   bool
	}{
		{name: "length", head: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(whole)), marked: true},
		{name: "length in HTTP 1.0", head: fmt.Sprintf("HTTP/1.0 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", len(whole)), marked: true},
		{name: "chunks", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", last: "0\r\n\r\n", marked: true, chunks: true},
		{name: "connection", head: "HTTP/1.1 200 OK\r\n\r\n"},
		{name: "connection in HTTP 1.0", head: "HTTP/1.0 200 OK\r\n\r\n"},
	} {
		for _, part := range []string{"", first[:5], first, whole} {
			for _, end := range []string{atClose, atReset, atSilence, atEndless} {
				a := answer{head: f.head, body: part, end: end, chunks: f.chunks}
				complete := f.marked && part == whole
				switch {
				case end == atEndless && f.marked && !f.chunks:
					continue // what follows the length is not part of the answer
				case (end == atSilence || end == atEndless) && (part == "" || part == first):
					continue // takes the timeout for each call, and shows no more
				case end == atEndless:
					complete = false
				case part == whole:
					a.last = f.last
				}
				t.Run(fmt.Sprintf("%s, %d bytes, %s", f.name, len(part), end), func(t *testing.T) {
					t.Parallel()
					checkCalls(qt.New(t), a, complete || (!f.marked && end == atClose))
				})
			}
		}
	}
}

// Guards against the answer of a service or engine that is taken for whole although its server stopped inside its head, also
// when another answer follows.
func TestHeadCutAtEveryByte(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: x\r\n\r\n"
	for n := 1; n < len(head); n++ {
		for _, a := range []answer{{head: head[:n], end: atClose}, {head: head[:n], end: atReset}, {head: head[:n] + head, end: atClose}} {
			checkCalls(qt.New(t), a, false)
		}
	}
}

// checkCalls checks what the clients of services and engines make of an answer. Calls of services return its body if it is
// complete. A session of an engine is complete with its end line.
func checkCalls(c *qt.C, a answer, complete bool) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	go a.serve(ln)
	service := servicehttp.New(servicehttp.Config{Peer: "ledger-1", Address: ln.Addr().String(), MaxResponseBytes: 1 << 16})
	call := servicehttp.Call{Method: http.MethodPost, Path: "/payments", Body: []byte("lot=7"), Key: "rh1.t"}
	lookup := func(ctx context.Context) (*servicehttp.Response, error) { return service.Lookup(ctx, call) }
	post := func(ctx context.Context) (*servicehttp.Response, error) { return service.Post(ctx, call, nil) }
	for name, send := range map[string]func(context.Context) (*servicehttp.Response, error){"lookup": lookup, "posting": post} {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		resp, err := send(ctx)
		cancel()
		if !complete {
			c.Check(err, qt.IsNotNil, qt.Commentf(name))
			c.Check(outcome.From(err, "", "").Kind, qt.Equals, outcome.MayHaveRun, qt.Commentf(name))
			continue
		}
		if c.Check(err, qt.IsNil, qt.Commentf(name)); err != nil {
			continue
		}
		c.Check(string(resp.Body), qt.Equals, a.body, qt.Commentf(name))
	}
	c.Check(sessionEnded(ln.Addr().String()), qt.Equals, a.body == whole)
}

// sessionEnded reports whether a session of an engine came to its end line.
func sessionEnded(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s, err := enginehttp.New(enginehttp.Config{Peer: "engine-1", Address: address}).Start(ctx, backendapi.SessionRequest{Session: "s"})
	for err == nil {
		_, err = s.Next()
	}
	return errors.Is(err, io.EOF)
}
