package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/s2"
	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeHandler replies with fixed values. ForwardTicket calls forward if it is set.
type fakeHandler struct {
	Unsupported
	forward func(context.Context, *ForwardTicketRequest) (*ForwardTicketReply, error)
	state   *StateReply
	runs    atomic.Int64
}

var (
	fakeConfig = ConfigSinceReply{Version: 9, Digest: 1 << 63, More: true, Entries: []platformapi.Entry{
		{Number: 8, Kind: platformapi.KindPatch, Base: 7, Part: 1, Parts: 2, Body: json.RawMessage(`{"a":1}`)}}}
	fakeHosts = HostsReply{Hosts: platformapi.Hosts{Version: 3, Hosts: []platformapi.Host{{ID: "h", Kind: "entry", Address: "a",
		ControlAddress: "c", GossipAddress: "g", LinkAddress: "l", AvailabilityZone: "z", Region: "r", State: platformapi.Live}}}}
	fakeStatus = StatusReply{Host: "h", Role: "gateway", Incarnation: 1 << 62, Version: 9, Digest: 4, HostsVersion: 3, Ready: true,
		NotReady: "x", Leaving: true, Load: []ModelLoad{{Model: "m", FreeTokens: -1, QueueDelayMS: 2, QueuedPrefill: 3}}}
)

func (h *fakeHandler) ForwardTicket(ctx context.Context, q *ForwardTicketRequest) (*ForwardTicketReply, error) {
	h.runs.Add(1)
	if h.forward != nil {
		return h.forward(ctx, q)
	}
	return &ForwardTicketReply{Outcome: 1, Status: 200, ContentType: q.ContentType, Body: q.Body, Reason: q.Ticket,
		Step: string(q.Team), Peer: q.Service, Detail: q.Method + q.Path + q.TraceParent, RetryAfterMS: q.RemainingMS}, nil
}

func (h *fakeHandler) ConfigSince(context.Context, *ConfigSinceRequest) (*ConfigSinceReply, error) {
	return &fakeConfig, nil
}
func (h *fakeHandler) Hosts(context.Context, *HostsRequest) (*HostsReply, error) {
	return &fakeHosts, nil
}
func (h *fakeHandler) State(context.Context, *StateRequest) (*StateReply, error) {
	return h.state, nil
}
func (h *fakeHandler) Status(context.Context, *StatusRequest) (*StatusReply, error) {
	return &fakeStatus, nil
}

func start(c *qt.C, cfg Config, addr string, h Handler) (*Server, *Client) {
	c.Helper()
	s, err := Listen(cfg, addr, h)
	c.Assert(err, qt.IsNil)
	cl, err := NewClient(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = cl.Close()
		_ = s.Close(ctx)
	})
	return s, cl
}

