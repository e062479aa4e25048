// Package netfault injects faults into TCP connections between processes on the loopback network: a Proxy
// forwards connections to a listener and delays, holds back or resets them.
package netfault

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is the fault that a proxy injects into its connections. The zero value forwards everything at once.
type Fault struct {
	// Delay is added to each chunk that is forwarded, in both directions.
	Delay time.Duration
	// HoldRequests and HoldAnswers hold back the data to the target and the data from it. Held data is forwarded
	// once the fault ends, as after a network partition; connections are still accepted.
	HoldRequests, HoldAnswers bool
}

// dialTimeout limits the connection setup to the target, which is on the same machine.
const dialTimeout = time.Second

// Proxy forwards TCP connections to a target. Its methods are safe for concurrent use.
type Proxy struct {
	target  string
	address string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	changed  *sync.Cond   // signaled when the fault changes or connections are closed
	fault    Fault
	pairs    map[*pair]struct{}
	closed   bool
}

// pair holds a client connection and the matching connection to the target.
type pair struct {
	client, target *net.TCPConn
	// The fields below are guarded by Proxy.mu.
	closed bool
	held   bool // nothing is forwarded any more
}

// Listen starts a proxy that listens on an address and connects to a target.
func Listen(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{target: target, address: l.Addr().String(), listener: l, pairs: map[*pair]struct{}{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept(l)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.address }

// StopListening makes the proxy refuse new connections. Open ones stay.
func (p *Proxy) StopListening() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	err := p.listener.Close()
	p.listener = nil
	return err
}

// ListenAgain accepts connections again after StopListening.
func (p *Proxy) ListenAgain() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("proxy: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

// SetFault replaces the fault, for open and for new connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.changed.Broadcast()
}

// HoldOpen stops forwarding on the connections that are open, in both directions, until they are closed. New connections are not
// affected.
func (p *Proxy) HoldOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		x.held = true
	}
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.pairs {
		p.resetLocked(x)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	err := p.StopListening()
	p.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return err
}

func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(c.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	c, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // closes with a reset, as a port without a listener does
		_ = client.Close()
		return
	}
	x := &pair{client: client, target: c.(*net.TCPConn)}
	p.mu.Lock()
	p.pairs[x] = struct{}{}
	if p.closed {
		p.resetLocked(x)
	}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(x, x.target, x.client, func(f Fault) bool { return f.HoldRequests }) })
	both.Go(func() { p.forward(x, x.client, x.target, func(f Fault) bool { return f.HoldAnswers }) })
	both.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked(x)
	delete(p.pairs, x)
}

// resetLocked closes both connections of a pair with a reset; the caller holds p.mu. Connections that were already
// shut down in both directions are not affected.
func (p *Proxy) resetLocked(x *pair) {
	if x.closed {
		return
	}
	x.closed = true
	for _, c := range []*net.TCPConn{x.client, x.target} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	p.changed.Broadcast()
}

// forward copies one direction of a connection until EOF or an error.
func (p *Proxy) forward(x *pair, to, from *net.TCPConn, held func(Fault) bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitWhileHeld(x, held) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				p.reset(x)
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		default:
			p.reset(x)
			return
		}
	}
}

func (p *Proxy) reset(x *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked(x)
}

// waitWhileHeld blocks while a fault holds this direction, then applies the delay. It reports false if the pair was
// closed meanwhile.
func (p *Proxy) waitWhileHeld(x *pair, held func(Fault) bool) bool {
	p.mu.Lock()
	for (x.held || held(p.fault)) && !x.closed {
		p.changed.Wait()
	}
	delay, open := p.fault.Delay, !x.closed
	p.mu.Unlock()
	if open && delay > 0 {
		time.Sleep(delay)
	}
	return open
}
