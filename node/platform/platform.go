// Package platform is a client of the platform's configuration service and host list. One token bucket
// limits all reads of a process, because the configuration service limits the reads of the whole fleet.
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

// maxEntries bounds the entries that are read to complete a snapshot, at up to 1 MB each.
const maxEntries = 64

// Config holds the addresses of the platform and the limits of a client.
type Config struct {
	ConfigAddress string // configuration service, host:port or HTTP URL
	HostsAddress  string // host list, host:port or HTTP URL

	ReadsPerS      float64       // rate of the token bucket, default 5; the sum over the fleet must stay below 2,000
	Burst          int           // capacity of the token bucket, default 5
	PageEntries    int           // entries per read, default 8; values are up to 1 MB each
	WatchTimeout   time.Duration // default 4 s, so that a watch without changes keeps the view at most 5 s old
	RequestTimeout time.Duration // default 2 s; added to WatchTimeout for a watch
	BackoffMin     time.Duration // initial bound of the delay after a failure, default 100 ms
	BackoffMax     time.Duration // maximum bound, default 10 s
	MaxAnswerBytes int64         // maximum size of a response, default 16 MiB
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

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	cfg     Config
	tr      *httpcall.Transport
	limiter *rate.Limiter

	mu    sync.Mutex
	hosts platformapi.Hosts // last host list; shared with callers
	etag  string            // of hosts; empty if the platform sends none
}

// New returns a client. Zero values in cfg select the defaults.
func New(cfg Config) *Client {
	cfg.setDefaults()
	return &Client{
		cfg:     cfg,
		tr:      httpcall.NewTransport(cfg.RequestTimeout),
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerS), cfg.Burst),
	}
}

// Entries reads one page of entries with numbers above after. A snapshot in several parts is never returned
// incomplete: its remaining parts are read as well, and if they can't be read or are not published yet, all
// of its parts are left out.
func (c *Client) Entries(ctx context.Context, after uint64) (platformapi.Entries, error) {
	got, err := c.page(ctx, after)
	return c.completeSnapshot(ctx, got), err
}

func (c *Client) page(ctx context.Context, after uint64) (platformapi.Entries, error) {
	var r platformapi.Entries
	path := fmt.Sprintf("/config/entries?after=%d&limit=%d", after, c.cfg.PageEntries)
	err := c.get(ctx, "config_entries", c.cfg.ConfigAddress, path, c.cfg.RequestTimeout, &r)
	return r, err
}

// Watch waits up to WatchTimeout for entries with numbers above after and returns no entries if none were
// published. As with Entries, a snapshot is never returned incomplete.
func (c *Client) Watch(ctx context.Context, after uint64) (platformapi.Entries, error) {
	var r platformapi.Entries
	path := fmt.Sprintf("/config/watch?after=%d&timeout_ms=%d", after, c.cfg.WatchTimeout.Milliseconds())
	err := c.get(ctx, "config_watch", c.cfg.ConfigAddress, path, c.cfg.WatchTimeout+c.cfg.RequestTimeout, &r)
	return c.completeSnapshot(ctx, r), err
}

// completeSnapshot reads the missing parts of a snapshot at the end of a page. If that fails, it removes the
// parts of that snapshot.
func (c *Client) completeSnapshot(ctx context.Context, got platformapi.Entries) platformapi.Entries {
	for endsMidSnapshot(got.Entries) && len(got.Entries) < maxEntries {
		next, err := c.page(ctx, got.Entries[len(got.Entries)-1].Number)
		if err != nil || len(next.Entries) == 0 {
			break
		}
		got.Head = next.Head
		got.Entries = append(got.Entries, next.Entries...)
	}
	for endsMidSnapshot(got.Entries) {
		got.Entries = got.Entries[:len(got.Entries)-1]
	}
	return got
}

// endsMidSnapshot reports whether the last entry is a part of a snapshot but not its last part.
func endsMidSnapshot(entries []platformapi.Entry) bool {
	if len(entries) == 0 {
		return false
	}
	last := entries[len(entries)-1]
	return last.Kind == platformapi.KindSnapshot && last.Part < last.Parts
}

// Hosts reads the host list. If the platform sends ETags, an unchanged list is not transferred again: at
// full size the list has 559 KB, and a watcher reads it every two seconds. Callers must not modify the
// returned list.
func (c *Client) Hosts(ctx context.Context) (platformapi.Hosts, error) {
	c.mu.Lock()
	cached, etag := c.hosts, c.etag
	c.mu.Unlock()
	r := readRequest{step: "hosts", address: c.cfg.HostsAddress, path: "/hosts", timeout: c.cfg.RequestTimeout, etag: etag}
	var got platformapi.Hosts
	tag, err := c.fetch(ctx, r, &got)
	switch {
	case errors.Is(err, errNotModified):
		return cached, nil
	case err != nil:
		return platformapi.Hosts{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.etag = got, tag
	return got, nil
}

// readRequest describes one read from the platform.
type readRequest struct {
	step, address, path string
	timeout             time.Duration
	etag                string // of the cached response; if empty, the full response is requested
}

// errNotModified means that the cached response is up to date.
var errNotModified = errors.New("not modified")

func (c *Client) get(ctx context.Context, step, address, path string, timeout time.Duration, out any) error {
	_, err := c.fetch(ctx, readRequest{step: step, address: address, path: path, timeout: timeout}, out)
	return err
}

// fetch performs one read and returns the ETag of the response. A read carries no part of a caller's
// request, so all failures are NotRun, with reason overload for 429 and not_ready otherwise.
func (c *Client) fetch(ctx context.Context, r readRequest, out any) (etag string, err error) {
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
