package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

const (
	// dialTimeout bounds the time to connect to a backend server. A live server accepts within a few ms. The
	// timeout is shorter than the one second after which TCP retransmits a lost SYN.
	dialTimeout = 350 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect a dead connection. Where userTimeout is set, Linux uses it
	// instead of the count.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout closes a connection whose peer acknowledges nothing, such as during a network partition. A peer that was
	// cut off for 2 s must get a probe or a retransmission in time: the first ones after it are sent about 3 s after the last
	// packet.
	userTimeout = 5 * time.Second
)

// newClient returns the HTTP client for requests and reservations of a process with a memory limit, zero for none. dialServer
// is Config.DialServer.
//
// Each request gets a new connection. A reused connection may be dead without notice, may carry a late second
// response, and makes net/http retry a request on its own. A new connection costs about 1 ms.
func newClient(memoryMB int64, dialServer func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	d := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	t := httpcall.NewTransport(dialTimeout)
	heads := httpcall.NewHeadMemory(shareOf(memoryMB, headMemoryShare, defaultHeadMemory))
	dial := d.DialContext
	if dialServer != nil {
		dial = replacedDial(dialServer)
	}
	t.DialContext = checkAfterDial(heads.WrapDial(dial))
	// Responses are relayed event by event, so small buffers suffice.
	t.ReadBufferSize, t.WriteBufferSize = 2<<10, 2<<10
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: noRedirect}
}

// replacedDial returns a dial function that uses Config.DialServer within the time to connect. Its errors say like those of
// net.Dialer that nothing has been sent.
func replacedDial(dialServer func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		conn, err := dialServer(ctx, network, address)
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return conn, nil
	}
}

// sendCheckKey is the key of a context's check before a send.
type sendCheckKey struct{}

// withSendCheck returns a context whose calls are sent only if check returns nil once they have a connection: connecting takes up
// to dialTimeout, and the process may be paused meanwhile.
func withSendCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, sendCheckKey{}, check)
}

// checkAfterDial returns a dial function for http.Transport that runs the check of the context on each new connection.
func checkAfterDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if check, ok := ctx.Value(sendCheckKey{}).(func() error); ok {
			if err := check(); err != nil {
				return nil, errors.Join(err, conn.Close())
			}
		}
		return conn, nil
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket. See net.Dialer.Control.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, opt)
}

// backendResponse is a backend server's response, whose body may still be arriving.
type backendResponse struct {
	resp   *http.Response
	reply  Reply
	server catalog.Server // that was asked
}

// send sends the caller's request to a server. On an error, ran is false only if nothing has reached the
// server. The context bounds the request and the reading of its response.
func (h *Host) send(ctx context.Context, q *request, srv catalog.Server, f Forward) (s backendResponse, ran bool, err error) {
	check := func() error {
		if err := h.checkBeforeSend(ctx, srv); err != nil {
			return err
		}
		return h.checkHelpers(f.Helpers)
	}
	if err := check(); err != nil {
		return backendResponse{}, false, err
	}
	req, err := newForwardRequest(withSendCheck(ctx, check), q, srv.Address)
	if err != nil {
		return backendResponse{}, false, err
	}
	sentAt := h.now()
	f.TimeLeft = q.timeLeft(sentAt)
	f.Server = srv.ID
	f.Team = q.team
	h.cfg.Dialect.Forward(req.Header, f)
	h.metrics.recordSent(srv.Zone == h.cfg.Settings.AvailabilityZone)
	resp, err := h.client.Do(req)
	h.recordReach(ctx, q.service, srv.ID, sentAt, err)
	if err != nil {
		var op *net.OpError
		var notSent ineligibleError
		unsent := (errors.As(err, &op) && op.Op == "dial") || errors.As(err, &notSent)
		return backendResponse{}, !unsent, err
	}
	s = backendResponse{resp: resp, reply: h.cfg.Dialect.Reply(resp), server: srv}
	if s.reply.ID == q.call.ID {
		h.recordNotice(srv.ID, srv.Started, sentAt, s.reply.Notice)
	}
	return s, true, nil
}

// check returns an error unless the response names this request and was not re-encoded on the way. Nothing that a response
// says counts before this check, not even a refusal: a late or misdirected response must not make a request look as if it
// has not run. A refusal needs no more than its head, which arrives whole or not at all; its body is not read.
func (s *backendResponse) check(q *request) error {
	switch {
	case s.reply.ID != q.call.ID:
		return Error.New("answer to another request")
	case s.resp.Header.Get("Content-Encoding") != "":
		return Error.New("answer with a content encoding")
	}
	return nil
}

// hopHeaders are the hop-by-hop headers, which apply to a single connection.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for _, name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyHeader copies a server's response header without hop-by-hop headers.
func copyHeader(dst, src http.Header) {
	src = src.Clone()
	removeHopHeaders(src)
	for k, v := range src {
		dst[k] = v
	}
}

// maxResponseBytes bounds the response body of a plain service.
const maxResponseBytes = 8 << 20

// readResponse reads a complete response body, which counts towards the share. It returns an error if the body was truncated.
func readResponse(memory *share, resp *http.Response) ([]byte, error) {
	resp.Body = memory.body(resp.Body)
	return httpcall.ReadWhole(resp, maxResponseBytes)
}

// backendError returns the error for a request that its server failed to answer.
func backendError(step string, srv ident.BackendID, ran bool, err error) *outcome.Error {
	e := &outcome.Error{Kind: outcome.MayHaveRun, Reason: outcome.BackendLost, Step: step, Peer: string(srv), Err: err}
	if !ran {
		e.Kind, e.Reason, e.RetryAfter = outcome.NotRun, outcome.NoBackend, noBackendRetry
	}
	return e
}