// Guards against fields that are lost or swapped in transit.
func TestCallsCarryEveryField(t *testing.T) {
	c := qt.New(t)
	s, cl := start(c, Config{}, "127.0.0.1:0", &fakeHandler{})
	ctx := context.Background()
	cfg, err := cl.ConfigSince(ctx, s.Addr(), &ConfigSinceRequest{After: 7, Limit: 5})
	c.Assert(err, qt.IsNil)
	c.Assert(cfg, qt.DeepEquals, &fakeConfig)
	hosts, err := cl.Hosts(ctx, s.Addr(), &HostsRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(hosts, qt.DeepEquals, &fakeHosts)
	status, err := cl.Status(ctx, s.Addr(), &StatusRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(status, qt.DeepEquals, &fakeStatus)
	fwd, err := cl.ForwardTicket(ctx, s.Addr(), &ForwardTicketRequest{Ticket: "k", Team: "t", Service: "s", Method: "M", Path: "p",
		ContentType: "ct", Body: []byte("body"), RemainingMS: 100, TraceParent: "tp"})
	c.Assert(err, qt.IsNil)
	c.Assert(fwd, qt.DeepEquals, &ForwardTicketReply{Outcome: 1, Status: 200, ContentType: "ct", Body: []byte("body"), Reason: "k",
		Step: "t", Peer: "s", Detail: "Mptp", RetryAfterMS: 100})
	c.Assert(cl.conns, qt.HasLen, 1) // one connection carried all calls
}

// Guards against a change of a large configuration that a host with a link of 20 Mbit/s cannot send to 24 others before
// their calls time out after 400 ms, and against a compressed value that fills the memory of the host that receives it.
func TestStateFitsSlowLinks(t *testing.T) {
	c := qt.New(t)
	const hosts, linkBytes = 24, 20e6 / 8 * 0.4
	reply := &StateReply{Changes: []catalog.Change{{Revision: 9, Config: largeConfig()}}, Revision: 9}
	c.Assert(reply.Encode(), qt.IsNil)
	w := pack.NewWriter()
	encodeBody(w, reply)
	c.Assert(len(w.Buf)*hosts < linkBytes, qt.IsTrue, qt.Commentf("%d bytes for one host", len(w.Buf)))

	s, cl := start(c, Config{}, "127.0.0.1:0", &fakeHandler{state: reply})
	got, err := cl.State(context.Background(), s.Addr(), &StateRequest{})
	c.Assert(err, qt.IsNil)
	c.Assert(got.Changes, qt.DeepEquals, reply.Changes)

	c.Assert(decompress(s2.Encode(nil, make([]byte, maxState+1)), new([]byte)), qt.ErrorMatches, ".*at most.*")
}

// Guards against a late reply that is delivered to another call, and against a handler that runs past the deadline.
func TestLateReplyIsDropped(t *testing.T) {
	c := qt.New(t)
	h := &fakeHandler{}
	cancelled := make(chan struct{})
	h.forward = func(ctx context.Context, q *ForwardTicketRequest) (*ForwardTicketReply, error) {
		if q.Ticket == "slow" {
			<-ctx.Done()
			close(cancelled)
			time.Sleep(50 * time.Millisecond) // the reply must come after the caller's deadline
		}
		return &ForwardTicketReply{Reason: q.Ticket}, nil
	}
	s, cl := start(c, Config{}, "127.0.0.1:0", h)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := cl.ForwardTicket(ctx, s.Addr(), &ForwardTicketRequest{Ticket: "slow", RemainingMS: 10_000})
	c.Assert(ErrTimeout.Has(err), qt.IsTrue, qt.Commentf("%v", err))
	var e *Error
	c.Assert(errors.As(err, &e) && e.Step == "ForwardTicket" && e.Peer == s.Addr(), qt.IsTrue)
	<-cancelled // the handler's context ends at the caller's deadline
	for range 20 {
		got, err := cl.ForwardTicket(context.Background(), s.Addr(), &ForwardTicketRequest{Ticket: "fast", RemainingMS: 1000})
		c.Assert(err, qt.IsNil)
		c.Assert(got.Reason, qt.Equals, "fast")
	}
	c.Assert(h.runs.Load(), qt.Equals, int64(21))
}

// Guards against retrying a call whose connection failed, and against a client that does not reconnect for the next
// call.
func TestBrokenConnectionIsNeverRetried(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	var conns, bytesIn atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			n, _ := conn.Read(make([]byte, 4096)) // the request arrived: it may have run
			bytesIn.Add(int64(n))
			conn.Close()
		}
	}()
	cl, err := NewClient(Config{})
	c.Assert(err, qt.IsNil)
	defer cl.Close()
	for n := int64(1); n <= 3; n++ {
		_, err = cl.ForwardTicket(context.Background(), ln.Addr().String(), &ForwardTicketRequest{RemainingMS: 1000})
		c.Assert(ErrLost.Has(err), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(conns.Load(), qt.Equals, n)
	}
	ln.Close()
	_, err = cl.Status(context.Background(), ln.Addr().String(), &StatusRequest{})
	c.Assert(ErrDial.Has(err), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against later calls that reuse a connection on which the peer no longer replies.
func TestSilentConnectionIsReplaced(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	cl, err := NewClient(Config{CallTimeout: 30 * time.Millisecond})
	c.Assert(err, qt.IsNil)
	defer cl.Close()
	for range 2 {
		_, err = cl.Status(context.Background(), ln.Addr().String(), &StatusRequest{})
		c.Assert(ErrTimeout.Has(err), qt.IsTrue, qt.Commentf("%v", err))
		conn := <-accepted
		_, err = io.Copy(io.Discard, conn) // the client closes it once no call uses it
		c.Assert(err, qt.IsNil)
		conn.Close()
	}
}

// Guards against unbounded message sizes and call counts, errors without a cause, and calls after Close.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	h := &fakeHandler{}
	h.forward = func(context.Context, *ForwardTicketRequest) (*ForwardTicketReply, error) {
		<-release
		return nil, errors.New("executor refused")
	}
	s, cl := start(c, Config{MaxCalls: 1}, "127.0.0.1:0", h)
	first := make(chan error)
	go func() {
		_, err := cl.ForwardTicket(context.Background(), s.Addr(), &ForwardTicketRequest{RemainingMS: 5000})
		first <- err
	}()
	for h.runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := cl.Status(context.Background(), s.Addr(), &StatusRequest{})
	c.Assert(ErrRemote.Has(err) && strings.Contains(err.Error(), "too many calls"), qt.IsTrue, qt.Commentf("%v", err))
	close(release)
	err = <-first
	c.Assert(ErrRemote.Has(err) && strings.Contains(err.Error(), "executor refused"), qt.IsTrue, qt.Commentf("%v", err))
	_, err = cl.ForwardTicket(context.Background(), s.Addr(), &ForwardTicketRequest{Body: make([]byte, MaxMessage), RemainingMS: 1000})
	c.Assert(ErrTooLarge.Has(err), qt.IsTrue, qt.Commentf("%v", err))
	_, err = cl.Status(context.Background(), s.Addr(), &StatusRequest{})
	c.Assert(err, qt.IsNil) // the connection is still usable
	raw, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	defer raw.Close()
	_, _ = raw.Write([]byte{0xff, 0xff, 0xff, 0xff, 1})
	_, err = raw.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil) // closed by the server
	_ = cl.Close()
	_, err = cl.Status(context.Background(), s.Addr(), &StatusRequest{})
	c.Assert(ErrDial.Has(err), qt.IsTrue)
}

// Guards against panics and against allocations of the declared length on corrupt input.
func FuzzCodec(f *testing.F) {
	seed := func(body any) {
		client, server := net.Pipe()
		go func() {
			fr := newFraming(client, Config{}.withDefaults(), 0)
			_ = fr.write(7, "Control.Status", "", body)
			client.Close()
		}()
		b, _ := io.ReadAll(server)
		f.Add(b)
	}
	seed(&ForwardTicketRequest{Ticket: "k", Body: []byte("b")})
	seed(&fakeConfig)
	seed(&fakeHosts)
	seed(&fakeStatus)
	f.Add([]byte{0, 0, 0, 9, 0x94, 1, 0xa0, 0xa0, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, v := range []any{&ForwardTicketRequest{}, &ForwardTicketReply{}, &ConfigSinceRequest{}, &ConfigSinceReply{},
			&HostsRequest{}, &HostsReply{}, &StatusRequest{}, &StatusReply{}} {
			fr := newFraming(&memConn{Reader: strings.NewReader(string(b))}, Config{}, 0)
			if _, _, _, err := fr.readEnvelope(); err == nil {
				_ = fr.decodeInto(v)
			}
		}
	})
}

type memConn struct {
	net.Conn
	io.Reader
}

func (m *memConn) Read(p []byte) (int, error) { return m.Reader.Read(p) }

// Guards against evacuations that are lost between two hosts, and against a host of a build that does not know them that can't
// read a state with them, or whose state can't be read.
func TestStateCarriesEvacuations(t *testing.T) {
	c := qt.New(t)
	// The parts of catalog.Snapshot and catalog.Change that the build before evacuations reads and writes.
	type oldSnapshot struct {
		Revision, ReadUntil uint64
		Servers             []catalog.Server
	}
	type oldChange struct {
		Revision uint64
		Removed  ident.BackendID
	}
	sent := catalog.Snapshot{
		Revision: 9, ReadUntil: 12, Servers: []catalog.Server{{ID: "a", Zone: "z"}}, Evacuations: []catalog.Evacuation{{Zone: "z", Revision: 7}},
	}
	travel := func(from, to any) {
		c.Helper()
		b, err := compress(from)
		c.Assert(err, qt.IsNil)
		c.Assert(decompress(b, to), qt.IsNil)
	}
	var got catalog.Snapshot
	travel(sent, &got)
	c.Assert(got, qt.DeepEquals, sent)
	travel(catalog.NewTable().Snapshot(), &got)
	c.Assert(got.Evacuations, qt.IsNotNil, qt.Commentf("none is not the same as not known"))
	var old oldSnapshot
	travel(sent, &old)
	c.Assert(old, qt.DeepEquals, oldSnapshot{9, 12, sent.Servers})
	got = catalog.Snapshot{}
	travel(old, &got)
	c.Assert(got, qt.DeepEquals, catalog.Snapshot{Revision: 9, ReadUntil: 12, Servers: sent.Servers})

	changes := []catalog.Change{{Revision: 10, Evacuated: "z"}, {Revision: 11, TakenBack: "z"}, {Revision: 12, Removed: "a"}}
	var gotChanges []catalog.Change
	travel(changes, &gotChanges)
	c.Assert(gotChanges, qt.DeepEquals, changes)
	var oldChanges []oldChange
	travel(changes, &oldChanges)
	c.Assert(oldChanges, qt.DeepEquals, []oldChange{{Revision: 10}, {Revision: 11}, {12, "a"}})
}
