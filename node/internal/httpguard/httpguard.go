// Package httpguard bounds what the connections of callers cost a process, whatever they send: the number of connections, the
// memory of request heads in progress, and the size and time of a head. One Guard serves all ports of a process. It has neither
// goroutines nor timers of its own: the goroutine of the connection that exceeds a budget closes the ones that have to go.
//
// Only a connection that waits for bytes of a request is ever closed for a budget, so a request that has been read is answered.
package httpguard

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

const (
	// keptDescriptors are left for files, other hosts and the store. Each connection of a caller needs a second descriptor
	// for the connection to the server of its request.
	keptDescriptors  = 200
	descriptorsEach  = 2
	connectionShare  = 0.25     // of the memory limit, for all connections
	connectionMemory = 24 << 10 // bytes that a connection takes with its buffers and its goroutine
	headShare        = 0.125    // of the memory limit, for all heads in progress
	// defaultHeadMemory is the memory for heads in bytes of a process without a memory limit.
	defaultHeadMemory = 64 << 20
	// headMemory and lineMemory are the bytes that a head in progress takes beside what it has sent, and that a line takes as
	// an entry of a map: short lines take far more memory than their length.
	headMemory = 8 << 10
	lineMemory = 160
	// garbageFactor is the number of bytes of garbage for each byte of a head: net/http joins a line in buffers that double.
	garbageFactor = 4
	// headSlack is added to the limit of the size of a head: net/http reads 4 KiB ahead, and the request line, of which a
	// limit of header bytes may know nothing, has as much.
	headSlack = 8 << 10
	// bodyTime bounds the time for a body that no handler reads. net/http reads it before it sends the answer.
	bodyTime = 5 * time.Second
	// freshTime is the time within which callers send on a new connection.
	freshTime = time.Second
	// refusalTime bounds the time in which a client gets the refusal of its head.
	refusalTime = 500 * time.Millisecond
	// linesPerSecond and lineBurst limit the log lines about closed connections.
	linesPerSecond = 1
	lineBurst      = 5
	// unlimited stands for limits of net/http that the guard takes the place of.
	unlimited = 1 << 30
)

// Reasons for which connections are closed.
const (
	reasonConnections = "connections" // of all connections, it waited longest for a request or for the rest of it
	reasonRefused     = "refused"     // new, while each other connection has a request in progress
	reasonHeadMemory  = "head_memory" // its head was in progress for longest while heads took too much memory
	reasonHeadSize    = "head_size"   // its head exceeds the limit
)

// Limits bound what one caller may send. A zero stands for the default.
type Limits struct {
	HeadBytes int           // of the head of a request
	HeadTime  time.Duration // from the first byte of a head to its end
	IdleTime  time.Duration // without a request
}

// Config configures a Guard.
type Config struct {
	Defaults       Limits // all set
	MaxDescriptors int64  // of the process; zero stands for the limit that the process runs with
	MemoryMB       int64  // of the process; zero stands for no limit
	Obs            *obs.Obs
	Counter        string // name of the counter of closed connections
}

// Guard holds the budgets of a process.
type Guard struct {
	defaults       Limits
	limits         atomic.Pointer[Limits]
	maxConnections int
	maxHeadMemory  int64
	obs            *obs.Obs
	closed         obs.Counter
	lines          *rate.Limiter
	omitted        atomic.Int64

	// read counts the bytes of heads since the last collection that the guard forced.
	read       atomic.Int64
	collecting sync.Mutex

	mu          sync.Mutex
	connections int
	headMemory  int64 // of heads in progress
	// fresh connections wait for their first request, idle ones for another, heads for the end of a head, and bodies for the
	// end of a body, each list in the order in which they began to.
	fresh, idle, heads, bodies list
}

// New returns a guard without connections.
func New(c Config) *Guard {
	g := &Guard{
		defaults: c.Defaults, maxConnections: maxConnections(c), maxHeadMemory: defaultHeadMemory, obs: c.Obs,
		closed: c.Obs.Counter(c.Counter, "cause", "connections of callers closed for a budget, by port and reason"),
		lines:  rate.NewLimiter(linesPerSecond, lineBurst),
	}
	if c.MemoryMB > 0 {
		g.maxHeadMemory = int64(headShare * float64(c.MemoryMB<<20))
	}
	g.SetLimits(Limits{})
	return g
}

func maxConnections(c Config) int {
	descriptors := c.MaxDescriptors
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil && (descriptors == 0 || r.Cur < uint64(descriptors)) {
		descriptors = int64(min(r.Cur, unlimited))
	}
	n := (descriptors - keptDescriptors) / descriptorsEach
	if c.MemoryMB > 0 {
		n = min(n, int64(connectionShare*float64(c.MemoryMB<<20)/connectionMemory))
	}
	return int(max(1, n))
}

