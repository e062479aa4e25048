package servicehttp

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

const stepPost = "service_post"

// Post sends a non-idempotent call at most once, over a new connection, and follows no redirect.
// beforeFirstByte runs once, after the connection is established and right before the first byte is written;
// if it returns an error, nothing is written and the call ends. It may be nil, must be quick and must not call
// back into the client.
//
// A response with any status is returned as it is, 307 and 503 included. An error is an *outcome.Error: NotRun
// only if no byte was written and none will be, MayHaveRun from the first write attempt on.
func (c *Client) Post(ctx context.Context, call Call, beforeFirstByte func() error) (*Response, error) {
	if call.Key == "" {
		return nil, outcome.Refuse(stepPost, outcome.TicketMissing, "a posting needs a key")
	}
	if !strings.HasPrefix(c.base, "http://") {
		// Under TLS the handshake would be the first write, so the hook would run too early.
		return nil, outcome.Refuse(stepPost, outcome.BadRequest, "a posting needs a plain http address: "+c.base)
	}
	req, err := c.request(ctx, call)
	if err != nil {
		return nil, err
	}
	gate := &sendGate{hook: beforeFirstByte}
	tr := c.singleUseTransport(gate)
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, c.postError(ctx, gate.close(), err)
	}
	defer resp.Body.Close()
	body, err := httpcall.ReadWhole(resp, c.cfg.MaxResponseBytes)
	if err != nil {
		return nil, c.postError(ctx, gate.close(), err)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// singleUseTransport returns a transport that dials once and checks every write with the gate. net/http resends
// requests only on reused connections, and this transport never reuses one.
func (c *Client) singleUseTransport(gate *sendGate) *httpcall.Transport {
	tr := httpcall.NewTransport(c.cfg.DialTimeout)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if !gate.firstDial() {
			return nil, errSecondDial
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: gate}, nil
	}
	return tr
}

func (c *Client) postError(ctx context.Context, st gateState, err error) *outcome.Error {
	if st.hookErr != nil {
		return c.hookError(st.hookErr)
	}
	e := &outcome.Error{Kind: outcome.MayHaveRun, Reason: outcome.BackendLost, Step: stepPost, Peer: c.cfg.Peer, Err: err}
	if errors.Is(err, httpcall.ErrTooLarge) {
		e.Reason = outcome.BackendFailed
	}
	if !st.written {
		e.Kind, e.Reason = outcome.NotRun, outcome.NoBackend
	}
	if r, ok := httpcall.ContextReason(ctx, err); ok {
		e.Reason = r
	}
	return e
}

// hookError returns a NotRun error of the hook unchanged and converts any other error to NotRun.
func (c *Client) hookError(err error) *outcome.Error {
	var e *outcome.Error
	if errors.As(err, &e) && e.Kind == outcome.NotRun {
		return e
	}
	r := outcome.Internal
	if errors.Is(err, context.DeadlineExceeded) {
		r = outcome.Deadline
	}
	return &outcome.Error{Kind: outcome.NotRun, Reason: r, Step: "before_first_byte", Peer: c.cfg.Peer, Err: err}
}

var (
	errSecondDial = errors.New("a posting dials only once")
	errPostEnded  = errors.New("the posting has already ended")
)

// gateState is the progress of one Post call.
type gateState struct {
	dialled bool
	written bool  // a write was allowed, so bytes may have been sent
	closed  bool  // no first write is allowed any more
	hookErr error // the hook's error
}

// sendGate decides whether the first byte may be written. Its mutex makes a NotRun result and a first write
// mutually exclusive: net/http may return a context error before its writer goroutine has started.
type sendGate struct {
	hook  func() error
	mu    sync.Mutex
	state gateState
}

func (g *sendGate) firstDial() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.state.dialled
	g.state.dialled = true
	return first
}

// beforeWrite is called before every write. Before the first one it runs the hook, and it returns an error if
// the write is not allowed.
func (g *sendGate) beforeWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.written {
		return nil
	}
	if g.state.closed {
		return errPostEnded
	}
	if g.hook != nil {
		if err := g.hook(); err != nil {
			g.state.hookErr, g.state.closed = err, true
			return err
		}
	}
	g.state.written = true
	return nil
}

// close prevents a first write from now on and returns the final state.
func (g *sendGate) close() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.closed = true
	return g.state
}

// gatedConn is a connection that checks each write with the gate.
type gatedConn struct {
	net.Conn
	gate *sendGate
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.beforeWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
