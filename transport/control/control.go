// Package control carries unary calls between processes as net/rpc over TCP, optionally over mutual
// TLS. A call is never sent twice by this package.
package control

import (
	"context"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// MaxMessage bounds one request or reply in bytes. A forwarded body has up to 1 MiB, a reply with
// configuration entries several values of up to 1 MB each.
const MaxMessage = 8 << 20

// Handler answers the calls of other processes. Gateway and dispatcher implement it. Each call runs on
// its own goroutine; its context ends at the caller's deadline and when the server closes.
type Handler interface {
	// ForwardTicket runs or looks up a call at the executor that its ticket names.
	ForwardTicket(ctx context.Context, req *ForwardTicketRequest) (*ForwardTicketReply, error)
	// ConfigSince returns the configuration entries after a version.
	ConfigSince(ctx context.Context, req *ConfigSinceRequest) (*ConfigSinceReply, error)
	// Hosts returns the host list with its version.
	Hosts(ctx context.Context, req *HostsRequest) (*HostsReply, error)
	// Status returns what the process knows about itself.
	Status(ctx context.Context, req *StatusRequest) (*StatusReply, error)
}

// ForwardTicketRequest carries a call to a plain service to the executor of its ticket.
type ForwardTicketRequest struct {
	Ticket      string     `msgpack:"k"`
	Team        ident.Team `msgpack:"t"`
	Service     string     `msgpack:"s"`
	Method      string     `msgpack:"m"`
	Path        string     `msgpack:"p"` // with the raw query
	ContentType string     `msgpack:"c"`
	Body        []byte     `msgpack:"b"`
	RemainingMS int64      `msgpack:"d"` // time left until the caller's deadline
	TraceParent string     `msgpack:"tp"`
}

// ForwardTicketReply is the recorded outcome. With Outcome Answered, Status and Body are the backend
// server's; otherwise Reason, Step, Peer and Detail say what happened.
type ForwardTicketReply struct {
	Outcome      uint8  `msgpack:"k"` // outcome.Kind
	Status       int    `msgpack:"h"`
	ContentType  string `msgpack:"c"`
	Body         []byte `msgpack:"b"`
	Reason       string `msgpack:"r"`
	Step         string `msgpack:"s"`
	Peer         string `msgpack:"p"`
	Detail       string `msgpack:"d"`
	RetryAfterMS int64  `msgpack:"w"`
}

// ConfigSinceRequest asks for entries.
type ConfigSinceRequest struct {
	After ident.Version `msgpack:"a"`
	Limit int           `msgpack:"l"` // 0 leaves the number to the peer
}

// ConfigSinceReply holds entries in the order of their numbers. More tells that further entries
// follow the last one.
type ConfigSinceReply struct {
	Version ident.Version       `msgpack:"v"` // accepted version of the peer
	Digest  uint64              `msgpack:"d"`
	Entries []platformapi.Entry `msgpack:"e"`
	More    bool                `msgpack:"m"`
}

// HostsRequest asks for the host list.
type HostsRequest struct{}

// HostsReply holds the host list as the peer knows it.
type HostsReply struct {
	Hosts platformapi.Hosts `msgpack:"h"`
}

// StatusRequest asks for the status.
type StatusRequest struct{}

// StatusReply is a process's view of itself.
type StatusReply struct {
	Host        ident.HostID      `msgpack:"h"`
	Role        string            `msgpack:"r"`
	Incarnation ident.Incarnation `msgpack:"i"`
	Version     ident.Version     `msgpack:"v"`
	Digest      uint64            `msgpack:"d"`
	HostsSeen   uint64            `msgpack:"hv"` // version of the host list
	Ready       bool              `msgpack:"ok"`
	NotReady    string            `msgpack:"why"` // what is missing, empty when ready
	Leaving     bool              `msgpack:"lv"`
	Load        []ModelLoad       `msgpack:"l"`
}

// ModelLoad is the load of one model at the engines that a process owns.
type ModelLoad struct {
	Model         ident.Model `msgpack:"m"`
	FreeTokens    int64       `msgpack:"f"` // free memory
	QueueDelayMS  int64       `msgpack:"q"`
	QueuedPrefill int64       `msgpack:"p"` // tokens
}

// TLS holds the paths of PEM files for mutual TLS. All empty means plain TCP; a part of them is an
// error.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string // signs the certificates of all processes
}

// Config holds the settings of a server or client. Zero values take the default.
type Config struct {
	TLS TLS
	// DialTimeout bounds one connection attempt. Default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no earlier deadline. Default 5 s.
	CallTimeout time.Duration
	// WriteTimeout bounds the write of one message. A peer that stops reading holds other calls on its
	// connection for this long. Default 2 s.
	WriteTimeout time.Duration
	// IdleTimeout closes a server connection without requests. Default 2 min.
	IdleTimeout time.Duration
	// MaxConns bounds the connections of a server; further ones are closed. Default 2,048.
	MaxConns int
	// Report receives errors of server connections. It must not block. Nil discards them.
	Report func(error)
}

// Server answers calls.
type Server struct{}

// Listen starts a server on a TCP address "ip:port"; port 0 picks a free one.
func Listen(cfg Config, addr string, h Handler) (*Server, error) { return &Server{}, nil }

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return "" }

// Close stops accepting, waits for running calls until the context ends, and closes the connections.
func (s *Server) Close(ctx context.Context) error { return nil }

// Client calls other processes and keeps one connection to each address. A failed connection is
// dialled again by the next call, never by the failed one.
type Client struct{}

// NewClient returns a client. It connects on the first call to an address.
func NewClient(cfg Config) (*Client, error) { return &Client{}, nil }

// ForwardTicket calls the process at addr.
func (c *Client) ForwardTicket(ctx context.Context, addr string, req *ForwardTicketRequest) (*ForwardTicketReply, error) {
	return nil, nil
}

// ConfigSince calls the process at addr.
func (c *Client) ConfigSince(ctx context.Context, addr string, req *ConfigSinceRequest) (*ConfigSinceReply, error) {
	return nil, nil
}

// Hosts calls the process at addr.
func (c *Client) Hosts(ctx context.Context, addr string, req *HostsRequest) (*HostsReply, error) {
	return nil, nil
}

// Status calls the process at addr.
func (c *Client) Status(ctx context.Context, addr string, req *StatusRequest) (*StatusReply, error) {
	return nil, nil
}

// Close closes all connections; running calls fail.
func (c *Client) Close() error { return nil }
