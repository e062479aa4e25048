package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

// Bounds of one question for addresses.
const (
	addressTimeout   = 2 * time.Second
	maxAddressBytes  = 1 << 20
	ticketsPerAnswer = 16
)

// addresses is the answer to GET /v1/addresses.
type addresses struct {
	Addresses []struct {
		URL string `json:"url"`
	} `json:"addresses"`
	KeepMS  int64    `json:"keep_ms"`
	Tickets []string `json:"tickets"`
}

// caller is one client of the system with a cached address answer.
type caller struct {
	exp   *Experiment
	home  int // index of the gateway that it asks first
	tr    *http.Transport
	mu    sync.Mutex
	urls  []string
	until time.Time
	spare []string // unused tickets
}

func newCaller(exp *Experiment, i int) *caller {
	return &caller{exp: exp, home: i, tr: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 256, // more than two, so that a burst doesn't use up local ports
		IdleConnTimeout:     10 * time.Second,
	}}
}

var errNoAddress = errors.New("no gateway answered the question for addresses")

// ranked returns the cached addresses, and asks again when they have expired. Expired ones stay in use
// while nobody answers.
func (c *caller) ranked(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.until) {
		return c.urls, nil
	}
	if err := c.ask(ctx, 0); err != nil && len(c.urls) == 0 {
		return nil, err
	}
	return c.urls, nil
}

// ticket takes an unused ticket, and asks for more when there is none.
func (c *caller) ticket(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.spare) == 0 {
		if err := c.ask(ctx, ticketsPerAnswer); err != nil {
			return "", err
		}
	}
	if len(c.spare) == 0 {
		return "", errors.New("the answer held no ticket")
	}
	t := c.spare[0]
	c.spare = c.spare[1:]
	return t, nil
}

// ask asks the known addresses and then the configured gateways, from the home one on. The caller
// holds mu.
func (c *caller) ask(ctx context.Context, tickets int) error {
	candidates := append([]string(nil), c.urls...)
	for i := range c.exp.Targets.Gateways {
		candidates = append(candidates, baseURL(c.exp.Targets.Gateways[(c.home+i)%len(c.exp.Targets.Gateways)]))
	}
	for _, base := range candidates {
		got, err := c.askOne(ctx, base, tickets)
		if err != nil || len(got.Addresses) == 0 {
			continue
		}
		c.urls = nil
		for _, a := range got.Addresses {
			c.urls = append(c.urls, baseURL(a.URL))
		}
		c.until = time.Now().Add(time.Duration(got.KeepMS) * time.Millisecond)
		c.spare = append(c.spare, got.Tickets...)
		return nil
	}
	return errNoAddress
}

func (c *caller) askOne(ctx context.Context, base string, tickets int) (got addresses, err error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	query := url.Values{"model": {c.exp.Model}, "tickets": {fmt.Sprint(tickets)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/addresses?"+query.Encode(), nil)
	if err != nil {
		return got, err
	}
	resp, err := c.tr.RoundTrip(req)
	if err != nil {
		return got, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return got, fmt.Errorf("addresses: status %d", resp.StatusCode)
	}
	return got, json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&got)
}

// request is one call over the caller interface.
type request struct {
	method, path string
	header       http.Header
	body         string
	skip         int // ranked addresses to pass over
}

// do sends a request to the best ranked address that takes a connection. A dial failure moves on to
// the next address, since nothing was sent; any other failure ends the request.
func (c *caller) do(ctx context.Context, r request, team Team, timeout time.Duration) (*http.Response, error) {
	urls, err := c.ranked(ctx)
	if err != nil {
		return nil, err
	}
	for i := range urls {
		req, err := http.NewRequestWithContext(ctx, r.method, urls[(i+r.skip)%len(urls)]+r.path, strings.NewReader(r.body))
		if err != nil {
			return nil, err
		}
		if r.header != nil {
			req.Header = r.header.Clone()
		}
		req.Header.Set("Rosemaryhill-Team", team.Name)
		req.Header.Set("Rosemaryhill-Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
		if team.Key != "" {
			req.Header.Set("Authorization", "Bearer "+team.Key)
		}
		resp, err := c.tr.RoundTrip(req)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			c.expire()
			continue
		}
		return resp, err
	}
	return nil, errNoAddress
}

// expire makes the next call ask for addresses again.
func (c *caller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}
