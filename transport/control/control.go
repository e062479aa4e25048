// Package control carries unary calls between processes as net/rpc over TCP, optionally over mutual
// TLS. This package never retries a call.
package control

import (
	"context"
	"time"
)

// MaxMessage bounds one request or reply in bytes. A forwarded body is up to 1 MiB; a reply with
// configuration entries holds several values of up to 1 MB each.
const MaxMessage = 8 << 20

// Handler answers the calls of other processes. Gateway and dispatcher implement it. Each call runs in
// its own goroutine; its context ends at the caller's deadline and when the server closes.
type Handler interface {
	// ForwardTicket runs the call of a ticket, or returns its recorded outcome, on the executor that the ticket names.
	ForwardTicket(ctx context.Context, req *ForwardTicketRequest) (*ForwardTicketReply, error)
	// ConfigSince returns the configuration entries after a version.
	ConfigSince(ctx context.Context, req *ConfigSinceRequest) (*ConfigSinceReply, error)
	// Hosts returns the host list with its version.
	Hosts(ctx context.Context, req *HostsRequest) (*HostsReply, error)
	// State returns the platform state that an entry host holds.
	State(ctx context.Context, req *StateRequest) (*StateReply, error)
	// Status returns the status of the process.
	Status(ctx context.Context, req *StatusRequest) (*StatusReply, error)
}

// TLS holds the paths of PEM files for mutual TLS. If all are empty, plain TCP is used; setting only
// some of them is an error.
type TLS struct {
	CertFile string
	KeyFile  string
	CAFile   string // CA that signs the certificates of all processes
}

// Config holds the settings of a server or client. Zero values select the defaults.
type Config struct {
	TLS TLS
	// DialTimeout bounds one connection attempt. Default 1 s.
	DialTimeout time.Duration
	// CallTimeout bounds a call whose context has no deadline, and the handler of every call except
	// ForwardTicket, which gets the caller's remaining time. Default 5 s.
	CallTimeout time.Duration
	// WriteTimeout bounds the write of one message. A peer that stops reading blocks other calls on its
	// connection for this long. Default 2 s.
	WriteTimeout time.Duration
	// IdleTimeout is the time without requests after which a server closes a connection. Default 2 min.
	IdleTimeout time.Duration
	// MaxConns bounds the connections of a server; any beyond that are closed. Default 2,048.
	MaxConns int
	// MaxCalls bounds the concurrent calls of a server; callers of any beyond that get ErrRemote.
	// Default 1,024.
	MaxCalls int
	// OnError receives errors of server connections. It must not block. Nil discards them.
	OnError func(error)
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.DialTimeout, time.Second)
	orDefault(&c.CallTimeout, 5*time.Second)
	orDefault(&c.WriteTimeout, 2*time.Second)
	orDefault(&c.IdleTimeout, 2*time.Minute)
	orDefault(&c.MaxConns, 2048)
	orDefault(&c.MaxCalls, 1024)
	if c.OnError == nil {
		c.OnError = func(error) {}
	}
	return c
}
