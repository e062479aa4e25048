// Package caller is a client of the caller interface. It accepts a stream as complete only if its tokens
// are numbered without gaps and the count in its end event is the number of the last one.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
)

// ErrIncomplete reports a stream without its end event, or one with missing or malformed events.
var ErrIncomplete = errors.New("incomplete stream")

// Client calls one gateway.
type Client struct {
	URL  string
	Team string
	Key  string // bearer token, optional
	HTTP *http.Client
}

// New returns a client with its own connection pool.
func New(url, team string) *Client {
	return &Client{URL: url, Team: team, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// Answer is the result of a generation.
type Answer struct {
	Text       string
	Tokens     int
	FirstToken time.Duration
	Total      time.Duration
	End        gateway.EndEvent // set if the stream ended with an end event
}

// Refusal is the error for a request that ended without a complete answer: its outcome, its reason and the
// HTTP status.
type Refusal struct {
	Status     int
	RetryAfter string
	outcome.Body
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("status %d, %s, %s at %s %s: %s", r.Status, r.Outcome, r.Reason, r.Step, r.Peer, r.Detail)
}

// Generate sends a generation request and reads the stream to its end. progress, if not nil, is called with
// the number of each token. If the stream ends with an outcome other than answered, Generate returns the
// answer so far and a *Refusal.
func (c *Client) Generate(ctx context.Context, req gateway.GenerateRequest, timeout time.Duration, progress func(n int)) (*Answer, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	resp, err := c.do(ctx, http.MethodPost, "/v1/generate", body, timeout, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp)
	}
	a := &Answer{}
	err = a.read(resp.Body, started, progress)
	a.Total = time.Since(started)
	return a, err
}

// read parses the events of a stream into a.
func (a *Answer) read(r io.Reader, started time.Time, progress func(int)) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	var id, event string
	for lines.Scan() {
		key, value, _ := strings.Cut(lines.Text(), ": ")
		switch key {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			if event == "end" {
				return a.end([]byte(value))
			}
			if err := a.token(id, value, &text); err != nil {
				return err
			}
			if a.Tokens == 1 {
				a.FirstToken = time.Since(started)
			}
			if progress != nil {
				progress(a.Tokens)
			}
		}
	}
	return fmt.Errorf("%w: no end event after token %d: %w", ErrIncomplete, a.Tokens, errors.Join(lines.Err()))
}

func (a *Answer) token(id, data string, text *strings.Builder) error {
	n, err := strconv.Atoi(id)
	if err != nil || n != a.Tokens+1 {
		return fmt.Errorf("%w: token %q after token %d", ErrIncomplete, id, a.Tokens)
	}
	var t struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &t); err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	a.Tokens = n
	text.WriteString(t.Text)
	return nil
}

func (a *Answer) end(data []byte) error {
	if err := json.Unmarshal(data, &a.End); err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	if a.End.Outcome != outcome.Answered.String() {
		return &Refusal{Status: http.StatusOK, Body: outcome.Body{
			Outcome: a.End.Outcome, Reason: a.End.Reason, Step: a.End.Step, Peer: a.End.Peer,
			RetryAfterMS: a.End.RetryAfterMS, Detail: a.End.Detail,
		}}
	}
	if a.End.Count != a.Tokens {
		return fmt.Errorf("%w: end event counts %d tokens, %d arrived", ErrIncomplete, a.End.Count, a.Tokens)
	}
	return nil
}

// Addresses fetches gateway addresses for the model and the given number of tickets.
func (c *Client) Addresses(ctx context.Context, model string, tickets int) (*gateway.Addresses, error) {
	resp, err := c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/addresses?model=%s&tickets=%d", model, tickets), nil, 0, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp)
	}
	var a gateway.Addresses
	return &a, json.NewDecoder(resp.Body).Decode(&a)
}

// Service calls a plain service. The ticket is empty for a lookup. An answer of the service itself is
// returned without an error, whatever its status.
func (c *Client) Service(ctx context.Context, method, service, path, ticket string, body []byte, timeout time.Duration) (status int, answer []byte, err error) {
	h := http.Header{}
	if ticket != "" {
		h.Set(gateway.TicketHeader, ticket)
	}
	resp, err := c.do(ctx, method, "/v1/services/"+service+path, body, timeout, h)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	if resp.Header.Get(gateway.OutcomeHeader) != outcome.Answered.String() {
		return resp.StatusCode, nil, refusal(resp)
	}
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, timeout time.Duration, h http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without this, net/http would resend a posting if a reused connection was reset.
	req.GetBody = nil
	if h != nil {
		req.Header = h
	}
	req.Header.Set(gateway.TeamHeader, c.Team)
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if timeout > 0 {
		req.Header.Set(gateway.TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	return c.HTTP.Do(req)
}

func refusal(resp *http.Response) error {
	r := &Refusal{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	if err := json.NewDecoder(resp.Body).Decode(&r.Body); err != nil {
		return fmt.Errorf("status %d without an outcome in the body: %w", resp.StatusCode, err)
	}
	if r.Outcome != resp.Header.Get(gateway.OutcomeHeader) {
		return fmt.Errorf("outcome is %q in the header but %q in the body", resp.Header.Get(gateway.OutcomeHeader), r.Outcome)
	}
	return r
}
