// Package service is a stand-in of a plain service, such as a ledger or a shop's order server. It counts
// how often each key was executed.
//
//	GET|POST /{path}       the service; a request other than GET executes under its Idempotency-Key
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

// MaxBodyBytes bounds a request body.
const MaxBodyBytes = 1 << 20

// Config sets the service's habits.
type Config struct {
	ChecksKeys bool          // a repeated key gets the first answer and is not executed again
	Delay      time.Duration // time that each call takes
	Capacity   int           // calls in flight that count as full load, default 64
}

// Faults switches failures on. They concern every call, or one in Every.
type Faults struct {
	Every      int  `json:"every,omitempty"` // 0 and 1: each call
	ResetAfter bool `json:"reset_after"`     // execute, then reset the connection
	Hang       bool `json:"hang"`            // execute, then never answer
	Refuse     bool `json:"refuse"`          // 503, not executed
	SlowMS     int  `json:"slow_ms"`         // added to the delay
	Leaving    bool `json:"leaving"`         // report state "leaving"; calls still run
}

// Server is the stand-in.
type Server struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	cfg      Config
	inFlight atomic.Int64
	calls    atomic.Uint64

	mu         sync.Mutex
	executions map[string]int
	answers    map[string][]byte // by key, if keys are checked
}

// New returns a stand-in.
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

// Answer returns the body with which the service answers a call.
func Answer(method, path string, body []byte) []byte {
	return fmt.Appendf(nil, "%s %s %x\n", method, path, sha256.Sum256(body))
}

// Executions returns how often each key was executed.
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
	f, changed := s.faultsOf(r)
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

// faultsOf returns the switches that concern this call.
func (s *Server) faultsOf(r *http.Request) (Faults, <-chan struct{}) {
	f, changed := s.Faults.Get()
	n := s.calls.Add(1)
	if f.Every > 1 && n%uint64(f.Every) != 0 {
		return Faults{}, changed
	}
	return f, changed
}

// execute counts a call that is no GET under its key and returns its answer.
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
