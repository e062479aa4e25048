package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
)

// serviceTimeout is the default timeout of a call to a plain service.
const serviceTimeout = 30 * time.Second

// serviceCall is one call to a plain service.
type serviceCall struct {
	team        ident.Team
	service     string
	method      string
	path        string // with leading slash and raw query string
	contentType string
	body        []byte
	ticket      string
	deadline    time.Duration
}

// serviceResponse is the response of a service instance.
type serviceResponse struct {
	status      int
	contentType string
	body        []byte
}

// serveService serves /v1/services/{service}/{path}.
func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) *outcome.Error {
	call, idempotent, err := g.readServiceCall(w, r)
	if err != nil {
		return g.fail(w, err)
	}
	var resp *serviceResponse
	if idempotent {
		resp, err = g.lookup(r.Context(), call)
	} else {
		resp, err = g.post(r.Context(), call)
	}
	if err != nil {
		return g.fail(w, err)
	}
	if resp.contentType != "" {
		w.Header().Set("Content-Type", resp.contentType)
	}
	w.Header().Set(OutcomeHeader, outcome.Answered.String())
	w.WriteHeader(resp.status)
	_, _ = w.Write(resp.body) // an error means that the caller disconnected
	return nil
}

// readServiceCall reads and validates a request and reports whether it is idempotent. It refuses a call that is
// malformed or too large with "not run" even if the call has a ticket: such a call can't have run with any
// ticket.
func (g *Gateway) readServiceCall(w http.ResponseWriter, r *http.Request) (*serviceCall, bool, *outcome.Error) {
	if ok, reason := g.view.Ready(); !ok {
		return nil, false, g.refuseCall(r, retryLater(outcome.Refuse("admit", outcome.NotReady, reason)))
	}
	snap := g.view.Config()
	service, ok := snap.Config.Services[r.PathValue("service")]
	if !ok {
		return nil, false, outcome.Refuse("validate", outcome.BadRequest, "service "+r.PathValue("service")+" is not configured")
	}
	timeout, err := parseTimeout(r, serviceTimeout)
	if err != nil {
		return nil, false, err
	}
	received := g.view.ReceivedAt()
	body, err := readBody(w, r, MaxServiceBody)
	if err != nil {
		return nil, false, err
	}
	team, _, err := authenticate(snap, r.Header)
	if err != nil {
		return nil, false, g.refuseCall(r, err)
	}
	return &serviceCall{
		team: team, service: r.PathValue("service"), method: r.Method, path: servicePath(r),
		contentType: r.Header.Get("Content-Type"), body: body, ticket: r.Header.Get(TicketHeader),
		deadline: received + timeout,
	}, service.Idempotent(r.Method), nil
}

// refuseCall returns the error of a call that is refused before its ticket was checked. A call with a ticket
// may be running or have run in another process, so the outcome is then MayHaveRun.
func (g *Gateway) refuseCall(r *http.Request, cause *outcome.Error) *outcome.Error {
	if r.Header.Get(TicketHeader) != "" {
		cause.Kind = outcome.MayHaveRun
	}
	return cause
}

// servicePath returns the path and query to request from the service, in the caller's own escaping.
func servicePath(r *http.Request) string {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/")
	_, path, _ := strings.Cut(escaped, "/")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return "/" + path
}

// lookup runs an idempotent call, with retries on other servers within the retry budget.
func (g *Gateway) lookup(ctx context.Context, call *serviceCall) (*serviceResponse, *outcome.Error) {
	if err := g.admit(); err != nil {
		return nil, err
	}
	defer g.release()
	if err := g.chargeTeam(call.team, 0); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, call.deadline-g.view.Now())
	defer cancel()
	excluded := map[ident.BackendID]bool{}
	mayHaveRun := false
	for tries := 1; ; tries++ {
		p, err := g.services.acquire(call.service, call.deadline, excluded)
		if err != nil && len(excluded) > 0 {
			clear(excluded) // all servers have failed once: the retry may go to any of them
			p, err = g.services.acquire(call.service, call.deadline, excluded)
		}
		if err != nil {
			return nil, withMayHaveRun(err, mayHaveRun)
		}
		resp, err := g.lookupOnce(ctx, p, call)
		if err == nil {
			return resp, nil
		}
		mayHaveRun = mayHaveRun || err.Kind == outcome.MayHaveRun
		excluded[p.in.ID] = true
		wait, again := p.nextRetry(g.rng(), tries, call.deadline-g.view.Now())
		if !again || ctx.Err() != nil {
			return nil, withMayHaveRun(err, mayHaveRun)
		}
		ctxtime.Sleep(ctx, wait)
	}
}

func withMayHaveRun(e *outcome.Error, mayHaveRun bool) *outcome.Error {
	if mayHaveRun {
		e.Kind = outcome.MayHaveRun
	}
	return e
}

func (g *Gateway) lookupOnce(ctx context.Context, p *permit, call *serviceCall) (*serviceResponse, *outcome.Error) {
	resp, err := p.in.client.Lookup(ctx, call.request(ctx))
	if err != nil {
		e := outcome.From(err, "service_lookup", string(p.in.ID))
		p.release(resultOf(e))
		return nil, e
	}
	p.answered(resp)
	return responseOf(resp), nil
}

// resultOf returns the result to report to the server's concurrency limit: a cancelled call says nothing about
// the server.
func resultOf(e *outcome.Error) limits.Result {
	if e.Reason == outcome.Cancelled {
		return limits.Neutral
	}
	return limits.Failure
}

func (c *serviceCall) request(ctx context.Context) servicehttp.Call {
	h := http.Header{}
	if c.contentType != "" {
		h.Set("Content-Type", c.contentType)
	}
	obs.ToHTTP(ctx, h)
	return servicehttp.Call{Method: c.method, Path: c.path, Header: h, Body: c.body}
}

func responseOf(r *servicehttp.Response) *serviceResponse {
	return &serviceResponse{status: r.Status, contentType: r.Header.Get("Content-Type"), body: r.Body}
}
