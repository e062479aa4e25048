package link

import (
	"sync/atomic"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// Peer is the other end of one link. Each reconnect creates a new Peer. All methods are safe for
// concurrent use and never block.
type Peer struct {
	stream      *stream
	name        string // wire.Head.Sender of its messages
	host        ident.HostID
	role        string
	incarnation ident.Incarnation
	version     atomic.Uint64
}

// Host returns the peer's host id.
func (p *Peer) Host() ident.HostID { return p.host }

// Role returns the peer's role.
func (p *Peer) Role() string { return p.role }

// Incarnation returns the peer's incarnation.
func (p *Peer) Incarnation() ident.Incarnation { return p.incarnation }

// ConfigVersion returns the configuration version of the peer's latest message.
func (p *Peer) ConfigVersion() ident.Version { return ident.Version(p.version.Load()) }

// Addr returns the peer's TCP address.
func (p *Peer) Addr() string { return p.stream.addr }

// String returns "host/role".
func (p *Peer) String() string { return p.name }

// Send queues a message. The link owns the message from then on and fills in its head, so a message must
// not be sent to a second peer. Send fails with ErrFull when the outbound ring is full, with ErrFrame when the
// message is too large, and with ErrClosed when the link is down. A nil error means that the message is queued, not that
// it was received.
func (p *Peer) Send(m wire.Message) error { return p.stream.send(m) }

// Close sends the queued messages and closes the link. OnDown is called afterwards.
func (p *Peer) Close() { p.stream.close() }
