package link

import (
	"context"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Stats counts events since the start of a server or client.
type Stats struct {
	Up           uint64 // links that came up
	Down         uint64 // links that ended after they came up
	DialFailures uint64
	Handshakes   uint64 // connections that ended before they came up
	BadFrames    uint64 // frames that did not decode
	BadSequences uint64 // frames that were missing, repeated or reordered
	Refused      uint64 // sends refused by a full outbound ring
	FramesIn     uint64
	FramesOut    uint64
	BytesIn      uint64
	BytesOut     uint64
}

// Server accepts links. A dispatcher runs one.
type Server struct{}

// Listen starts a server on a TCP address "ip:port"; port 0 picks a free one.
func Listen(cfg Config, addr string, h Handler) (*Server, error) { return &Server{}, nil }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return "" }

// Peers returns the links that are up, ordered by name.
func (s *Server) Peers() []*Peer { return nil }

// Stats returns the counters.
func (s *Server) Stats() Stats { return Stats{} }

// Close closes every link after flushing it, and returns when the last OnDown has returned or the
// context ends. It must not be called from a Handler method.
func (s *Server) Close(ctx context.Context) error { return nil }

// Client keeps one link to each of a set of hosts. A gateway runs one.
type Client struct{}

// NewClient starts a client without any link.
func NewClient(cfg Config, h Handler) (*Client, error) { return &Client{}, nil }

// Add keeps a link to the host at the TCP address, dialling again whenever it ends, until Remove. A
// Hello from another host is refused with ErrHandshake. Adding a host again with another address
// replaces the link; with the same address it does nothing.
func (c *Client) Add(host ident.HostID, addr string) {}

// Remove closes the link to the host after flushing it, and stops dialling.
func (c *Client) Remove(host ident.HostID) {}

// Peer returns the link to the host if it is up.
func (c *Client) Peer(host ident.HostID) (p *Peer, up bool) { return nil, false }

// Peers returns the links that are up, ordered by name.
func (c *Client) Peers() []*Peer { return nil }

// Stats returns the counters.
func (c *Client) Stats() Stats { return Stats{} }

// Close closes every link after flushing it, and returns when the last OnDown has returned or the
// context ends. It must not be called from a Handler method.
func (c *Client) Close(ctx context.Context) error { return nil }
