// Package servicehttp is the HTTP client for plain services. Each call uses a new connection. A
// non-idempotent call (posting) is written at most once.
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

// KeyHeader is the header that carries the ticket of a non-idempotent call to the service.
const KeyHeader = "Idempotency-Key"

// Config configures the client of one plain service.
type Config struct {
	Peer             string        // backend server id, used in errors
	Address          string        // host:port or http URL
	DialTimeout      time.Duration // default 1 s; a longer timeout delays the NotRun error for a dead server
	MaxResponseBytes int64         // default 1 MiB; bounds the memory per call in flight
}

// Call is one request to a service.
type Call struct {
	Method string
	Path   string // with leading slash, may include a query
	Header http.Header
	Body   []byte
	Key    string // value of KeyHeader; required by Post
}

// Response is the response of the service, whatever its status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	cfg       Config
	base      string
	transport *httpcall.Transport
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = time.Second
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = 1 << 20
	}
	return &Client{cfg: cfg, base: httpcall.BaseURL(cfg.Address), transport: httpcall.NewTransport(cfg.DialTimeout)}
}

// Lookup sends an idempotent call. It doesn't retry and follows no redirect. A failure before the connection is
// established is NotRun, any later failure is MayHaveRun.
func (c *Client) Lookup(ctx context.Context, call Call) (*Response, error) {
	hc := &httpcall.Call{Step: "service_lookup", Peer: c.cfg.Peer}
	req, err := c.request(hc.Trace(ctx), call)
	if err != nil {
		return nil, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, hc.TransportError(ctx, err)
	}
	defer resp.Body.Close()
	body, err := httpcall.ReadWhole(resp, c.cfg.MaxResponseBytes)
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
	resp, err := c.transport.RoundTrip(req)
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
