// Package platform is a stand-in for the configuration service: a log of numbered entries that can be
// read and watched, with a limited read rate.
//
//	GET  /config/entries?after=N&limit=K
//	GET  /config/watch?after=N&timeout_ms=T
//	POST /config/publish   appends an entry and assigns its number, for operators; returns {"number"}
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

// MaxValueBytes is the maximum size of the body of an entry.
const MaxValueBytes = 1 << 20

// maxPageEntries is the maximum number of entries in one response, even if the reader asks for more.
const maxPageEntries = 64

// maxWatchTime is the maximum duration of a watch request.
const maxWatchTime = 60 * time.Second

// Config sets the limits of the service.
type Config struct {
	ReadsPerS float64 // reads above this rate get 429; default 2,000
}

// Faults selects the faults to inject.
type Faults struct {
	Outage      bool    `json:"outage"`                 // all reads and publishes get 503
	StaleHead   *uint64 `json:"stale_head,omitempty"`   // hide the entries above this number, as a stale replica does
	RefuseReads bool    `json:"refuse_reads,omitempty"` // all reads get 429
}

// ReadStats holds the number of served and refused reads.
type ReadStats struct {
	Reads   uint64 `json:"reads"`   // passed the read limit; a watch counts once
	Refused uint64 `json:"refused"` // refused with 429
}

// PublishResponse is the response to POST /config/publish.
type PublishResponse struct {
	Number uint64 `json:"number"`
}

// Server is the stand-in for the configuration service. It keeps its log in memory.
type Server struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	limiter        *rate.Limiter
	reads, refused atomic.Uint64

	mu       sync.Mutex
	entries  []platformapi.Entry
	appended chan struct{} // closed when an entry is appended
}

// New returns a server with an empty log.
func New(cfg Config) *Server {
	if cfg.ReadsPerS == 0 {
		cfg.ReadsPerS = 2000
	}
	s := &Server{
		limiter:  rate.NewLimiter(rate.Limit(cfg.ReadsPerS), max(1, int(cfg.ReadsPerS/10))),
		appended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/entries", s.limitReads(s.serveEntries))
	mux.HandleFunc("GET /config/watch", s.limitReads(s.serveWatch))
	mux.HandleFunc("POST /config/publish", s.servePublish)
	mux.HandleFunc("GET /reads", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.ReadStats())
	})
	mux.Handle("/faults", &s.Faults)
	s.Handler = mux
	return s
}

// Publish appends an entry and returns its number. It doesn't validate the base or the body, because each
// reader decides whether it accepts an entry.
func (s *Server) Publish(e platformapi.Entry) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Number = uint64(len(s.entries)) + 1
	s.entries = append(s.entries, e)
	close(s.appended)
	s.appended = make(chan struct{})
	return e.Number
}

// ReadStats returns the number of reads so far.
func (s *Server) ReadStats() ReadStats {
	return ReadStats{Reads: s.reads.Load(), Refused: s.refused.Load()}
}

// limitReads wraps a read handler: it applies the rate limit and the faults that affect all reads, and
// counts the read.
func (s *Server) limitReads(next http.HandlerFunc) http.HandlerFunc {
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
	after, limit := uintParam(r, "after"), uintParam(r, "limit")
	if limit == 0 || limit > maxPageEntries {
		limit = maxPageEntries
	}
	got, _ := s.page(after, int(limit))
	control.WriteJSON(w, http.StatusOK, got)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after := uintParam(r, "after")
	wait := min(time.Duration(uintParam(r, "timeout_ms"))*time.Millisecond, maxWatchTime)
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for expired := false; ; {
		f, changed := s.Faults.Get()
		if f.Outage {
			control.Unavailable(w, "configuration service is down")
			return
		}
		got, appended := s.page(after, maxPageEntries)
		if len(got.Entries) > 0 || expired {
			control.WriteJSON(w, http.StatusOK, got)
			return
		}
		select {
		case <-appended:
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// page returns up to limit visible entries with numbers above after, and a channel that is closed when
// an entry is appended.
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
	return got, s.appended
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

// uintParam returns a query parameter as a number, or 0 if it is missing or malformed.
func uintParam(r *http.Request, name string) uint64 {
	v, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return v
}
