// Package hostlist is a stand-in for the platform's list of live and leaving hosts. Changes become visible
// after a configurable lag.
//
//	GET    /hosts
//	PUT    /hosts        {"hosts":[...]} replaces the list
//	POST   /hosts/{id}   {"state"} changes one host's state
//	DELETE /hosts/{id}   removes one host
//	POST   /faults
package hostlist

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// Config sets the lag of the host list.
type Config struct {
	Lag time.Duration // delay until a change is visible in responses
}

// Faults selects the faults to inject.
type Faults struct {
	Outage bool `json:"outage"` // GET /hosts gets 503
	Frozen bool `json:"frozen"` // GET /hosts returns the oldest stored version of the list
}

// maxVersions is the number of versions of the list that are stored.
const maxVersions = 64

type version struct {
	changedAt time.Time
	list      platformapi.Hosts
}

// Server is the stand-in for the host list service.
type Server struct {
	http.Handler
	Faults control.FaultSettings[Faults]

	cfg      Config
	mu       sync.Mutex
	versions []version // oldest first, never empty
}

// New returns a server whose first version holds the given hosts, without lag.
func New(cfg Config, hosts []platformapi.Host) *Server {
	first := platformapi.Hosts{Version: 1, Hosts: slices.Clone(hosts)}
	s := &Server{cfg: cfg, versions: []version{{list: first}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", s.serveGet)
	mux.HandleFunc("PUT /hosts", s.servePut)
	mux.HandleFunc("POST /hosts/{id}", s.serveState)
	mux.HandleFunc("DELETE /hosts/{id}", func(_ http.ResponseWriter, r *http.Request) { s.Remove(r.PathValue("id")) })
	mux.Handle("/faults", &s.Faults)
	s.Handler = mux
	return s
}

// Set replaces the list.
func (s *Server) Set(hosts []platformapi.Host) {
	s.change(func([]platformapi.Host) []platformapi.Host { return slices.Clone(hosts) })
}

// SetState changes the state of one host.
func (s *Server) SetState(id, state string) {
	s.change(func(hosts []platformapi.Host) []platformapi.Host {
		for i := range hosts {
			if hosts[i].ID == id {
				hosts[i].State = state
			}
		}
		return hosts
	})
}

// Remove removes one host.
func (s *Server) Remove(id string) {
	s.change(func(hosts []platformapi.Host) []platformapi.Host {
		return slices.DeleteFunc(hosts, func(h platformapi.Host) bool { return h.ID == id })
	})
}

// change applies f to a copy of the newest list and stores the result as the next version.
func (s *Server) change(f func([]platformapi.Host) []platformapi.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.versions[len(s.versions)-1].list
	list := platformapi.Hosts{Version: newest.Version + 1, Hosts: f(slices.Clone(newest.Hosts))}
	s.versions = append(s.versions, version{changedAt: time.Now(), list: list})
	if n := len(s.versions) - maxVersions; n > 0 {
		s.versions = slices.Delete(s.versions, 0, n)
	}
}

// visibleList returns the newest list whose lag has passed, or the oldest stored list if frozen.
func (s *Server) visibleList(frozen bool) platformapi.Hosts {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := 0
	for !frozen && i+1 < len(s.versions) && time.Since(s.versions[i+1].changedAt) >= s.cfg.Lag {
		i++
	}
	return s.versions[i].list
}

// serveGet returns the list, or 304 if the reader sent its current ETag.
func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	f, _ := s.Faults.Get()
	if f.Outage {
		control.Unavailable(w, "host list is down")
		return
	}
	list := s.visibleList(f.Frozen)
	etag := strconv.Quote(strconv.FormatUint(list.Version, 10))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	control.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var in platformapi.Hosts
	if control.ReadJSON(w, r, &in) {
		s.Set(in.Hosts)
	}
}

func (s *Server) serveState(w http.ResponseWriter, r *http.Request) {
	var in struct {
		State string `json:"state"`
	}
	if control.ReadJSON(w, r, &in) {
		s.SetState(r.PathValue("id"), in.State)
	}
}
