package gateway

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpend"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// HTTP headers of the callers' API.
const (
	TeamHeader    = "Rosemaryhill-Team"
	TimeoutHeader = "Rosemaryhill-Timeout-Ms"
	TicketHeader  = "Rosemaryhill-Ticket"
	OutcomeHeader = "Rosemaryhill-Outcome"
)

// Limits of the callers' API.
const (
	// MaxServiceBody is the maximum size in bytes of the body of a call to a plain service.
	MaxServiceBody = 1 << 20
	// MaxPromptBytes bounds a prompt; it corresponds to 1,000,000 tokens.
	MaxPromptBytes = 4_000_000
	// maxGenerateBody is the maximum size in bytes of the body of a generate request. It allows for JSON escapes
	// in the longest prompt, which at worst double the size of printable text.
	maxGenerateBody = 2*MaxPromptBytes + 64<<10
	// MaxTimeout bounds the timeout that a caller may request.
	MaxTimeout = 3_600_000 * time.Millisecond
	// bodyTimeout bounds the time to read a request body, so that a stalled caller does not occupy a request
	// slot.
	bodyTimeout = 30 * time.Second
)

var defaultTimeouts = map[ident.Class]time.Duration{
	ident.Interactive: 30 * time.Second,
	ident.Standard:    120 * time.Second,
	ident.Batch:       600 * time.Second,
}

func (g *Gateway) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", g.serveAddresses)
	mux.HandleFunc("POST /v1/generate", g.instrument("generate", g.serveGenerate))
	mux.HandleFunc("/v1/services/{service}/{path...}", g.instrument("service", g.serveService))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		g.fail(w, outcome.Refuse("route", outcome.BadRequest, "no such path or method; see GET /v1/addresses, POST /v1/generate, /v1/services/{service}/{path}"))
	})
	return mux
}

// instrument wraps a handler with a trace span, a log line for failures and the count of outcomes. The wrapped
// handler returns the error that it has already sent to the caller, or nil.
func (g *Gateway) instrument(name string, serve func(http.ResponseWriter, *http.Request) *outcome.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, span := g.obs.Span(obs.FromHTTP(r.Context(), r.Header), name, trace.SpanKindServer,
			attribute.String("team", r.Header.Get(TeamHeader)))
		err := serve(w, r.WithContext(ctx))
		label, failure := outcome.Answered.String(), ""
		if err != nil {
			label, failure = string(err.Reason), string(err.Reason)
			g.log.WithFields(fields{
				"request": name, "team": r.Header.Get(TeamHeader), "outcome": err.Kind.String(), "reason": string(err.Reason),
				"step": err.Step, "peer": err.Peer, "error": err.Error(),
			}).Info("request failed")
		}
		g.requestsEnded.Add(1, label)
		obs.EndSpan(span, failure)
	}
}

// fail writes the error response of a request.
func (g *Gateway) fail(w http.ResponseWriter, e *outcome.Error) *outcome.Error {
	w.Header().Set(OutcomeHeader, e.Kind.String())
	httpend.WriteError(w, e, wholeSeconds)
	return e
}

func wholeSeconds(d time.Duration) string { return strconv.Itoa(int(math.Ceil(d.Seconds()))) }

// readBody reads a request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *outcome.Error) {
	return httpend.ReadBody(w, r, limit, bodyTimeout)
}

// parseTimeout returns the timeout in the request header, or def if there is none.
func parseTimeout(r *http.Request, def time.Duration) (time.Duration, *outcome.Error) {
	text := r.Header.Get(TimeoutHeader)
	if text == "" {
		return def, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, outcome.Refuse("read_header", outcome.BadRequest, TimeoutHeader+" must be a number of milliseconds from 1 to 3600000")
	}
	return min(time.Duration(min(ms, MaxTimeout.Milliseconds()))*time.Millisecond, MaxTimeout), nil
}
