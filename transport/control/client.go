package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Client calls other processes and keeps one connection to each address. After a connection failure the
// next call dials again; the failed call is not retried.
type Client struct {
	cfg Config
	tls *tls.Config

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// clientConn is a connection shared by all calls to one address.
type clientConn struct {
	ready   chan struct{} // closed when dialing has finished
	err     error         // dial error, valid once ready is closed
	rpc     *rpc.Client
	codec   *clientCodec
	calls   int  // calls that use the connection
	retired bool // accepts no new calls and is closed after the last running one
}

// NewClient returns a client. It connects on the first call to an address.
func NewClient(cfg Config) (*Client, error) {
	cfg = cfg.withDefaults()
	tlsCfg, err := cfg.TLS.load()
	if err != nil {
		return nil, err
	}
	return &Client{cfg: cfg, tls: tlsCfg, conns: map[string]*clientConn{}}, nil
}

// ForwardTicket calls the process at addr. RemainingMS is reduced to the time left until the deadline of
// ctx. The caller must not modify the request afterwards, even after a timeout.
func (c *Client) ForwardTicket(ctx context.Context, addr string, req *ForwardTicketRequest) (*ForwardTicketReply, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	deadline, _ := ctx.Deadline()
	sent := *req
	sent.RemainingMS = min(req.RemainingMS, time.Until(deadline).Milliseconds())
	return call[ForwardTicketReply](ctx, c, addr, "ForwardTicket", &sent)
}

// ConfigSince calls the process at addr.
func (c *Client) ConfigSince(ctx context.Context, addr string, req *ConfigSinceRequest) (*ConfigSinceReply, error) {
	return call[ConfigSinceReply](ctx, c, addr, "ConfigSince", req)
}

// Hosts calls the process at addr.
func (c *Client) Hosts(ctx context.Context, addr string, req *HostsRequest) (*HostsReply, error) {
	return call[HostsReply](ctx, c, addr, "Hosts", req)
}

// State calls the process at addr.
func (c *Client) State(ctx context.Context, addr string, req *StateRequest) (*StateReply, error) {
	return call[StateReply](ctx, c, addr, "State", req)
}

// Status calls the process at addr.
func (c *Client) Status(ctx context.Context, addr string, req *StatusRequest) (*StatusReply, error) {
	return call[StatusReply](ctx, c, addr, "Status", req)
}

// Close closes all connections. Running calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.conns {
		conn.retired = true
		if conn.rpc != nil {
			_ = conn.rpc.Close()
		}
	}
	c.conns = map[string]*clientConn{}
	return nil
}

// withDeadline applies CallTimeout to a context that has no deadline.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.cfg.CallTimeout)
}

// call sends a request exactly once and waits for the reply until the context ends.
func call[R any](ctx context.Context, c *Client, addr, method string, req any) (*R, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	conn, err := c.acquire(ctx, addr)
	if err != nil {
		return nil, wrapErr(&ErrDial, method, addr, err)
	}
	defer c.release(addr, conn)
	readBefore := conn.codec.messagesRead.Load()
	reply := new(R)
	done := make(chan *rpc.Call, 1)
	// Go writes the request and can block for up to WriteTimeout when the peer does not read.
	go conn.rpc.Go(serviceName+"."+method, req, reply, done)
	select {
	case got := <-done:
		if got.Error != nil {
			return nil, wrapErr(errorClass(got.Error), method, addr, got.Error)
		}
		return reply, nil
	case <-ctx.Done():
		if conn.codec.messagesRead.Load() == readBefore {
			c.retire(addr, conn) // no message was received during the call: later calls use a new connection
		}
		return nil, wrapErr(&ErrTimeout, method, addr, ctx.Err())
	}
}

func errorClass(err error) *errs.Class {
	var remote rpc.ServerError
	switch {
	case errors.As(err, &remote):
		return &ErrRemote
	case ErrTooLarge.Has(err):
		return &ErrTooLarge
	case ErrMessage.Has(err):
		return &ErrMessage
	default:
		return &ErrLost
	}
}

// acquire returns the connection to addr and registers a call on it. The first caller starts the dial.
func (c *Client) acquire(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errs.New("client is closed")
	}
	conn := c.conns[addr]
	if conn != nil && conn.codec != nil && conn.codec.broken.Load() {
		c.retireLocked(addr, conn)
		conn = nil
	}
	if conn == nil {
		conn = &clientConn{ready: make(chan struct{})}
		c.conns[addr] = conn
		go c.dial(addr, conn)
	}
	conn.calls++
	c.mu.Unlock()
	select {
	case <-conn.ready:
	case <-ctx.Done():
		c.release(addr, conn)
		return nil, ctx.Err()
	}
	if conn.err != nil {
		c.release(addr, conn)
		return nil, conn.err
	}
	return conn, nil
}

// dial connects independently of the context of any single call, because other calls wait for the connection too.
func (c *Client) dial(addr string, conn *clientConn) {
	ctx, cancel := context.WithTimeout(context.Background(), c.cfg.DialTimeout)
	defer cancel()
	var raw net.Conn
	var err error
	if c.tls != nil {
		raw, err = (&tls.Dialer{Config: c.tls}).DialContext(ctx, "tcp", addr)
	} else {
		raw, err = (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(conn.ready)
	if err != nil {
		conn.err = err
		c.retireLocked(addr, conn)
		return
	}
	if c.closed {
		conn.err = errs.New("client is closed")
		_ = raw.Close()
		return
	}
	conn.codec = &clientCodec{newFraming(raw, c.cfg, 0)}
	conn.rpc = rpc.NewClientWithCodec(conn.codec)
	c.closeIfUnused(conn)
}

func (c *Client) release(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.calls--
	if conn.codec != nil && conn.codec.broken.Load() {
		c.retireLocked(addr, conn)
	}
	c.closeIfUnused(conn)
}

func (c *Client) retire(addr string, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retireLocked(addr, conn)
}

func (c *Client) retireLocked(addr string, conn *clientConn) {
	conn.retired = true
	if c.conns[addr] == conn {
		delete(c.conns, addr)
	}
	c.closeIfUnused(conn)
}

func (c *Client) closeIfUnused(conn *clientConn) {
	if conn.retired && conn.calls == 0 && conn.rpc != nil {
		_ = conn.rpc.Close()
	}
}
