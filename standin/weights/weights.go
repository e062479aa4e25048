// Package weights is a stand-in for the weight store: it serves deterministic bytes at a limited request
// rate.
//
//	GET  /weights/{model}/{version}
//	POST /faults
package weights

import (
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"

	"golang.org/x/time/rate"

	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// Config sets the size of the weights and the rate limit.
type Config struct {
	Bytes        int     // size of the weights of each model; default 1 MiB
	RequestsPerS float64 // requests above this rate get 429; default 2
}

// Faults selects the faults to inject.
type Faults struct {
	Outage bool `json:"outage"` // all reads get 503
}

// Server is the stand-in for the weight store.
type Server struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	cfg     Config
	limiter *rate.Limiter
}

// New returns a server; zero fields of cfg get their defaults.
func New(cfg Config) *Server {
	if cfg.Bytes == 0 {
		cfg.Bytes = 1 << 20
	}
	if cfg.RequestsPerS == 0 {
		cfg.RequestsPerS = 2
	}
	s := &Server{cfg: cfg, limiter: rate.NewLimiter(rate.Limit(cfg.RequestsPerS), max(1, int(cfg.RequestsPerS)))}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", s.serve)
	mux.Handle("/faults", &s.Faults)
	s.Handler = mux
	return s
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	if f, _ := s.Faults.Get(); f.Outage {
		control.Unavailable(w, "weight store is down")
		return
	}
	if !s.limiter.Allow() {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many requests", http.StatusTooManyRequests)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(s.cfg.Bytes))
	h := fnv.New64a()
	h.Write([]byte(r.PathValue("model") + "\x00" + r.PathValue("version")))
	src := rand.NewChaCha8([32]byte(h.Sum(make([]byte, 24))))
	buf := make([]byte, 32<<10)
	for left := s.cfg.Bytes; left > 0; left -= len(buf) {
		buf = buf[:min(left, len(buf))]
		_, _ = src.Read(buf)
		if _, err := w.Write(buf); err != nil {
			return
		}
	}
}
