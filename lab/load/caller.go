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

// Limits of one request for addresses.
const (
	addressTimeout   = 2 * time.Second
	maxAddressBytes  = 1 << 20
	ticketsPerAnswer = 16
)

// addresses is the body of a response to GET /v1/addresses.
type addresses struct {
	Addresses []struct {
		URL string `json:"url"`
	} `json:"addresses"`
	KeepMS  int64    `json:"keep_ms"`
	Tickets []string `json:"tickets"`
}

// caller is one client of the system. It caches the gateway addresses that it was given.
type caller struct {
	exp              *Experiment
	preferredGateway int // index of the configured gateway that it tries first
	tr               *http.Transport
	mu               sync.Mutex
	urls             []string
	expires          time.Time
	tickets          []string // unused tickets
}

func newCaller(exp *Experiment, i int) *caller {
	return &caller{exp: exp, preferredGateway: i, tr: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 256, // the default of 2 would use up the local ports in a burst
		IdleConnTimeout:     10 * time.Second,
	}}
}

var errNoAddress = errors.New("no gateway answered the question for addresses")

// rankedAddresses returns the cached addresses, best first, and fetches them again once they have
// expired. Expired addresses stay in use while no gateway answers.
func (c *caller) rankedAddresses(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return c.urls, nil
	}
	if err := c.fetchAddresses(ctx, 0); err != nil && len(c.urls) == 0 {
		return nil, err
	}
	return c.urls, nil
}

// takeTicket removes an unused ticket from the cache, and fetches more when there is none.
func (c *caller) takeTicket(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		if err := c.fetchAddresses(ctx, ticketsPerAnswer); err != nil {
			return "", err
		}
	}
	if len(c.tickets) == 0 {
		return "", errors.New("the answer held no ticket")
	}
	t := c.tickets[0]
	c.tickets = c.tickets[1:]
	return t, nil
}

// fetchAddresses tries the cached addresses and then the configured gateways, beginning with
// preferredGateway, and stores the first usable answer. mu must be held.
func (c *caller) fetchAddresses(ctx context.Context, tickets int) error {
	candidates := append([]string(nil), c.urls...)
	for i := range c.exp.Targets.Gateways {
		candidates = append(candidates, baseURL(c.exp.Targets.Gateways[(c.preferredGateway+i)%len(c.exp.Targets.Gateways)]))
	}
	for _, base := range candidates {
		got, err := c.fetchFrom(ctx, base, tickets)
		if err != nil || len(got.Addresses) == 0 {
			continue
		}
		c.urls = nil
		for _, a := range got.Addresses {
			c.urls = append(c.urls, baseURL(a.URL))
		}
		c.expires = time.Now().Add(time.Duration(got.KeepMS) * time.Millisecond)
		c.tickets = append(c.tickets, got.Tickets...)
		return nil
	}
	return errNoAddress
}

func (c *caller) fetchFrom(ctx context.Context, base string, tickets int) (got addresses, err error) {
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

// request is one HTTP request to the caller interface.
type request struct {
	method, path string
	header       http.Header
	body         string
	skip         int // number of best ranked addresses to try last
}

// do sends a request to the best ranked address that accepts a connection. After a dial failure it tries
// the next address, since nothing was sent; any other failure ends the request.
func (c *caller) do(ctx context.Context, r request, team Team, timeout time.Duration) (*http.Response, error) {
	urls, err := c.rankedAddresses(ctx)
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

// expire makes the next call fetch the addresses again.
func (c *caller) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

func baseURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}
