package httpguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/node/internal/httpdrain"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// site is a guarded server on loopback.
type site struct {
	c       *qt.C
	guard   *Guard
	address string
	holding atomic.Int64 // requests that wait for release
}

// newSite starts a server that answers with the length of the body. A request for /hold waits for release first.
func newSite(c *qt.C, cfg Config, release <-chan struct{}) *site {
	o, err := obs.New(obs.Config{HostID: "h", Role: "entry", LogLevel: "error"})
	c.Assert(err, qt.IsNil)
	cfg.Obs, cfg.Counter = o, "closed"
	if cfg.Defaults == (Limits{}) {
		cfg.Defaults = Limits{HeadBytes: 64 << 10, HeadTime: 5 * time.Second, IdleTime: 60 * time.Second}
	}
	s := &site{c: c, guard: New(cfg)}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			s.holding.Add(1)
			<-release
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		fmt.Fprint(w, len(body))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := httpdrain.NewListener(ln.(*net.TCPListener))
	l.Wrap = s.guard.Protect(server, "callers")
	go func() { _ = l.Serve(server) }() // returns after Close
	c.Cleanup(func() { _ = server.Close() })
	s.address = ln.Addr().String()
	return s
}

// client is a connection to a site.
type client struct {
	c    *qt.C
	conn net.Conn
	r    *bufio.Reader
}

func (s *site) dial() *client {
	conn, err := net.Dial("tcp", s.address)
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = conn.Close() })
	s.c.Assert(conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &client{s.c, conn, bufio.NewReader(conn)}
}

// send ignores errors: what it sends may be refused before its end.
func (x *client) send(text string) { _, _ = io.WriteString(x.conn, text) }

// status returns the status of the next answer, 0 if the connection has ended.
func (x *client) status() int {
	resp, err := http.ReadResponse(x.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (x *client) get() int {
	x.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	return x.status()
}

// counts returns the number of connections in each list.
func (s *site) counts() (fresh, idle, heads, bodies int) {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	count := func(l list) (n int) {
		for c := l.first; c != nil; c = c.next {
			if c.reading {
				n++
			}
		}
		return n
	}
	return count(s.guard.fresh), count(s.guard.idle), count(s.guard.heads), count(s.guard.bodies)
}

func (s *site) eventually(fresh, idle, heads, bodies int) {
	s.c.Helper()
	want := [4]int{fresh, idle, heads, bodies}
	var got [4]int
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if got[0], got[1], got[2], got[3] = s.counts(); got == want {
			return
		}
	}
	s.c.Fatalf("fresh, idle, heads, bodies are %v, not %v", got, want)
}

// awaitHolding waits until the handlers of n requests wait for release.
func (s *site) awaitHolding(n int) {
	s.c.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if s.holding.Load() == int64(n) {
			return
		}
	}
	s.c.Fatalf("%d requests wait, not %d", s.holding.Load(), n)
}

// head returns a request whose head has n bytes of header lines and a line of 100 bytes before them.
func head(n int) string {
	line := "GET /" + strings.Repeat("p", 84) + " HTTP/1.1\r\n"
	rest := n - len("Host: h\r\nX: \r\n\r\n")
	return line + "Host: h\r\nX: " + strings.Repeat("x", rest) + "\r\n\r\n"
}

