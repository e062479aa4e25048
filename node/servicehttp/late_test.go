package servicehttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a caller that gets the answer of another one: a server sends a second copy of an answer late, on a
// connection that a later lookup uses.
func TestLateSecondAnswerReachesNoOtherLookup(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	go serveWithLateCopies(ln)
	client := New(Config{Peer: "ledger-1", Address: ln.Addr().String()})
	for i := range 5 {
		path := fmt.Sprintf("/lots/%d", i)
		resp, err := client.Lookup(context.Background(), Call{Method: http.MethodGet, Path: path})
		c.Assert(err, qt.IsNil)
		c.Assert(string(resp.Body), qt.Equals, path)
	}
}

// serveWithLateCopies answers each request with its path. Before it answers a further request on a connection, it sends
// the answer to the first one again.
func serveWithLateCopies(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return // closed
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReader(conn)
			first := ""
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return // the client has closed the connection
				}
				answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(req.URL.Path), req.URL.Path)
				if first == "" {
					first = answer
				} else {
					fmt.Fprint(conn, first)
				}
				fmt.Fprint(conn, answer)
			}
		}()
	}
}
