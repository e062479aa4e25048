// Package link carries framed message streams between gateways (clients) and dispatchers (servers)
// over TCP. A link opens with Hello in both directions, numbers its messages, and closes on any
// frame that is missing, repeated, reordered or damaged.
//
// A link has no transport security: gnet owns the socket and offers no hook for crypto/tls. Run it
// on a trusted network.
package link

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// Roles of a process, the second part of its sender name.
const (
	RoleGateway    = "gateway"
	RoleDispatcher = "dispatcher"
)

// Handler receives the events of links. The calls for one peer come one after another from a
// goroutine of that link, never from an event loop: OnUp once, OnMessage for each message other than
// Hello and Keepalive, OnDown once as the last call. Calls for different peers run concurrently.
// A handler that falls behind by Config.InboundFrames or Config.InboundBytes loses the link.
type Handler interface {
	// OnUp tells that both Hello messages were exchanged.
	OnUp(p *Peer)
	// OnMessage hands over a message, which the handler then owns.
	OnMessage(p *Peer, m wire.Message)
	// OnDown tells that the link ended. The error is never nil; ErrClosed marks a close by either side
	// between two frames. The kernel of a killed peer closes in the same way.
	OnDown(p *Peer, err error)
}

// Config holds the settings of a server or client. Zero values take the default.
type Config struct {
	// Host, Role and Incarnation name this process to its peers. Required.
	Host        ident.HostID
	Role        string
	Incarnation ident.Incarnation
	// ConfigVersion returns the accepted configuration version, read for each message sent. It must
	// not block. Nil sends zero.
	ConfigVersion func() ident.Version
	// OnError receives errors of connections that never came up: failed dials, refused Hello messages.
	// It must not block. Nil discards them; they are counted in Stats all the same.
	OnError func(error)

	// OutboundFrames bounds the outbound ring. More frames ride out longer stalls of a peer and hold
	// more memory. Default 1,024.
	OutboundFrames int
	// InboundFrames bounds the messages that wait for the handler. Default 4,096.
	InboundFrames int
	// InboundBytes bounds the frame bytes that wait for the handler. Default 64 MiB, enough for 16
	// prompts of the largest size at once.
	InboundBytes int64
	// KeepaliveInterval is the time without an outbound message after which a Keepalive is sent.
	// Shorter values cost about 45 bytes and a wake-up each. Default 1 s.
	KeepaliveInterval time.Duration
	// DeadAfter is the time without inbound traffic after which the peer counts as dead. Below three
	// keepalive intervals, one delayed packet closes the link. Default 4 s.
	DeadAfter time.Duration
	// HandshakeTimeout bounds the time to the peer's Hello. Default 3 s.
	HandshakeTimeout time.Duration
	// DialTimeout bounds one connection attempt of a client. Default 2 s.
	DialTimeout time.Duration
	// BackoffMin and BackoffMax bound the delay before a client dials again; the delay doubles with
	// each failure, with full jitter above BackoffMin. Defaults 50 ms and 2 s.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// FlushTimeout bounds the sending of queued frames in a graceful close. Default 2 s.
	FlushTimeout time.Duration
	// EventLoops is the number of gnet event loops. Default 1.
	EventLoops int
	// MaxPeers bounds the links of a server; further connections are closed. Default 4,096.
	MaxPeers int
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.OutboundFrames, 1024)
	orDefault(&c.InboundFrames, 4096)
	orDefault(&c.InboundBytes, 64<<20)
	orDefault(&c.KeepaliveInterval, time.Second)
	orDefault(&c.DeadAfter, 4*time.Second)
	orDefault(&c.HandshakeTimeout, 3*time.Second)
	orDefault(&c.DialTimeout, 2*time.Second)
	orDefault(&c.BackoffMin, 50*time.Millisecond)
	orDefault(&c.BackoffMax, 2*time.Second)
	orDefault(&c.FlushTimeout, 2*time.Second)
	orDefault(&c.EventLoops, 1)
	orDefault(&c.MaxPeers, 4096)
	if c.ConfigVersion == nil {
		c.ConfigVersion = func() ident.Version { return 0 }
	}
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	return c
}

// sender is the form of wire.Head.Sender for this process.
func (c Config) sender() string { return string(c.Host) + "/" + c.Role }
