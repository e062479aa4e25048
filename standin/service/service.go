// Package service is a stand-in for a plain service, such as a ledger or the order server of a shop. It
// counts the executions of each idempotency key.
//
//	GET|POST /{path}       the service; a request other than GET or HEAD counts for its Idempotency-Key
//	GET      /v1/report
//	GET      /executions   {key: count}
//	POST     /faults
package service

import (
	"crypto/sha256"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 1 << 20

// Config sets the behaviour of the service.
type Config struct {
	ChecksKeys bool          // deduplicate: a repeated key gets the first answer without a new execution
	Delay      time.Duration // duration of each call
	Capacity   int           // number of concurrent calls that is reported as load 1; default 64
}

// Faults selects the faults to inject. They affect each call, or only one call in Every.
type Faults struct {
	Every      int  `json:"every,omitempty"` // 0 and 1 mean each call
	ResetAfter bool `json:"reset_after"`     // execute, then reset the connection
	Hang       bool `json:"hang"`            // execute, then never respond
	Refuse     bool `json:"refuse"`          // respond with 503 without executing
	SlowMS     int  `json:"slow_ms"`         // added to the delay
	Leaving    bool `json:"leaving"`         // report state "leaving"; calls are still executed
}

// Server is the stand-in for a plain service. It records its executions.
type Server struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	cfg      Config
	inFlight atomic.Int64
	calls    atomic.Uint64

	mu         sync.Mutex
	executions map[string]int
	answers    map[string][]byte // by key, if ChecksKeys is set
}

// New returns a service without executions.
func New(cfg Config) *Server {
	if cfg.Capacity == 0 {
		cfg.Capacity = 64
	}
	s := &Server{cfg: cfg, executions: map[string]int{}, answers: map[string][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.serveReport)
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		control.WriteJSON(w, http.StatusOK, s.Executions())
	})
	mux.Handle("/faults", &s.Faults)
	mux.HandleFunc("/", s.serve)
	s.Handler = mux
	return s
}

// Answer returns the response body of a call.
func Answer(method, path string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %x\n", method, path, sha256.Sum256(body))
}

// Executions returns the number of executions by key.
func (s *Server) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.executions)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	f, changed := s.faultsFor(r)
	if f.Refuse {
		control.Unavailable(w, "refused by fault switch")
		return
	}
	answer := s.execute(r, body)
	s.sleep(r, s.cfg.Delay+time.Duration(f.SlowMS)*time.Millisecond)
	if f.ResetAfter {
		control.ResetConnection(w)
		return
	}
	if f.Hang {
		select {
		case <-changed:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// faultsFor returns the faults that affect this call, and a channel that is closed when they change.
func (s *Server) faultsFor(r *http.Request) (Faults, <-chan struct{}) {
	f, changed := s.Faults.Get()
	n := s.calls.Add(1)
	if f.Every > 1 && n%uint64(f.Every) != 0 {
		return Faults{}, changed
	}
	return f, changed
}

// execute returns the answer to a call. It counts an execution for the key unless the method is GET or
// HEAD, or the key is a known one and ChecksKeys is set.
func (s *Server) execute(r *http.Request, body []byte) []byte {
	answer := Answer(r.Method, r.URL.RequestURI(), body)
	key := r.Header.Get("Idempotency-Key")
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		return answer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.answers[key]; ok && s.cfg.ChecksKeys {
		return first
	}
	s.executions[key]++
	if s.cfg.ChecksKeys {
		s.answers[key] = answer
	}
	return answer
}

func (s *Server) sleep(r *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}

func (s *Server) serveReport(w http.ResponseWriter, _ *http.Request) {
	f, _ := s.Faults.Get()
	n := s.inFlight.Load()
	report := backendapi.ServiceReport{InFlight: int(n), Load: min(1, float64(n)/float64(s.cfg.Capacity)), State: "live"}
	if f.Leaving {
		report.State = "leaving"
	}
	control.WriteJSON(w, http.StatusOK, report)
}