// MaxConnections returns the number of connections that all ports together may have.
func (g *Guard) MaxConnections() int { return g.maxConnections }

// SetLimits sets the limits that a configuration names. They apply to each head and each idle time that begins afterwards.
func (g *Guard) SetLimits(l Limits) {
	if l.HeadBytes <= 0 {
		l.HeadBytes = g.defaults.HeadBytes
	}
	if l.HeadTime <= 0 {
		l.HeadTime = g.defaults.HeadTime
	}
	if l.IdleTime <= 0 {
		l.IdleTime = g.defaults.IdleTime
	}
	g.limits.Store(&l)
}

// Protect makes a server, which must not serve yet, keep to the limits. A limit of header bytes that it has already holds as well.
// The returned function must be applied to each accepted connection. It returns nil for one that it has closed.
func (g *Guard) Protect(s *http.Server, port string) (wrap func(net.Conn) net.Conn) {
	// The connections set these limits, since those of a server can't change while it serves.
	s.ReadHeaderTimeout, s.IdleTimeout = g.defaults.HeadTime, g.defaults.IdleTime
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = unlimited
	}
	observe, handler := s.ConnState, s.Handler
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok {
			c.observe(state)
		}
		if observe != nil {
			observe(c, state)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ContentLength != 0 {
			// A handler that reads the body sets its own deadline. An error shows in the reads that follow.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
			c.beginBody()
			r.Body = &body{r.Body, c}
		}
		handler.ServeHTTP(w, r)
	})
	return func(accepted net.Conn) net.Conn { return g.wrap(accepted, port) }
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func (g *Guard) wrap(accepted net.Conn, port string) net.Conn {
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted
	}
	c := &conn{TCPConn: tcp, guard: g, port: port}
	g.mu.Lock()
	var victim *conn
	full := g.connections >= g.maxConnections
	if full {
		victim = g.longestWaiting(time.Now())
	}
	if !full || victim != nil {
		g.connections++
	}
	g.mu.Unlock()
	switch {
	case victim != nil:
		victim.drop(reasonConnections)
	case full:
		g.report(c, reasonRefused)
		_ = tcp.Close()
		return nil
	}
	return c
}

// longestWaiting takes the connection to close for another one out of its list, and returns nil if there is none. Callers send
// at once on a new connection, and reuse one that has served them, so the first ones to go are new ones that have sent
// nothing for freshTime. The guard must be locked.
func (g *Guard) longestWaiting(now time.Time) *conn {
	if c := g.fresh.firstReading(); c != nil && now.Sub(c.since) >= freshTime {
		return g.take(c)
	}
	for _, l := range [...]*list{&g.idle, &g.fresh, &g.heads, &g.bodies} {
		if c := l.firstReading(); c != nil {
			return g.take(c)
		}
	}
	return nil
}

// take removes a connection from its list, for good. The guard must be locked.
func (g *Guard) take(c *conn) *conn {
	g.leave(c)
	c.dropped = true
	return c
}

// leave removes a connection from its list, if it is in one. The guard must be locked.
func (g *Guard) leave(c *conn) {
	if c.in != nil {
		c.in.remove(c)
	}
	g.headMemory -= c.memory
	c.memory = 0
}

// collect runs the garbage collector when heads have left too much garbage since it ran for them last. Heads that arrive faster
// than it keeps up wait for it: without that, beside other load, clients with lines that do not end made a process exceed its
// memory limit.
func (g *Guard) collect(n int) {
	if g.read.Add(int64(n)) < g.maxHeadMemory/garbageFactor {
		return
	}
	g.collecting.Lock()
	defer g.collecting.Unlock()
	if g.read.Load() < g.maxHeadMemory/garbageFactor {
		return // another head has waited for it meanwhile
	}
	runtime.GC()
	g.read.Store(0)
}

// report counts a closed connection and logs it.
func (g *Guard) report(c *conn, reason string) {
	g.closed.Add(1, c.port+"/"+reason)
	if !g.lines.Allow() {
		g.omitted.Add(1)
		return
	}
	g.mu.Lock()
	f := map[string]any{"port": c.port, "reason": reason, "connections": g.connections, "head_bytes": g.headMemory}
	g.mu.Unlock()
	f["peer"] = c.RemoteAddr().String()
	if n := g.omitted.Swap(0); n > 0 {
		f["omitted"] = n
	}
	g.obs.Log.WithFields(f).Warn("connection closed for a budget")
}
