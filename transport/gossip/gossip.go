// Package gossip carries the datagrams of core/member over UDP.
package gossip

import (
	"context"

	"github.com/rosemaryhill/rosemaryhill/core/member"
)

// MaxDatagram bounds a datagram in bytes, below the smallest common path MTU.
const MaxDatagram = 1200

// Handler receives changes from the machine on the service's goroutine. It must not block.
type Handler interface {
	// OnChange hands over MemberChanged, LeavingLearned and ConfigSeen.
	OnChange(a member.Action)
}

// Stats counts datagrams since the start.
type Stats struct {
	In, Out, BytesIn, BytesOut uint64
	Undecodable                uint64 // dropped
	Refused                    uint64 // dropped because the inbound ring was full
	SendFailures               uint64
}

// Service runs a membership machine over UDP: one goroutine owns the machine.
type Service struct{}

// Listen starts the service. An address with port 0 picks a free port. Empty cfg.Addr is replaced by
// the listening address.
func Listen(cfg member.Config, addr string, h Handler) (*Service, error) { return &Service{}, nil }

// Addr returns the address that the service listens on.
func (s *Service) Addr() member.Addr { return "" }

// Do hands the machine an event. It returns false when the service is overloaded or closed.
func (s *Service) Do(ev member.Event) bool { return true }

// View runs f with exclusive access to the machine. It must not keep the machine.
func (s *Service) View(f func(m *member.Machine)) {}

// Stats returns the counters.
func (s *Service) Stats() Stats { return Stats{} }

// Close stops the service.
func (s *Service) Close(ctx context.Context) error { return nil }
