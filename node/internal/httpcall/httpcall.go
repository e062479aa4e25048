// Package httpcall holds the code shared by the HTTP clients for backend servers and for the platform: the
// transport settings, size limits for bodies and the mapping of failures to outcomes.
package httpcall

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/retry"
)

// BaseURL returns address as a URL without trailing slash; a bare host:port gets the http scheme.
func BaseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}

// Call identifies one request in errors and records whether it got a connection.
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

// TransportError maps a round trip error to an outcome. Without a connection nothing was sent, so the outcome is
// NotRun.
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

// ContextReason reports whether err was caused by the end of ctx, and whether that was a deadline or a
// cancellation.
func ContextReason(ctx context.Context, err error) (outcome.Reason, bool) {
	switch {
	case errors.Is(err, context.DeadlineExceeded), errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome.Deadline, true
	case errors.Is(err, context.Canceled), ctx.Err() != nil:
		return outcome.Cancelled, true
	}
	return "", false
}

// StatusError maps a status other than success to an outcome: 503 and 429 are refusals before any work is done,
// other 4xx mean that the peer rejected the request as invalid, and with any other status the request may have
// run. A 503 with the body {"state":"leaving"} is assumed to come from a peer that is leaving; its reason is
// draining.
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

// RetryAfter returns the value of the Retry-After header, or zero if it is missing or is a date.
func RetryAfter(h http.Header) time.Duration { return retry.ParseDelay(h.Get("Retry-After")) }

// ErrTooLarge is the error of a response body that exceeds its size limit.
var ErrTooLarge = errors.New("answer exceeds its size bound")

// ReadWhole reads the body of a response to its end, as EndsWithConnection describes it. It fails with ErrTooLarge if the
// body has more than limit bytes.
func ReadWhole(resp *http.Response, limit int64) ([]byte, error) {
	return readBounded(resp.Body, limit)
}

// firstSegment and maxSegment are the sizes in bytes of the buffers that a body is read into; each is twice as large as the
// one before.
const (
	firstSegment = 4 << 10
	maxSegment   = 256 << 10
)

// readBounded reads r to its end and fails with ErrTooLarge if it has more than limit bytes. Until then it copies nothing:
// joining the buffers of many large bodies that are refused in the end would keep the processor from other requests.
func readBounded(r io.Reader, limit int64) ([]byte, error) {
	var segments [][]byte
	total, size := int64(0), firstSegment
	for {
		segment, err := readSegment(r, make([]byte, size))
		total += int64(len(segment))
		segments = append(segments, segment)
		switch {
		case total > limit:
			return nil, ErrTooLarge
		case err == io.EOF && len(segments) == 1:
			return segment, nil
		case err == io.EOF:
			return slices.Concat(segments...), nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxSegment)
	}
}

// readSegment fills the buffer from r. The error is that of r, if it has ended or failed before the buffer is full.
// io.ReadFull would report the end as io.ErrUnexpectedEOF, which is how a truncated body fails.
func readSegment(r io.Reader, buf []byte) (read []byte, err error) {
	n := 0
	for n < len(buf) && err == nil {
		var more int
		more, err = r.Read(buf[n:])
		n += more
	}
	return buf[:n], err
}

// DecodeJSON decodes a JSON response body of at most limit bytes into v and closes the body.
func (c *Call) DecodeJSON(ctx context.Context, resp *http.Response, limit int64, v any) error {
	defer resp.Body.Close()
	b, err := readBounded(resp.Body, limit)
	if err != nil {
		return c.TransportError(ctx, err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return outcome.Fail(c.Step, c.Peer, outcome.BackendFailed, err)
	}
	return nil
}
