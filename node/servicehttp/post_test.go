package servicehttp

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// testService counts every request that it reads as executed and responds with the text that behave returns, or
// resets the connection if behave returns "". n is the number of the request over all connections, from 1.
type testService struct {
	address    string
	executions atomic.Int32
	conns      atomic.Int32
}

func newTestService(c *qt.C, behave func(n int32) string) *testService {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	s := &testService{address: ln.Addr().String()}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(conn, behave)
		}
	}()
	return s
}

func (s *testService) serve(conn net.Conn, behave func(n int32) string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		answer := behave(s.executions.Add(1))
		if answer == "" {
			conn.(*net.TCPConn).SetLinger(0) // close with a reset
			return
		}
		io.WriteString(conn, answer)
	}
}

func status(line, header string) string {
	return "HTTP/1.1 " + line + "\r\n" + header + "Content-Length: 2\r\n\r\nok"
}

var postCall = Call{Method: http.MethodPost, Path: "/payments", Body: []byte("lot=7"), Key: "rh1.t"}

// TestDefaultClientSendsTwiceAfterReset and TestDefaultClientSendsTwiceOn307 demonstrate the fault that Post
// prevents: net/http sends a request again after a reset of a reused connection, and after a 307 redirect.
func TestDefaultClientSendsTwiceAfterReset(t *testing.T) {
	c := qt.New(t)
	s := newTestService(c, func(n int32) string {
		if n == 2 {
			return ""
		}
		return status("200 OK", "")
	})
	client := &http.Client{Transport: &http.Transport{}}
	for range 2 { // the second call reuses the connection of the first
		req, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/payments", strings.NewReader("lot=7"))
		c.Assert(err, qt.IsNil)
		req.Header.Set(KeyHeader, "rh1.t")
		resp, err := client.Do(req)
		c.Assert(err, qt.IsNil)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	c.Assert(s.executions.Load(), qt.Equals, int32(3))
}

func TestDefaultClientSendsTwiceOn307(t *testing.T) {
	c := qt.New(t)
	s := newTestService(c, redirectOnce)
	resp, err := http.Post("http://"+s.address+"/payments", "text/plain", strings.NewReader("lot=7"))
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(s.executions.Load(), qt.Equals, int32(2))
}

func redirectOnce(n int32) string {
	if n == 1 {
		return status("307 Temporary Redirect", "Location: /again\r\n")
	}
	return status("200 OK", "")
}

// Guards against executing a non-idempotent call twice, whatever the server does after the first execution.
func TestPostSendsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		behave func(n int32) string
		status int // 0 for MayHaveRun
	}{
		"answer":                 {func(int32) string { return status("200 OK", "") }, 200},
		"reset after execution":  {func(int32) string { return "" }, 0},
		"redirect":               {redirectOnce, 307},
		"unavailable":            {func(int32) string { return status("503 Service Unavailable", "Retry-After: 0\r\n") }, 503},
		"half an answer":         {func(int32) string { return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" }, 0},
		"half, without a length": {func(int32) string { return "HTTP/1.1 200 OK\r\n\r\nha" }, 0},
		"oversized answer":       {func(int32) string { return "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 5000) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestService(c, test.behave)
			client := New(Config{Peer: "ledger-1", Address: s.address, MaxResponseBytes: 4096})
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			resp, err := client.Post(ctx, postCall, nil)
			c.Assert(s.executions.Load(), qt.Equals, int32(1))
			if test.status == 0 {
				c.Assert(outcome.From(err, "", "").Kind, qt.Equals, outcome.MayHaveRun)
				c.Assert(outcome.From(err, "", "").Peer, qt.Equals, "ledger-1")
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Status, qt.Equals, test.status)
		})
	}
}

// Guards against a non-idempotent call over a reused connection: if the server closes an idle
// connection as the call is sent, net/http sends the request again.
func TestPostNeverReusesConnection(t *testing.T) {
	c := qt.New(t)
	s := newTestService(c, func(int32) string { return status("200 OK", "") })
	client := New(Config{Address: s.address})
	for n := int32(1); n <= 3; n++ {
		_, err := client.Lookup(context.Background(), Call{Method: http.MethodGet, Path: "/"})
		c.Assert(err, qt.IsNil)
		_, err = client.Post(context.Background(), postCall, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(s.conns.Load(), qt.Equals, 2*n) // a connection for each call, also for a lookup
		c.Assert(s.executions.Load(), qt.Equals, 2*n)
	}
}

// Guards against reporting "not run" for a call that was written, and "may have run" for one that wasn't.
func TestPostTellsNotRunOnlyWithoutWrite(t *testing.T) {
	c := qt.New(t)
	s := newTestService(c, func(int32) string { time.Sleep(time.Second); return "" })
	client := New(Config{Address: s.address})
	refusal := outcome.Refuse("send", outcome.Deadline, "late")
	for name, test := range map[string]struct {
		client *Client
		hook   func() error
		kind   outcome.Kind
		reason outcome.Reason
	}{
		"dead server":     {New(Config{Address: closedAddress(c)}), nil, outcome.NotRun, outcome.NoBackend},
		"refused by hook": {client, func() error { return refusal }, outcome.NotRun, outcome.Deadline},
		"failed hook":     {client, func() error { return errors.New("x") }, outcome.NotRun, outcome.Internal},
		"silent server":   {client, nil, outcome.MayHaveRun, outcome.Deadline},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		before := s.executions.Load()
		_, err := test.client.Post(ctx, postCall, test.hook)
		cancel()
		e := outcome.From(err, "", "")
		c.Check(e.Kind, qt.Equals, test.kind, qt.Commentf(name))
		c.Check(e.Reason, qt.Equals, test.reason, qt.Commentf(name))
		time.Sleep(20 * time.Millisecond)
		c.Check(s.executions.Load() == before, qt.Equals, test.kind == outcome.NotRun, qt.Commentf(name))
	}
}

// Guards against a write that starts after Post has returned "not run". The calls are cancelled around the time
// of the first write.
func TestPostCancelRace(t *testing.T) {
	c := qt.New(t)
	s := newTestService(c, func(int32) string { return status("200 OK", "") })
	client := New(Config{Address: s.address})
	notRun, want := 0, int32(0)
	for i := range 300 {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(time.Duration(i) * 2 * time.Microsecond)
			cancel()
		}()
		_, err := client.Post(ctx, postCall, nil)
		if err != nil && outcome.From(err, "", "").Kind == outcome.NotRun {
			notRun++
		} else {
			want++
		}
		cancel()
	}
	time.Sleep(100 * time.Millisecond)
	c.Assert(s.executions.Load() <= want, qt.IsTrue, qt.Commentf("executed %d, allowed %d", s.executions.Load(), want))
	c.Logf("not run %d of 300", notRun)
}

func closedAddress(c *qt.C) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	return ln.Addr().String()
}
