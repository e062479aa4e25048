package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/zeebo/errs"
)

// Client keeps one link to each of a set of hosts. A gateway runs one.
type Client struct {
	*endpoint
	gnet *gnet.Client

	targetMu sync.Mutex
	targets  map[ident.HostID]*target
	dialers  sync.WaitGroup
	closed   bool
}

// target is a host that the client keeps a link to.
type target struct {
	host   ident.HostID
	addr   string
	cancel context.CancelFunc
}

// NewClient starts a client without any link.
func NewClient(cfg Config, h Handler) (*Client, error) {
	ep, err := newEndpoint(cfg, h)
	if err != nil {
		return nil, err
	}
	c := &Client{endpoint: ep, targets: map[ident.HostID]*target{}}
	c.gnet, err = gnet.NewClient(ep, ep.options()...)
	if err == nil {
		err = c.gnet.Start()
	}
	if err != nil {
		return nil, wrapErr(&ErrDial, "start", ep.sender, err)
	}
	return c, nil
}

// Add maintains a link to the host at the TCP address until Remove, and dials again whenever the link ends. A
// Hello from another host is rejected with ErrHandshake. Adding a host again with another address
// replaces the link; with the same address it does nothing.
func (c *Client) Add(host ident.HostID, addr string) {
	c.targetMu.Lock()
	defer c.targetMu.Unlock()
	old := c.targets[host]
	if c.closed || old != nil && old.addr == addr {
		return
	}
	if old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &target{host: host, addr: addr, cancel: cancel}
	c.targets[host] = t
	c.dialers.Add(1)
	go c.maintain(ctx, t)
}

// Remove flushes and closes the link to the host, and stops dialing it.
func (c *Client) Remove(host ident.HostID) {
	c.targetMu.Lock()
	defer c.targetMu.Unlock()
	if t := c.targets[host]; t != nil {
		t.cancel()
		delete(c.targets, host)
	}
}

// maintain dials the target, and dials again after each failure or lost link, until the context ends.
func (c *Client) maintain(ctx context.Context, t *target) {
	defer c.dialers.Done()
	for failures := 0; ctx.Err() == nil; failures++ {
		begin := c.now()
		s, err := c.dial(ctx, t)
		if err != nil {
			c.stats.dialFailures.Add(1)
			c.cfg.OnError(err)
		} else if c.waitClosed(ctx, s); c.now()-begin > c.cfg.BackoffMax {
			failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(c.backoff(failures)):
		}
	}
}

// waitClosed waits until the stream is closed. When the context ends first, it closes the stream.
func (c *Client) waitClosed(ctx context.Context, s *stream) {
	select {
	case <-ctx.Done():
		s.close()
		<-s.done
	case <-s.done:
	}
}

func (c *Client) dial(ctx context.Context, t *target) (*stream, error) {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, wrapErr(&ErrDial, "dial", t.addr, err)
	}
	s := newStream(c.endpoint, t.addr, t.host)
	if _, err := c.gnet.EnrollContext(conn, s); err != nil {
		return nil, wrapErr(&ErrDial, "enroll", t.addr, err)
	}
	if !s.opened.Load() {
		return nil, wrapErr(&ErrDial, "enroll", t.addr, errs.New("connection closed immediately"))
	}
	return s, nil
}

// backoff returns the delay before the next dial. Its upper limit doubles with each failure up to BackoffMax, and
// the delay is random between BackoffMin and that limit (full jitter).
func (c *Client) backoff(failures int) time.Duration {
	limit := c.cfg.BackoffMax
	if failures < 16 {
		limit = min(limit, c.cfg.BackoffMin<<failures)
	}
	spread := int64(limit - c.cfg.BackoffMin)
	if spread <= 0 {
		return c.cfg.BackoffMin
	}
	return c.cfg.BackoffMin + time.Duration(rand.Int64N(spread+1))
}

// Peer returns the link to the host if the link is up.
func (c *Client) Peer(host ident.HostID) (p *Peer, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.byName {
		if p := c.streams[s]; p.host == host {
			return p, true
		}
	}
	return nil, false
}

// Peers returns the links that are up, sorted by name.
func (c *Client) Peers() []*Peer { return c.peers() }

// Stats returns the counters.
func (c *Client) Stats() Stats { return c.stats.snapshot() }

// Close closes every link after flushing it, and returns when the last OnDown has returned or the
// context ends. It must not be called from a Handler method.
func (c *Client) Close(ctx context.Context) error {
	c.targetMu.Lock()
	c.closed = true
	for _, t := range c.targets {
		t.cancel()
	}
	c.targetMu.Unlock()
	err := c.closeStreams(ctx)
	c.dialers.Wait()
	_ = c.gnet.Stop()
	return err
}
