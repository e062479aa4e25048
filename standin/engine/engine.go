// Package engine is a stand-in for a model engine. It simulates continuous batching with chunked prefill,
// limited memory, a prefix cache and delayed reports, and has fault injection.
//
//	POST   /v1/sessions              NDJSON stream; 503 when out of memory, 503 {"state":"leaving"} when
//	                                 leaving, 409 if the session exists
//	DELETE /v1/sessions/{id}
//	GET    /v1/report
//	GET    /v1/cache-events?after=N
//	DELETE /v1/kv/{handle}
//	POST   /v1/orders
//	GET    /orders                   accepted orders, oldest first
//	POST   /faults
//
// A session's prompt is the text that this engine prefills. A prompt that spans several engines is sent
// in segments: all segments except the last set export, and the last one imports all handles in prompt
// order. The last session then gives the answer to the whole prompt. Exported KV caches stay on their
// engine and use its memory until they are deleted.
//
// A session keeps its memory until its end line is written or it is cancelled. By default it outlives the
// connection of its client and its own deadline, so that leaks become visible; see Config.ReleaseOnGone.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// Config sets the size, speed and behaviour of an engine.
type Config struct {
	ID      string // included in KV handles
	Model   string
	Version string
	Role    string

	MemoryTokens      int     // for sessions and exported KV caches; default 400,000
	PrefillTokensPerS float64 // total of all sessions; default 200,000
	DecodeTokensPerS  float64 // per session while no prefill runs; default 100
	ChunkTokens       int     // prefill tokens per step; default 2,048; larger values delay decoding sessions
	MaxBatch          int     // sessions that run at once, the others wait by priority; default 64

	CacheTokens       int           // size of the prefix cache, not part of MemoryTokens; default 65,536
	PrefixTokens      int           // tokens per cached prefix; default 1,024
	CacheEventLag     time.Duration // delay until an event is visible
	CacheEventLoss    float64       // share of events that are lost and leave a gap in the numbers
	ReportLag         time.Duration // maximum age of a report; 0 means that each request gets a current one
	IgnoresFences     bool          // accept orders with an outdated fence
	ReleaseOnGone     bool          // release a session when its client disconnects
	WeightsURL        string        // weight store, read before a load order takes effect; if empty, it does at once
	LoadRetryInterval time.Duration // wait after a failed read of the weights, such as a 429; default 200 ms
	Seed              uint64        // for the random loss of cache events
}

func (c *Config) setDefaults() {
	setDefault(&c.MemoryTokens, 400_000)
	setDefault(&c.PrefillTokensPerS, 200_000)
	setDefault(&c.DecodeTokensPerS, 100)
	setDefault(&c.ChunkTokens, 2048)
	setDefault(&c.MaxBatch, 64)
	setDefault(&c.CacheTokens, 65_536)
	setDefault(&c.PrefixTokens, 1024)
	setDefault(&c.LoadRetryInterval, 200*time.Millisecond)
}

func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// Faults selects the faults to inject.
type Faults struct {
	HangBeforeFirst bool `json:"hang_before_first"`    // streams send no tokens
	HangAfter       int  `json:"hang_after,omitempty"` // streams hang after this many tokens; 0 means off
	Die             bool `json:"die"`                  // drop all state, reset all connections
	Refuse          bool `json:"refuse"`               // new sessions get 503
	Silent          bool `json:"silent"`               // accept every request and never respond
	LoseCancels     bool `json:"lose_cancels"`         // reset the connection of a cancel request and ignore the request
	Leaving         bool `json:"leaving"`              // report state "leaving" and refuse new sessions
}

// Engine simulates one model engine. It must be closed after use.
type Engine struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{} // signals new work to the batch loop; capacity 1
	wg   sync.WaitGroup

	mu           sync.Mutex
	sessions     map[string]*session
	queue        []*session     // running and waiting sessions, by priority, then by arrival
	exportedKV   map[string]int // size in tokens by handle
	usedTokens   int            // by sessions and exported KV caches
	cache        prefixCache
	assignment   assignment
	orders       []backendapi.Order
	reportNumber uint64
	lastReport   backendapi.Report
	reportedAt   time.Time
}

// New starts an engine.
func New(cfg Config) *Engine {
	cfg.setDefaults()
	e := &Engine{cfg: cfg, wake: make(chan struct{}, 1)}
	e.ctx, e.stop = context.WithCancel(context.Background())
	e.reset()
	e.takeReport()
	e.Faults.OnSet = func(f Faults) {
		if f.Die {
			e.reset()
		}
	}
	e.Handler = e.routes()
	e.wg.Go(e.batchLoop)
	if cfg.ReportLag > 0 {
		e.wg.Go(e.reportLoop)
	}
	return e
}

// Close stops the engine's goroutines and ends its streams.
func (e *Engine) Close() {
	e.stop()
	e.reset()
	e.wg.Wait()
}

// reset drops all state, as a crash does.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.queue {
		s.abort(abortCrashed)
	}
	e.sessions = map[string]*session{}
	e.queue, e.orders = nil, nil
	e.exportedKV, e.usedTokens = map[string]int{}, 0
	e.cache = newPrefixCache(e.cfg, rand.New(rand.NewPCG(e.cfg.Seed, 1)))
	e.assignment = assignment{model: e.cfg.Model, version: e.cfg.Version, role: e.cfg.Role}
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sessions", e.serveSession)
	mux.HandleFunc("DELETE /v1/sessions/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	mux.HandleFunc("DELETE /v1/kv/{handle}", e.serveDeleteKV)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /orders", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, e.Orders())
	})
	all := http.NewServeMux()
	all.Handle("/faults", &e.Faults)
	all.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f, changed := e.Faults.Get()
		if f.Silent {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
		}
		if f.Die || f.Silent {
			control.ResetConnection(w)
			return
		}
		mux.ServeHTTP(w, r)
	})
	return all
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if f, _ := e.Faults.Get(); f.LoseCancels {
		control.ResetConnection(w)
		return
	}
	e.mu.Lock()
	released := 0
	if s := e.sessions[r.PathValue("id")]; s != nil {
		released = s.reservedTokens
		e.release(s)
		s.abort(abortCancelled)
	}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, backendapi.Cancelled{Released: released})
}

func (e *Engine) serveDeleteKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := r.PathValue("handle")
	e.usedTokens -= e.exportedKV[h]
	delete(e.exportedKV, h)
	control.WriteJSON(w, http.StatusOK, struct{}{})
}

// release removes a session and frees its memory. The caller must hold e.mu.
func (e *Engine) release(s *session) {
	if e.sessions[s.req.Session] != s {
		return
	}
	delete(e.sessions, s.req.Session)
	e.queue = slices.DeleteFunc(e.queue, func(t *session) bool { return t == s })
	e.usedTokens -= s.reservedTokens
}
