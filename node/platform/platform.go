// Package platform reads the configuration service and the host list. All reads of a process pass one
// token bucket, because the configuration service bounds the reads of the whole fleet.
package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

// maxEntries bounds what is read to complete a snapshot, at up to 1 MB each.
const maxEntries = 64

// Config says where the platform is and how often it may be read.
type Config struct {
	ConfigAddress string // configuration service, host:port or http URL
	HostsAddress  string // host list, host:port or http URL

	ReadsPerS      float64       // token bucket of all reads, default 5; times the fleet must stay under 2,000
	Burst          int           // default 5
	PageEntries    int           // entries per read, default 8; values are up to 1 MB each
	WatchTimeout   time.Duration // default 4 s, so that a quiet watch keeps the view fresh (5 s)
	RequestTimeout time.Duration // default 2 s, on top of WatchTimeout for a watch
	BackoffMin     time.Duration // first bound of the delay after a failure, default 100 ms
	BackoffMax     time.Duration // last bound, default 10 s
	MaxAnswerBytes int64         // default 16 MiB
}

func (c *Config) setDefaults() {
	setDefault(&c.ReadsPerS, 5)
	setDefault(&c.Burst, 5)
	setDefault(&c.PageEntries, 8)
	setDefault(&c.WatchTimeout, 4*time.Second)
	setDefault(&c.RequestTimeout, 2*time.Second)
	setDefault(&c.BackoffMin, 100*time.Millisecond)
	setDefault(&c.BackoffMax, 10*time.Second)
	setDefault(&c.MaxAnswerBytes, 16<<20)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Client reads the platform. It is safe for concurrent use.
type Client struct {
	cfg     Config
	tr      *http.Transport
	limiter *rate.Limiter

	mu    sync.Mutex
	hosts platformapi.Hosts // last host list, shared by callers
	etag  string            // of hosts; empty if the platform sends none
}

// New returns a client.
func New(cfg Config) *Client {
	cfg.setDefaults()
	return &Client{
		cfg:     cfg,
		tr:      httpcall.Transport(cfg.RequestTimeout),
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerS), cfg.Burst),
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.tr.CloseIdleConnections() }

// Entries reads one page of entries with numbers above after. A snapshot in parts is never cut: the rest
// of its parts is read too, and parts whose rest is not published yet are left out.
func (c *Client) Entries(ctx context.Context, after uint64) (platformapi.Entries, error) {
	got, err := c.page(ctx, after)
	return c.complete(ctx, got), err
}

func (c *Client) page(ctx context.Context, after uint64) (platformapi.Entries, error) {
	var r platformapi.Entries
	path := fmt.Sprintf("/config/entries?after=%d&limit=%d", after, c.cfg.PageEntries)
	err := c.get(ctx, "config_entries", c.cfg.ConfigAddress, path, c.cfg.RequestTimeout, &r)
	return r, err
}

// Watch waits up to WatchTimeout for an entry above after; no entries are returned when none came. As
// with Entries, a snapshot is never cut.
func (c *Client) Watch(ctx context.Context, after uint64) (platformapi.Entries, error) {
	var r platformapi.Entries
	path := fmt.Sprintf("/config/watch?after=%d&timeout_ms=%d", after, c.cfg.WatchTimeout.Milliseconds())
	err := c.get(ctx, "config_watch", c.cfg.ConfigAddress, path, c.cfg.WatchTimeout+c.cfg.RequestTimeout, &r)
	return c.complete(ctx, r), err
}

// complete reads the missing parts of a snapshot at the end of a page, or leaves its parts out.
func (c *Client) complete(ctx context.Context, got platformapi.Entries) platformapi.Entries {
	for cut(got.Entries) && len(got.Entries) < maxEntries {
		next, err := c.page(ctx, got.Entries[len(got.Entries)-1].Number)
		if err != nil || len(next.Entries) == 0 {
			break
		}
		got.Head = next.Head
		got.Entries = append(got.Entries, next.Entries...)
	}
	for cut(got.Entries) {
		got.Entries = got.Entries[:len(got.Entries)-1]
	}
	return got
}

// cut tells whether the last entry is a snapshot part with parts to follow.
func cut(entries []platformapi.Entry) bool {
	if len(entries) == 0 {
		return false
	}
	last := entries[len(entries)-1]
	return last.Kind == platformapi.KindSnapshot && last.Part < last.Parts
}

// Hosts reads the host list. An unchanged list is not transferred again if the platform sends an ETag:
// at full size it has 559 KB, and a watcher reads it every two seconds. Callers must not change the
// list that is returned.
func (c *Client) Hosts(ctx context.Context) (platformapi.Hosts, error) {
	c.mu.Lock()
	held, etag := c.hosts, c.etag
	c.mu.Unlock()
	r := read{step: "hosts", address: c.cfg.HostsAddress, path: "/hosts", timeout: c.cfg.RequestTimeout, etag: etag}
	var got platformapi.Hosts
	tag, err := c.fetch(ctx, r, &got)
	switch {
	case errors.Is(err, errNotModified):
		return held, nil
	case err != nil:
		return platformapi.Hosts{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.etag = got, tag
	return got, nil
}

// read is one call of the platform.
type read struct {
	step, address, path string
	timeout             time.Duration
	etag                string // of what is held; empty asks for the whole answer
}

// errNotModified tells that what is held is what the platform has.
var errNotModified = errors.New("not modified")

func (c *Client) get(ctx context.Context, step, address, path string, timeout time.Duration, out any) error {
	_, err := c.fetch(ctx, read{step: step, address: address, path: path, timeout: timeout}, out)
	return err
}

// fetch sends one read and returns the ETag of its answer. Nothing of a caller's request is in it, so
// all failures are NotRun: overload for 429, else not_ready.
func (c *Client) fetch(ctx context.Context, r read, out any) (etag string, err error) {
	base := httpcall.BaseURL(r.address)
	hc := &httpcall.Call{Step: r.step, Peer: peerOf(base)}
	if err := c.limiter.Wait(ctx); err != nil {
		return "", notRun(hc.TransportError(ctx, err))
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+r.path, nil)
	if err != nil {
		return "", outcome.Refuse(r.step, outcome.BadRequest, err.Error())
	}
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	resp, err := c.tr.RoundTrip(req)
	if err != nil {
		return "", notRun(hc.TransportError(ctx, err))
	}
	if r.etag != "" && resp.StatusCode == http.StatusNotModified {
		return r.etag, errors.Join(errNotModified, resp.Body.Close())
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return "", notRun(hc.StatusError(resp))
	}
	if err := hc.DecodeJSON(ctx, resp, c.cfg.MaxAnswerBytes, out); err != nil {
		return "", notRun(outcome.From(err, r.step, hc.Peer))
	}
	return resp.Header.Get("ETag"), nil
}

func notRun(e *outcome.Error) *outcome.Error {
	e.Kind = outcome.NotRun
	if e.Reason != outcome.Overload {
		e.Reason = outcome.NotReady
	}
	return e
}

func peerOf(base string) string {
	if u, err := url.Parse(base); err == nil {
		return u.Host
	}
	return base
}
