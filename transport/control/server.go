package control

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// serviceName is the receiver name in net/rpc, as in "Control.Status".
const serviceName = "Control"

// Server accepts connections and passes their calls to a Handler.
type Server struct {
	cfg     Config
	tls     *tls.Config
	ln      net.Listener
	rpc     *rpc.Server
	service *service
	wg      sync.WaitGroup // accept loop and connection goroutines

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// Listen starts a server on a TCP address "ip:port"; port 0 selects a free port.
func Listen(cfg Config, addr string, h Handler) (*Server, error) {
	cfg = cfg.withDefaults()
	tlsCfg, err := cfg.TLS.load()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, wrapErr(&ErrDial, "listen", addr, err)
	}
	s := &Server{cfg: cfg, tls: tlsCfg, ln: ln, rpc: rpc.NewServer(), service: newService(cfg, h), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(serviceName, s.service); err != nil {
		_ = ln.Close()
		return nil, wrapErr(&ErrConfig, "listen", addr, err)
	}
	s.wg.Add(1)
	go s.acceptLoop()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

func (s *Server) acceptLoop() {
	defer s.wg.Done()
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			s.mu.Lock()
			closed := s.closed
			s.mu.Unlock()
			if closed {
				return
			}
			s.cfg.OnError(wrapErr(&ErrLost, "accept", s.Addr(), err))
			time.Sleep(10 * time.Millisecond) // usually out of file descriptors: wait until some are closed
			continue
		}
		if !s.trackConn(conn) {
			_ = conn.Close()
			s.cfg.OnError(wrapErr(&ErrRemote, "accept", conn.RemoteAddr().String(), errs.New("more than %d connections", s.cfg.MaxConns)))
			continue
		}
		go s.serveConn(conn)
	}
}

func (s *Server) trackConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxConns {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

func (s *Server) serveConn(raw net.Conn) {
	defer s.wg.Done()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, raw)
		_ = raw.Close()
	}()
	conn := raw
	if s.tls != nil {
		tlsConn := tls.Server(raw, s.tls)
		ctx, cancel := context.WithTimeout(context.Background(), s.cfg.DialTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			s.cfg.OnError(wrapErr(&ErrDial, "accept", raw.RemoteAddr().String(), err))
			return
		}
		conn = tlsConn
	}
	s.rpc.ServeCodec(&serverCodec{newFraming(conn, s.cfg, s.cfg.IdleTimeout)}) // returns after the last reply
}

// Close stops accepting connections, waits for running calls until the context ends, and closes the connections.
// The contexts of calls that are still running are then cancelled.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	_ = s.ln.Close()
	err := s.service.drain(ctx)
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return err
}
