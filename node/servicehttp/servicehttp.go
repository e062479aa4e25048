// Package servicehttp calls plain services. Idempotent calls share kept connections; a posting gets
// one connection of its own and is written at most once.
package servicehttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

// KeyHeader carries the ticket of a posting to the service.
const KeyHeader = "Idempotency-Key"

// Config says how to reach one plain service.
type Config struct {
	Peer             string        // backend server id, for errors
	Address          string        // host:port or http URL
	DialTimeout      time.Duration // default 1 s; longer delays the NotRun of a dead server
	MaxResponseBytes int64         // default 1 MiB; memory held for each answer in flight
}

// Call is one request to a service.
type Call struct {
	Method string
	Path   string // with leading slash, may carry a query
	Header http.Header
	Body   []byte
	Key    string // Idempotency-Key; required for a posting
}

// Response is the service's own answer, whatever its status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	cfg  Config
	base string
	kept *http.Transport
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = 1 << 20
	}
	return &Client{cfg: cfg, base: httpcall.BaseURL(cfg.Address), kept: httpcall.Transport(cfg.DialTimeout)}
}

// Close drops idle connections.
func (c *Client) Close() { c.kept.CloseIdleConnections() }

// Lookup sends an idempotent call. It doesn't retry by itself and follows no redirect. A failure before
// a connection stood is NotRun, any later failure is MayHaveRun.
func (c *Client) Lookup(ctx context.Context, call Call) (*Response, error) {
	hc := &httpcall.Call{Step: "service_lookup", Peer: c.cfg.Peer}
	req, err := c.request(hc.Trace(ctx), call)
	if err != nil {
		return nil, err
	}
	resp, err := c.kept.RoundTrip(req)
	if err != nil {
		return nil, hc.TransportError(ctx, err)
	}
	defer resp.Body.Close()
	body, err := httpcall.ReadBounded(resp.Body, c.cfg.MaxResponseBytes)
	if err != nil {
		return nil, hc.TransportError(ctx, err)
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Report returns the load report of the service.
func (c *Client) Report(ctx context.Context) (backendapi.ServiceReport, error) {
	var r backendapi.ServiceReport
	hc := &httpcall.Call{Step: "service_report", Peer: c.cfg.Peer}
	req, err := c.request(hc.Trace(ctx), Call{Method: http.MethodGet, Path: "/v1/report"})
	if err != nil {
		return r, err
	}
	resp, err := c.kept.RoundTrip(req)
	if err != nil {
		return r, hc.TransportError(ctx, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return r, hc.StatusError(resp)
	}
	return r, hc.DecodeJSON(ctx, resp, c.cfg.MaxResponseBytes, &r)
}

// request builds a request whose GetBody is nil, so that net/http can't replay the body.
func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	var body io.Reader
	if len(call.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(call.Body))
	}
	if !strings.HasPrefix(call.Path, "/") {
		return nil, outcome.Refuse("service_request", outcome.BadRequest, "path must start with a slash: "+call.Path)
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, body)
	if err != nil {
		return nil, outcome.Refuse("service_request", outcome.BadRequest, err.Error())
	}
	req.ContentLength = int64(len(call.Body))
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	if call.Key != "" {
		req.Header.Set(KeyHeader, call.Key)
	}
	return req, nil
}
