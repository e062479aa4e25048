package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

const (
	// dialTimeout bounds a connection to a backend server. A live one accepts within a few ms; the timeout
	// lies below the second after which a lost opening packet would be sent again.
	dialTimeout = 350 * time.Millisecond
	// keepAliveIdle and the probes after it find a connection that has gone silent within about 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout ends a connection whose peer acknowledges nothing, such as behind a partition.
	userTimeout = 3 * time.Second
)

// newClient returns the client for requests and reservations.
//
// Each request gets a connection of its own. A kept connection may be dead without a sign, may carry a
// late second answer, and makes net/http send a request again by itself; a new one costs about 1 ms.
func newClient() *http.Client {
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	d := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	t := &http.Transport{
		Protocols:          http1,
		DialContext:        d.DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
		// Answers are passed on event by event, so small buffers do.
		ReadBufferSize:  2 << 10,
		WriteBufferSize: 2 << 10,
	}
	refuse := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: t, CheckRedirect: refuse}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var opt error
	err := c.Control(func(fd uintptr) {
		opt = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, opt)
}

// sent is a request that a backend server has answered at least in part.
type sent struct {
	resp  *http.Response
	reply Reply
}

// send sends the caller's request to a server. On an error, ran is false only if nothing has reached the
// server. The context ends the request and its answer.
func (h *Host) send(ctx context.Context, q *request, srv catalog.Server, f Forward) (s sent, ran bool, err error) {
	req, err := http.NewRequestWithContext(ctx, q.http.Method, "http://"+srv.Address, nil)
	if err != nil {
		return sent{}, false, err
	}
	req.URL.Path, req.URL.RawPath = q.http.URL.Path, q.http.URL.RawPath
	req.URL.RawQuery, req.URL.ForceQuery = q.http.URL.RawQuery, q.http.URL.ForceQuery
	req.Host = q.http.Host
	req.Header = q.http.Header.Clone()
	removeHopHeaders(req.Header)
	if _, named := req.Header["User-Agent"]; !named {
		req.Header["User-Agent"] = nil // net/http would add its own
	}
	if len(q.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(q.body))
		req.ContentLength = int64(len(q.body))
	}
	f.TimeLeft = q.left(h.now())
	f.Server = srv.ID
	f.Team = q.team
	h.cfg.Dialect.Forward(req.Header, f)
	resp, err := h.client.Do(req)
	if err != nil {
		var op *net.OpError
		dialled := !(errors.As(err, &op) && op.Op == "dial")
		return sent{}, dialled, err
	}
	return sent{resp: resp, reply: h.cfg.Dialect.Reply(resp)}, true, nil
}

// belongs reports whether an answer is the one to this request, unchanged on its way.
func (s *sent) belongs(q *request) bool {
	if s.reply.ID != "" && s.reply.ID != q.call.ID {
		return false
	}
	return s.resp.Header.Get("Content-Encoding") == ""
}

// hopHeaders concern one connection only.
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

// copyHeader copies the header of a server's answer for the caller.
func copyHeader(dst, src http.Header) {
	src = src.Clone()
	removeHopHeaders(src)
	for k, v := range src {
		dst[k] = v
	}
}

// maxAnswer bounds the answer of a plain service.
const maxAnswer = 8 << 20

// readAnswer reads a whole answer. An answer that broke off is an error.
func readAnswer(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = Error.New("answer of more than %d bytes", maxAnswer)
	}
	return body, err
}

// lost builds the end of a request whose server failed it.
func lost(step string, srv ident.BackendID, ran bool, err error) *outcome.Error {
	e := &outcome.Error{Kind: outcome.MayHaveRun, Reason: outcome.BackendLost, Step: step, Peer: string(srv), Err: err}
	if !ran {
		e.Kind, e.Reason, e.RetryAfter = outcome.NotRun, outcome.NoBackend, noBackendRetry
	}
	return e
}
