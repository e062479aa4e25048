// Package httpcall holds what the HTTP clients of backend servers and platform share: transports
// without surprises, bounded bodies and the mapping of failures to outcomes.
package httpcall

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// MaxIdlePerPeer bounds the idle connections kept to one peer. The default of net/http, two, would
// open a new connection for nearly every call under load.
const MaxIdlePerPeer = 64

// BaseURL returns address as a URL without trailing slash; a bare host:port gets the http scheme.
func BaseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// Transport returns a keep-alive HTTP/1.1 transport that ignores proxy settings of the environment.
func Transport(dialTimeout time.Duration) *http.Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	return &http.Transport{
		Protocols:           http1,
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: MaxIdlePerPeer,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// Call is one request and how far it came.
type Call struct {
	Step, Peer string
	connected  atomic.Bool
}

// Trace returns a context that records whether the request got a connection.
func (c *Call) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { c.connected.Store(true) },
	})
}

// TransportError maps a round trip error to an outcome. Before a connection stood, nothing was sent, so the
// end is NotRun.
func (c *Call) TransportError(ctx context.Context, err error) *outcome.Error {
	e := &outcome.Error{Kind: outcome.MayHaveRun, Reason: outcome.BackendLost, Step: c.Step, Peer: c.Peer, Err: err}
	if !c.connected.Load() {
		e.Kind, e.Reason = outcome.NotRun, outcome.NoBackend
	}
	if r, ok := ContextReason(ctx, err); ok {
		e.Reason = r
	}
	return e
}

// ContextReason tells whether err comes from the end of ctx, and which end it was.
func ContextReason(ctx context.Context, err error) (outcome.Reason, bool) {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.Deadline, true
	case errors.Is(err, context.Canceled), ctx.Err() != nil:
		return outcome.Cancelled, true
	}
	return "", false
}

// StatusError maps a status other than success to an outcome: 503 and 429 are refusals before any work,
// other 4xx are requests that the peer rejected, and the rest may have run. A 503 with the body
// {"state":"leaving"} is the refusal of a peer that leaves (assumption); its reason is draining.
func (c *Call) StatusError(resp *http.Response) *outcome.Error {
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
	e := &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.Overload, Step: c.Step, Peer: c.Peer,
		RetryAfter: RetryAfter(resp.Header),
		Detail:     strings.TrimSpace(fmt.Sprintf("status %d %s", resp.StatusCode, detail)),
	}
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable && leaving(detail):
		e.Reason = outcome.Draining
	case resp.StatusCode == http.StatusServiceUnavailable, resp.StatusCode == http.StatusTooManyRequests:
	case resp.StatusCode >= 400 && resp.StatusCode < 500:
		e.Reason = outcome.BadRequest
	default:
		e.Kind, e.Reason = outcome.MayHaveRun, outcome.BackendFailed
	}
	return e
}

func leaving(body []byte) bool {
	var b struct {
		State string `json:"state"`
	}
	return json.Unmarshal(body, &b) == nil && b.State == "leaving"
}

// RetryAfter reads the Retry-After header in seconds; zero when it is missing or a date.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// ErrTooLarge is the cause of an answer over its bound.
var ErrTooLarge = errors.New("answer exceeds its size bound")

// ReadBounded reads at most limit bytes and fails with ErrTooLarge on more.
func ReadBounded(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(b)) > limit {
		return nil, ErrTooLarge
	}
	return b, err
}

// DecodeJSON reads a bounded JSON answer into v and closes the body.
func (c *Call) DecodeJSON(ctx context.Context, resp *http.Response, limit int64, v any) error {
	defer resp.Body.Close()
	b, err := ReadBounded(resp.Body, limit)
	if err != nil {
		return c.TransportError(ctx, err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return outcome.Fail(c.Step, c.Peer, outcome.BackendFailed, err)
	}
	return nil
}