// Guards against a request within the limits of the configuration that is refused, on a new and on a kept connection and in a row
// without waiting for answers, and against one far above them that is served.
func TestHeadLimit(t *testing.T) {
	c := qt.New(t)
	s := newSite(c, Config{}, nil)
	c.Check(s.dial().ask(head(60<<10)), qt.Equals, http.StatusOK)
	c.Check(s.dial().ask(head(80<<10)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	s.guard.SetLimits(Limits{HeadBytes: 16_384})
	x := s.dial()
	for range 3 {
		c.Check(x.ask(head(16_384)), qt.Equals, http.StatusOK)
	}
	x.send(strings.Repeat(head(16_384), 3) + "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("b", 100_000))
	for range 4 {
		c.Check(x.status(), qt.Equals, http.StatusOK)
	}
	c.Check(x.ask(head(30_000)), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	c.Check(x.get(), qt.Equals, 0)
}

func (x *client) ask(request string) int {
	x.send(request)
	return x.status()
}

// Guards against an idle connection that is closed while callers may still use it, before or after its first request, and against
// heads and idle connections that outlast the times of the configuration.
func TestTimesOfConfiguration(t *testing.T) {
	c := qt.New(t)
	s := newSite(c, Config{Defaults: Limits{HeadBytes: 64 << 10, HeadTime: 50 * time.Millisecond, IdleTime: 50 * time.Millisecond}}, nil)
	s.guard.SetLimits(Limits{HeadTime: 300 * time.Millisecond, IdleTime: 2 * time.Second})
	x := s.dial()
	for range 2 {
		time.Sleep(1600 * time.Millisecond)
		c.Check(x.get(), qt.Equals, http.StatusOK)
	}
	// net/http sets a deadline for a head on a new connection at once, and on a kept one after 4 bytes.
	for _, begin := range []string{"GE", "GET / HTTP/1.1\r\n"} {
		kept := s.dial()
		c.Check(kept.get(), qt.Equals, http.StatusOK)
		for _, x := range []*client{s.dial(), kept} {
			x.send(begin)
			began := time.Now()
			c.Check(x.status(), qt.Not(qt.Equals), http.StatusOK)
			c.Check(time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("the head had %v", time.Since(began)))
		}
	}
	y := s.dial()
	c.Check(y.get(), qt.Equals, http.StatusOK)
	began := time.Now()
	c.Check(y.status(), qt.Equals, 0)
	c.Check(time.Since(began) >= 2*time.Second-50*time.Millisecond, qt.IsTrue, qt.Commentf("idle for %v", time.Since(began)))
}

// Guards against a new caller that is turned away while a connection has no request in progress, against another order than idle
// connections, heads and bodies, the longest first, and against a request in progress that is cut off for a new connection.
func TestConnectionBudget(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	s := newSite(c, Config{MaxDescriptors: keptDescriptors + 4*descriptorsEach}, release)
	held := s.dial()
	held.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	body := s.dial()
	body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1")
	s.eventually(0, 0, 0, 1)
	inHead := s.dial()
	inHead.send("GET / HTTP/1.1\r\n")
	s.eventually(0, 0, 1, 1)
	idle := s.dial()
	c.Check(idle.get(), qt.Equals, http.StatusOK)
	s.eventually(0, 1, 1, 1)
	requests := []*client{held}
	for n, gone := range []*client{idle, inHead, body} {
		next := s.dial()
		next.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
		c.Check(gone.status(), qt.Not(qt.Equals), http.StatusOK)
		s.eventually(0, 0, max(0, 1-n), max(0, min(1, 2-n)))
		requests = append(requests, next)
		s.awaitHolding(len(requests)) // a connection that is accepted and not read yet counts as one without a request
	}
	c.Check(s.dial().get(), qt.Equals, 0) // each connection has a request in progress
	close(release)
	for _, x := range requests {
		c.Check(x.status(), qt.Equals, http.StatusOK)
	}
	s.eventually(0, len(requests), 0, 0)
}

// Guards against heads in progress that together take more memory than there is for them, and against the loss of others than
// those in progress for longest.
func TestHeadMemory(t *testing.T) {
	const heads = 20
	c := qt.New(t)
	s := newSite(c, Config{MemoryMB: 1}, nil) // 128 KiB for heads
	s.guard.mu.Lock()
	s.guard.maxConnections = 2 * heads
	s.guard.mu.Unlock()
	var list []*client
	most := int(s.guard.maxHeadMemory / (headMemory + 12*lineMemory + 100))
	for n := range heads {
		x := s.dial()
		x.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 10))
		list = append(list, x)
		if n >= most {
			c.Check(list[n-most].status(), qt.Equals, 0)
		}
		s.eventually(0, 0, min(n+1, most), 0)
	}
	for _, x := range list[heads-most:] {
		x.send("\r\n")
		c.Check(x.status(), qt.Equals, http.StatusOK)
	}
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	c.Check(s.guard.headMemory, qt.Equals, int64(0))
}
