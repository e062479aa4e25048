package servicehttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

const stepPost = "service_post"

// Post sends a non-idempotent call at most once, over a connection of its own, and follows no redirect.
// beforeFirstByte runs once, after the connection stands and right before the first byte is written;
// its error stops the call, and nothing is written. It may be nil, must be quick and must not call back
// into the client.
//
// Any status is an answer, 307 and 503 too. An error is an *outcome.Error: NotRun only if no byte was
// written and none will be, MayHaveRun from the first write attempt on.
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
	gate := &sendGate{before: beforeFirstByte}
	tr := c.oneShot(gate)
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return nil, c.postFailed(ctx, gate.seal(), err)
	}
	defer resp.Body.Close()
	body, err := httpcall.ReadBounded(resp.Body, c.cfg.MaxResponseBytes)
	if err != nil {
		return nil, c.postFailed(ctx, gate.seal(), err)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// oneShot returns a transport that dials once and passes all writes through the gate. net/http
// resends only on a reused connection, and this transport has none.
func (c *Client) oneShot(gate *sendGate) *http.Transport {
	tr := httpcall.Transport(c.cfg.DialTimeout)
	dial := tr.DialContext
	tr.DisableKeepAlives = true
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

func (c *Client) postFailed(ctx context.Context, st gateState, err error) *outcome.Error {
	if st.refusal != nil {
		return c.hookRefused(st.refusal)
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

// hookRefused keeps a refusal of the hook as it is and wraps any other error.
func (c *Client) hookRefused(err error) *outcome.Error {
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
	errSealed     = errors.New("the posting has already ended")
)

// gateState tells how far a posting came.
type gateState struct {
	dialled bool
	written bool  // a write was attempted
	sealed  bool  // no write may start any more
	refusal error // the hook's error
}

// sendGate decides whether the first byte may leave. The mutex makes "ended as NotRun" and "first
// write" exclude each other: net/http may return a context error while its writer goroutine has not
// started yet.
type sendGate struct {
	before func() error
	mu     sync.Mutex
	state  gateState
}

func (g *sendGate) firstDial() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.state.dialled
	g.state.dialled = true
	return first
}

// open runs the hook before the first write.
func (g *sendGate) open() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state.written {
		return nil
	}
	if g.state.sealed {
		return errSealed
	}
	if g.before != nil {
		if err := g.before(); err != nil {
			g.state.refusal, g.state.sealed = err, true
			return err
		}
	}
	g.state.written = true
	return nil
}

// seal forbids a first write from now on and returns the final state.
func (g *sendGate) seal() gateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.sealed = true
	return g.state
}

// gatedConn asks the gate before it writes.
type gatedConn struct {
	net.Conn
	gate *sendGate
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.gate.open(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
