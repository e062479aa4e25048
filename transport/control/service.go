package control

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

var (
	errTooManyCalls = errs.New("too many calls at once")
	errStopping     = errs.New("process is stopping")
)

// service is the net/rpc receiver. Its exported methods are the remote calls.
type service struct {
	cfg     Config
	handler Handler
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	running int
	closing bool
	idle    chan struct{} // closed once closing is set and no call is running
}

func newService(cfg Config, h Handler) *service {
	ctx, cancel := context.WithCancel(context.Background())
	return &service{cfg: cfg, handler: h, ctx: ctx, cancel: cancel, idle: make(chan struct{})}
}

func (s *service) beginCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closing:
		return errStopping
	case s.running >= s.cfg.MaxCalls:
		return errTooManyCalls
	}
	s.running++
	return nil
}

func (s *service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.closing && s.running == 0 {
		close(s.idle)
	}
}

// drain rejects new calls and waits for the running ones until ctx ends, then cancels those left.
func (s *service) drain(ctx context.Context) error {
	defer s.cancel()
	s.mu.Lock()
	if !s.closing {
		s.closing = true
		if s.running == 0 {
			close(s.idle)
		}
	}
	s.mu.Unlock()
	select {
	case <-s.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runCall runs one call within the time limit. The handler must return either a reply or an error.
func runCall[Q, R any](s *service, limit time.Duration, req *Q, reply *R, call func(context.Context, *Q) (*R, error)) error {
	if err := s.beginCall(); err != nil {
		return err
	}
	defer s.endCall()
	ctx, cancel := context.WithTimeout(s.ctx, limit)
	defer cancel()
	got, err := call(ctx, req)
	if err != nil {
		return err
	}
	if got == nil {
		return errs.New("handler returned no reply")
	}
	*reply = *got
	return nil
}

// ForwardTicket serves the RPC Control.ForwardTicket.
func (s *service) ForwardTicket(req *ForwardTicketRequest, reply *ForwardTicketReply) error {
	limit := time.Duration(req.RemainingMS) * time.Millisecond
	return runCall(s, limit, req, reply, s.handler.ForwardTicket)
}

// ConfigSince serves the RPC Control.ConfigSince.
func (s *service) ConfigSince(req *ConfigSinceRequest, reply *ConfigSinceReply) error {
	return runCall(s, s.cfg.CallTimeout, req, reply, s.handler.ConfigSince)
}

// Hosts serves the RPC Control.Hosts.
func (s *service) Hosts(req *HostsRequest, reply *HostsReply) error {
	return runCall(s, s.cfg.CallTimeout, req, reply, s.handler.Hosts)
}

// State serves the RPC Control.State.
func (s *service) State(req *StateRequest, reply *StateReply) error {
	return runCall(s, s.cfg.CallTimeout, req, reply, s.handler.State)
}

// Status serves the RPC Control.Status.
func (s *service) Status(req *StatusRequest, reply *StatusReply) error {
	return runCall(s, s.cfg.CallTimeout, req, reply, s.handler.Status)
}
