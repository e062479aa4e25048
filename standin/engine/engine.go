// Package engine is a stand-in of a model engine: continuous batching with chunked prefill, bounded
// memory, a prefix cache, lagging reports and switches for faults.
//
//	POST   /v1/sessions              NDJSON stream; 503 when out of memory, 503 {"state":"leaving"} when
//	                                 leaving, 409 for a session that exists
//	DELETE /v1/sessions/{id}
//	GET    /v1/report
//	GET    /v1/cache-events?after=N
//	DELETE /v1/kv/{handle}
//	POST   /v1/orders
//	GET    /orders                   orders that were followed, oldest first
//	POST   /faults
//
// A session's prompt is the text that this engine prefills. A prompt over several engines is sent in
// segments: each segment but the last with export, the last with import of all handles in prompt order;
// the answer is then that of the whole prompt. Exported KV caches stay on their engine and hold memory
// until they are deleted.
//
// A session holds its memory until its end line is written or it is cancelled. When its client goes
// away it stays, past its deadline too, unless the configuration says otherwise, so that leaks are
// visible.
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

// Config sets one engine's size, speed and habits.
type Config struct {
	ID      string // part of KV handles
	Model   string
	Version string
	Role    string

	MemoryTokens      int     // for sessions and exported KV caches; default 400,000
	PrefillTokensPerS float64 // over all sessions; default 200,000
	DecodeTokensPerS  float64 // for each session while no prefill runs; default 100
	ChunkTokens       int     // prefill tokens in one step; default 2,048; larger delays decoding sessions
	MaxBatch          int     // sessions that run at once, others wait by priority; default 64

	CacheTokens       int           // prefix cache, apart from MemoryTokens; default 65,536
	PrefixTokens      int           // tokens that one prefix key covers; default 1,024
	CacheEventLag     time.Duration // time before an event shows
	CacheEventLoss    float64       // share of events that never show; their numbers are missing
	ReportLag         time.Duration // reports describe the past by up to this much
	IgnoresFences     bool          // follow orders with an old fence
	ReleaseOnGone     bool          // release a session when its client goes away
	WeightsURL        string        // weight store, read before a load order takes effect; empty: at once
	LoadRetryInterval time.Duration // after a 429 of the weight store, default 200 ms
	Seed              uint64        // of the event loss
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

// Faults switches failures on.
type Faults struct {
	HangBeforeFirst bool `json:"hang_before_first"`    // streams deliver nothing
	HangAfter       int  `json:"hang_after,omitempty"` // streams stop after this many tokens; 0 is off
	Die             bool `json:"die"`                  // drop all state, reset all connections
	Refuse          bool `json:"refuse"`               // new sessions get 503
	Silent          bool `json:"silent"`               // accept every call and never answer
	LoseCancels     bool `json:"lose_cancels"`         // reset the connection of a cancel without effect
	Leaving         bool `json:"leaving"`              // report state "leaving" and refuse new sessions
}

// Engine is the stand-in. Close it after use.
type Engine struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	cfg  Config
	ctx  context.Context
	stop context.CancelFunc
	wake chan struct{} // work for the batch loop, one slot
	done sync.WaitGroup

	mu       sync.Mutex
	sessions map[string]*session
	order    []*session     // by priority, then by arrival
	kv       map[string]int // exported KV caches: tokens by handle
	used     int            // tokens of sessions and exported KV caches
	cache    prefixCache
	identity identity
	orders   []backendapi.Order
	reports  uint64
	report   backendapi.Report
	reported time.Time
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
	e.done.Go(e.batchLoop)
	if cfg.ReportLag > 0 {
		e.done.Go(e.reportLoop)
	}
	return e
}

// Close ends the engine's goroutines and its streams.
func (e *Engine) Close() {
	e.stop()
	e.reset()
	e.done.Wait()
}

// reset drops all state, as a crash does.
func (e *Engine) reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.order {
		s.end(endDied)
	}
	e.sessions = map[string]*session{}
	e.order, e.orders = nil, nil
	e.kv, e.used = map[string]int{}, 0
	e.cache = newPrefixCache(e.cfg, rand.New(rand.NewPCG(e.cfg.Seed, 1)))
	e.identity = identity{model: e.cfg.Model, version: e.cfg.Version, role: e.cfg.Role}
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
		released = s.reserved
		e.release(s)
		s.end(endCancelled)
	}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, backendapi.Cancelled{Released: released})
}

func (e *Engine) serveDeleteKV(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := r.PathValue("handle")
	e.used -= e.kv[h]
	delete(e.kv, h)
	control.WriteJSON(w, http.StatusOK, struct{}{})
}

// release gives a session's memory back. The caller holds mu.
func (e *Engine) release(s *session) {
	if e.sessions[s.req.Session] != s {
		return
	}
	delete(e.sessions, s.req.Session)
	e.order = slices.DeleteFunc(e.order, func(t *session) bool { return t == s })
	e.used -= s.reserved
}
