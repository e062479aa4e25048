// Package platform is a stand-in of the configuration service: a log of numbered entries that can be
// read and watched, with a bounded read rate.
//
//	GET  /config/entries?after=N&limit=K
//	GET  /config/watch?after=N&timeout_ms=T
//	POST /config/publish   one entry without number, for operators; returns {"number"}
//	GET  /reads            {"reads","refused"}
//	POST /faults
package platform

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// MaxValueBytes bounds the body of one entry.
const MaxValueBytes = 1 << 20

// maxPage bounds the entries of one answer, whatever limit the reader asks for.
const maxPage = 64

// maxWatch bounds the time a watch may wait.
const maxWatch = 60 * time.Second

// Config sets the stand-in's limits.
type Config struct {
	ReadsPerS float64 // reads above this rate get 429; default 2,000
}

// Faults switches failures on.
type Faults struct {
	Outage      bool    `json:"outage"`                 // every read and publish gets 503
	StaleHead   *uint64 `json:"stale_head,omitempty"`   // the replica shows no entry above this number
	RefuseReads bool    `json:"refuse_reads,omitempty"` // every read gets 429
}

// ReadStats counts reads.
type ReadStats struct {
	Reads   uint64 `json:"reads"`   // answered, a watch counting once
	Refused uint64 `json:"refused"` // answered with 429
}

// PublishResponse is the answer to POST /config/publish.
type PublishResponse struct {
	Number uint64 `json:"number"`
}

// Server is the stand-in.
type Server struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	limiter        *rate.Limiter
	reads, refused atomic.Uint64

	mu      sync.Mutex
	entries []platformapi.Entry
	grown   chan struct{} // closed when an entry is added
}

// New returns a stand-in with an empty log.
func New(cfg Config) *Server {
	if cfg.ReadsPerS == 0 {
		cfg.ReadsPerS = 2000
	}
	s := &Server{
		limiter: rate.NewLimiter(rate.Limit(cfg.ReadsPerS), max(1, int(cfg.ReadsPerS/10))),
		grown:   make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/entries", s.read(s.serveEntries))
	mux.HandleFunc("GET /config/watch", s.read(s.serveWatch))
	mux.HandleFunc("POST /config/publish", s.servePublish)
	mux.HandleFunc("GET /reads", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.ReadStats())
	})
	mux.Handle("/faults", &s.Faults)
	s.Handler = mux
	return s
}

// Publish appends an entry and returns its number. The service checks nothing about base or body:
// acceptance is the readers' matter.
func (s *Server) Publish(e platformapi.Entry) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Number = uint64(len(s.entries)) + 1
	s.entries = append(s.entries, e)
	close(s.grown)
	s.grown = make(chan struct{})
	return e.Number
}

// ReadStats returns the read counts.
func (s *Server) ReadStats() ReadStats {
	return ReadStats{Reads: s.reads.Load(), Refused: s.refused.Load()}
}

// read counts a read, applies the rate limit and the switches that concern all reads.
func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, _ := s.Faults.Get()
		if f.Outage {
			control.Unavailable(w, "configuration service is down")
			return
		}
		if f.RefuseReads || !s.limiter.Allow() {
			s.refused.Add(1)
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many reads", http.StatusTooManyRequests)
			return
		}
		s.reads.Add(1)
		next(w, r)
	}
}

func (s *Server) serveEntries(w http.ResponseWriter, r *http.Request) {
	after, limit := number(r, "after"), number(r, "limit")
	if limit == 0 || limit > maxPage {
		limit = maxPage
	}
	got, _ := s.page(after, int(limit))
	control.WriteJSON(w, http.StatusOK, got)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after := number(r, "after")
	wait := min(time.Duration(number(r, "timeout_ms"))*time.Millisecond, maxWatch)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for expired := false; ; {
		f, changed := s.Faults.Get()
		if f.Outage {
			control.Unavailable(w, "configuration service is down")
			return
		}
		got, grown := s.page(after, maxPage)
		if len(got.Entries) > 0 || expired {
			control.WriteJSON(w, http.StatusOK, got)
			return
		}
		select {
		case <-grown:
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// page returns the entries above after that the replica shows, and a channel that is closed when the
// log grows.
func (s *Server) page(after uint64, limit int) (platformapi.Entries, <-chan struct{}) {
	f, _ := s.Faults.Get()
	s.mu.Lock()
	defer s.mu.Unlock()
	head := uint64(len(s.entries))
	if f.StaleHead != nil {
		head = min(head, *f.StaleHead)
	}
	got := platformapi.Entries{Head: head, Entries: []platformapi.Entry{}}
	if after < head {
		end := min(head, after+uint64(limit))
		got.Entries = append(got.Entries, s.entries[after:end]...)
	}
	return got, s.grown
}

func (s *Server) servePublish(w http.ResponseWriter, r *http.Request) {
	var e platformapi.Entry
	if f, _ := s.Faults.Get(); f.Outage {
		control.Unavailable(w, "configuration service is down")
		return
	}
	if !control.ReadJSON(w, r, &e) {
		return
	}
	if e.Kind != platformapi.KindSnapshot && e.Kind != platformapi.KindPatch {
		http.Error(w, "kind must be snapshot or patch", http.StatusBadRequest)
		return
	}
	if len(e.Body) > MaxValueBytes {
		http.Error(w, "a value is at most 1 MB; split the snapshot into parts", http.StatusRequestEntityTooLarge)
		return
	}
	control.WriteJSON(w, http.StatusOK, PublishResponse{Number: s.Publish(e)})
}

// number reads a query parameter; a missing or malformed one is 0.
func number(r *http.Request, name string) uint64 {
	v, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return v
}
