// Package link carries framed message streams between gateways (clients) and dispatchers (servers)
// over TCP. A link opens with Hello in both directions, numbers its messages, and is closed when
// a frame is missing, repeated, reordered or corrupt.
//
// A link has no transport security, because gnet owns the socket and has no hook for crypto/tls. Run it
// only on a trusted network.
package link

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// Roles of a process. The role is the second part of the sender name.
const (
	RoleGateway    = "gateway"
	RoleDispatcher = "dispatcher"
)

// Handler receives the events of links. The calls for one peer are made sequentially from one
// goroutine of that link, never from an event loop: OnUp once, OnMessage for each message other than
// Hello and Keepalive, OnDown once as the last call. Calls for different peers run concurrently.
// When more than Config.InboundFrames or Config.InboundBytes wait for a handler, the link is closed.
type Handler interface {
	// OnUp is called when the Hello of the peer has been accepted.
	OnUp(p *Peer)
	// OnMessage is called for each message. The handler owns the message from then on.
	OnMessage(p *Peer, m wire.Message)
	// OnDown is called when the link has ended. The error is never nil. ErrClosed means that either side closed
	// the connection between two frames; a killed peer looks the same, because its kernel closes the socket.
	OnDown(p *Peer, err error)
}

// Config holds the settings of a server or client. Zero values select the defaults.
type Config struct {
	// Host, Role and Incarnation identify this process to its peers. Required.
	Host        ident.HostID
	Role        string
	Incarnation ident.Incarnation
	// ConfigVersion returns the accepted configuration version. It is called for each message sent and
	// must not block. Nil sends zero.
	ConfigVersion func() ident.Version
	// OnError receives errors of connections that never came up: failed dials and rejected Hello messages.
	// It must not block. Nil discards the errors; Stats counts them in any case.
	OnError func(error)

	// OutboundFrames bounds the outbound ring. A larger ring tolerates longer stalls of a peer and uses
	// more memory. Default 1,024.
	OutboundFrames int
	// InboundFrames bounds the messages that wait for the handler. Default 4,096.
	InboundFrames int
	// InboundBytes bounds the frame bytes that wait for the handler. Default 64 MiB, enough for 16
	// prompts of the largest size at once.
	InboundBytes int64
	// KeepaliveInterval is the time without an outbound message after which a Keepalive is sent.
	// A shorter interval sends more Keepalives, of about 45 bytes and a wake-up each. Default 1 s.
	KeepaliveInterval time.Duration
	// DeadAfter is the time without inbound traffic after which the peer is considered dead. Below three
	// keepalive intervals, one delayed packet closes the link. Default 4 s.
	DeadAfter time.Duration
	// HandshakeTimeout bounds the wait for the peer's Hello. Default 3 s.
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
	// MaxPeers bounds the links of a server; connections beyond that are closed. Default 4,096.
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

// sender returns the wire.Head.Sender value of this process.
func (c Config) sender() string { return string(c.Host) + "/" + c.Role }
