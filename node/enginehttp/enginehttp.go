// Package enginehttp is an HTTP client for a model engine.
//
// Errors are of type *outcome.Error. NotRun means that the engine has no state of the request: no
// connection was established, or the engine refused the request. Any other failure is MayHaveRun; the
// caller must then cancel the session, because an engine keeps a session when its client disconnects.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// Config holds the address, timeouts and limits of a client.
type Config struct {
	Peer           string        // backend server ID, reported in errors
	Address        string        // host:port or HTTP URL
	DialTimeout    time.Duration // default 1 s; a longer timeout delays the detection of a dead engine
	RequestTimeout time.Duration // timeout of unary calls, default 2 s; streams are bounded by their context
	MaxLineBytes   int           // maximum length of a stream line, default 64 KiB
	MaxAnswerBytes int64         // maximum size of a unary response, default 4 MiB, enough for a long session list
}

// Client is a client of one engine. It is safe for concurrent use.
type Client struct {
	cfg  Config
	base string
	tr   *httpcall.Transport
}

// New returns a client for the engine at cfg.Address. Zero values in cfg select the defaults.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.RequestTimeout == 0 {
		cfg.RequestTimeout = 2 * time.Second
	}
	if cfg.MaxLineBytes == 0 {
		cfg.MaxLineBytes = 64 << 10
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = 4 << 20
	}
	return &Client{cfg: cfg, base: httpcall.BaseURL(cfg.Address), tr: httpcall.NewTransport(cfg.DialTimeout)}
}

// Cancel ends a session and returns the memory that the engine released. Cancelling an unknown session
// releases nothing and is not an error.
func (c *Client) Cancel(ctx context.Context, session string) (backendapi.Cancelled, error) {
	var r backendapi.Cancelled
	err := c.unary(ctx, "engine_cancel", http.MethodDelete, "/v1/sessions/"+url.PathEscape(session), nil, &r)
	return r, err
}

// DeleteKV deletes an exported KV cache. An unknown one is not an error.
func (c *Client) DeleteKV(ctx context.Context, handle string) error {
	return c.unary(ctx, "engine_delete_kv", http.MethodDelete, "/v1/kv/"+url.PathEscape(handle), nil, nil)
}

// Report returns the engine's latest report.
func (c *Client) Report(ctx context.Context) (backendapi.Report, error) {
	var r backendapi.Report
	err := c.unary(ctx, "engine_report", http.MethodGet, "/v1/report", nil, &r)
	return r, err
}

// CacheEvents returns the cache events with numbers above after. Numbers may have gaps.
func (c *Client) CacheEvents(ctx context.Context, after uint64) (backendapi.CacheEvents, error) {
	var r backendapi.CacheEvents
	err := c.unary(ctx, "engine_cache_events", http.MethodGet, fmt.Sprintf("/v1/cache-events?after=%d", after), nil, &r)
	return r, err
}

// StaleFenceError is the cause of an order error when the engine has accepted a newer fence.
type StaleFenceError struct {
	Highest backendapi.Fence
}

// Error implements error.
func (s *StaleFenceError) Error() string {
	return fmt.Sprintf("stale fence, engine accepted config %d term %d", s.Highest.Config, s.Highest.Term)
}

// Order sends an order to the engine. If the engine responds with 409, the error is NotRun and wraps
// *StaleFenceError, and the result also holds the highest fence.
func (c *Client) Order(ctx context.Context, order backendapi.Order) (backendapi.OrderResult, error) {
	var r backendapi.OrderResult
	err := c.unary(ctx, "engine_order", http.MethodPost, "/v1/orders", order, &r)
	var stale *StaleFenceError
	if errors.As(err, &stale) {
		r.Highest = stale.Highest
	}
	return r, err
}

// unary performs one call within RequestTimeout. in and out may be nil.
func (c *Client) unary(ctx context.Context, step, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RequestTimeout)
	defer cancel()
	hc := &httpcall.Call{Step: step, Peer: c.cfg.Peer}
	resp, err := c.send(ctx, hc, method, path, in)
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusConflict {
		return c.stale(ctx, hc, resp)
	}
	if resp.StatusCode == http.StatusNotFound && method == http.MethodDelete {
		return resp.Body.Close() // it is gone, for example because the answer to an earlier call was lost
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return hc.StatusError(resp)
	}
	if out == nil {
		return resp.Body.Close()
	}
	return hc.DecodeJSON(ctx, resp, c.cfg.MaxAnswerBytes, out)
}

// stale decodes a 409 response into an error that wraps *StaleFenceError.
func (c *Client) stale(ctx context.Context, hc *httpcall.Call, resp *http.Response) error {
	var r backendapi.OrderResult
	if err := hc.DecodeJSON(ctx, resp, c.cfg.MaxAnswerBytes, &r); err != nil {
		return err
	}
	return &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.BadRequest, Step: hc.Step, Peer: hc.Peer,
		Err: &StaleFenceError{Highest: r.Highest},
	}
}

func (c *Client) send(ctx context.Context, hc *httpcall.Call, method, path string, in any) (*http.Response, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return nil, outcome.Refuse(hc.Step, outcome.BadRequest, err.Error())
		}
	}
	req, err := http.NewRequestWithContext(hc.Trace(ctx), method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.Refuse(hc.Step, outcome.BadRequest, err.Error())
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	obs.ToHTTP(ctx, req.Header)
	resp, err := c.tr.RoundTrip(req)
	if err != nil {
		return nil, hc.TransportError(ctx, err)
	}
	return resp, nil
}
