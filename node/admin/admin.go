// Package admin serves the administration API of a process on a separate port. All paths except /healthz and
// /readyz require the bearer token from the settings.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// Error is the class of all errors of this package.
var Error = errs.Class("admin")

// Gateway is the part of a gateway that the API reads.
type Gateway interface {
	Tickets() gateway.TicketStatus
}

// Dispatcher is the part of a dispatcher that the API reads.
type Dispatcher interface {
	Status() *sched.Status
	OwnedGroups() []string
	Reports() map[ident.BackendID]backendapi.Report
}

// Config holds the address, the token and the data sources of the API. Gateway is nil in a dispatcher process,
// Dispatcher in a gateway process.
type Config struct {
	Address    string
	Token      string
	View       *view.View
	Obs        *obs.Obs
	Gateway    Gateway
	Dispatcher Dispatcher
}

// Server is a running administration API.
type Server struct {
	cfg      Config
	token    [sha256.Size]byte
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// Start listens on the address and serves the API.
func Start(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, Error.New("listen on %s: %w", cfg.Address, err)
	}
	s := &Server{cfg: cfg, token: sha256.Sum256([]byte(cfg.Token)), listener: l, done: make(chan struct{})}
	s.server = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 30 * time.Second}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(l)
	}()
	return s, nil
}

// Addr returns the address of the API.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the API.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	return err
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, Health{Status: "ok"}) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	mux.Handle("GET /metrics", s.requireToken(s.cfg.Obs.MetricsHandler().ServeHTTP))
	mux.Handle("GET /v1/config", s.requireToken(s.serveConfig))
	mux.Handle("POST /v1/config/check", s.requireToken(s.serveCheck))
	mux.Handle("GET /v1/teams", s.requireToken(s.serveTeams))
	mux.Handle("GET /v1/models", s.requireToken(s.serveModels))
	mux.Handle("GET /v1/backend-servers", s.requireToken(s.serveBackends))
	mux.Handle("GET /v1/tickets", s.requireToken(s.serveTickets))
	mux.Handle("GET /v1/processes", s.requireToken(s.serveProcesses))
	mux.Handle("GET /v1/scheduler", s.requireToken(s.serveScheduler))
	return mux
}

// requireToken rejects requests without the bearer token. It compares hashes, which have equal length, in
// constant time, so that the time of the comparison reveals nothing about the token.
func (s *Server) requireToken(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(sum[:], s.token[:]) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, Failure{Error: "the header Authorization: Bearer <admin.token> is missing or wrong"})
			return
		}
		next(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // an error means that the client disconnected
}

// Probe requests /readyz of the process with the given administration address.
func Probe(ctx context.Context, address string) (Ready, error) {
	var r Ready
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return r, Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return r, Error.Wrap(err)
	}
	defer resp.Body.Close()
	return r, Error.Wrap(json.NewDecoder(resp.Body).Decode(&r))
}
