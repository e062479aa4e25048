package link

import (
	"context"
	"net"
	"os"

	"github.com/panjf2000/gnet/v2"
)

// Server accepts links. A dispatcher runs one.
type Server struct {
	*endpoint
	engine  gnet.Engine
	addr    string
	booted  chan error
	stopped chan struct{}
}

// Listen starts a server on a TCP address "ip:port"; port 0 selects a free port.
func Listen(cfg Config, addr string, h Handler) (*Server, error) {
	ep, err := newEndpoint(cfg, h)
	if err != nil {
		return nil, err
	}
	s := &Server{endpoint: ep, booted: make(chan error, 1), stopped: make(chan struct{})}
	go func() {
		defer close(s.stopped)
		if err := gnet.Run(s, "tcp://"+addr, ep.options()...); err != nil {
			s.booted <- err
		}
	}()
	if err := <-s.booted; err != nil {
		return nil, wrapErr(&ErrDial, "listen", addr, err)
	}
	return s, nil
}

// OnBoot implements gnet.EventHandler. The listener is bound at this point.
func (s *Server) OnBoot(eng gnet.Engine) gnet.Action {
	s.engine = eng
	var err error
	s.addr, err = listenAddr(eng)
	s.booted <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

func listenAddr(eng gnet.Engine) (string, error) {
	fd, err := eng.Dup()
	if err != nil {
		return "", err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	ln, err := net.FileListener(f)
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// Peers returns the links that are up, sorted by name.
func (s *Server) Peers() []*Peer { return s.peers() }

// Stats returns the counters.
func (s *Server) Stats() Stats { return s.stats.snapshot() }

// Close closes every link after flushing it, and returns when the last OnDown has returned or the
// context ends. It must not be called from a Handler method.
func (s *Server) Close(ctx context.Context) error {
	err := s.closeStreams(ctx)
	// Stop polls for completion only every 500 ms. With a cancelled context it returns right after requesting the stop.
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_ = s.engine.Stop(cancelled)
	<-s.stopped
	return err
}
