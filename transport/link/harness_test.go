package link

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
	"go.uber.org/goleak"
)

// gnet's worker pool starts its goroutines when the package is loaded, so they are not leaks of a link.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

const waitTimeout = 10 * time.Second

// recorder records the events of all links in order of arrival.
type recorder struct {
	mu    sync.Mutex
	up    []*Peer
	down  []error
	msgs  map[string][]wire.Message
	onMsg func(*Peer, wire.Message)
}

func (r *recorder) OnUp(p *Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.up = append(r.up, p)
}

func (r *recorder) OnMessage(p *Peer, m wire.Message) {
	if r.onMsg != nil {
		r.onMsg(p, m)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.msgs == nil {
		r.msgs = map[string][]wire.Message{}
	}
	r.msgs[p.String()] = append(r.msgs[p.String()], m)
}

func (r *recorder) OnDown(_ *Peer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = append(r.down, err)
}

func (r *recorder) ups() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.up)
}

func (r *recorder) downs() []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]error(nil), r.down...)
}

func (r *recorder) got(name string) []wire.Message {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.msgs[name]
}

func eventually(c *qt.C, what string, f func() bool) {
	c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.Fatalf("not within %v: %s", waitTimeout, what)
}

func testConfig(host, role string) Config {
	return Config{Host: ident.HostID(host), Role: role, Incarnation: ident.NewIncarnation(),
		KeepaliveInterval: 50 * time.Millisecond, DeadAfter: time.Second, BackoffMax: 100 * time.Millisecond}
}

func startServer(c *qt.C, cfg Config, addr string, h Handler) *Server {
	c.Helper()
	s, err := Listen(cfg, addr, h)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { closeWithin(s) })
	return s
}

func startClient(c *qt.C, cfg Config, h Handler) *Client {
	c.Helper()
	cl, err := NewClient(cfg, h)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { closeWithin(cl) })
	return cl
}

func closeWithin(x interface{ Close(context.Context) error }) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_ = x.Close(ctx)
}

// rawPeer is a TCP connection on which the test writes raw frames.
type rawPeer struct {
	c    *qt.C
	conn net.Conn
	enc  *wire.Encoder
	head wire.Head
}

func dialRaw(c *qt.C, s *Server, host string) *rawPeer {
	conn, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return &rawPeer{c: c, conn: conn, enc: wire.NewEncoder(), head: wire.Head{Sender: host + "/gateway", Incarnation: 7}}
}

// frame encodes m with the given sequence number.
func (r *rawPeer) frame(seq uint64, m wire.Message) []byte {
	*m.Header() = r.head
	m.Header().Seq = seq
	b, err := r.enc.Append(nil, m)
	r.c.Assert(err, qt.IsNil)
	return b
}

func (r *rawPeer) write(b []byte) {
	_, err := r.conn.Write(b)
	r.c.Assert(err, qt.IsNil)
}

func (r *rawPeer) hello() { r.write(r.frame(1, &wire.Hello{Role: "gateway"})) }
