package admin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

// maxPatchBody bounds the body of POST /v1/config/check; the platform publishes values of up to 1 MB.
const maxPatchBody = 1<<20 + 4<<10

// Health is the response to GET /healthz.
type Health struct {
	Status string `json:"status"`
}

// Failure is the body of an error response.
type Failure struct {
	Error string `json:"error"`
}

// Ready is the response to GET /readyz. The status is 503 while the process is not ready.
type Ready struct {
	Ready   bool   `json:"ready"`
	Reason  string `json:"reason,omitempty"`
	Leaving bool   `json:"leaving"`
}

// ActiveConfig is the response to GET /v1/config. Body is included only with ?body=true.
type ActiveConfig struct {
	Version ident.Version   `json:"version"`
	Digest  string          `json:"digest"`
	Hosts   uint64          `json:"hosts_version"`
	Body    json.RawMessage `json:"body,omitempty"`
}

// CheckRequest is the body of POST /v1/config/check.
type CheckRequest struct {
	Base  uint64          `json:"base"` // configuration version that the patch applies to
	Patch json.RawMessage `json:"patch"`
}

// CheckResult is the response to POST /v1/config/check.
type CheckResult struct {
	Accepted bool             `json:"accepted"`
	Version  ident.Version    `json:"version"` // of the active configuration
	Reason   string           `json:"reason,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// Team is one element of the response to GET /v1/teams.
type Team struct {
	Name ident.Team `json:"name"`
	config.Team
	KeySHA256 string `json:"key_sha256,omitempty"` // always empty; shadows config.Team.KeySHA256, so that the digest of the key is not shown
	HasKey    bool   `json:"has_key"`
}

// Model is one element of the response to GET /v1/models.
type Model struct {
	Name ident.Model `json:"name"`
	config.Model
	Engines int `json:"engines"`
	Leaving int `json:"engines_leaving"`
}

// BackendServer is one element of the response to GET /v1/backend-servers. Report is included only by the
// dispatcher that reads the reports of the engine.
type BackendServer struct {
	ID ident.BackendID `json:"id"`
	config.BackendServer
	Region  string             `json:"region"`
	Leaving bool               `json:"leaving"`
	Owned   bool               `json:"owned"`
	Report  *backendapi.Report `json:"report,omitempty"`
}

// Process is one element of the response to GET /v1/processes.
type Process struct {
	Host        ident.HostID `json:"host"`
	Role        string       `json:"role"`
	Zone        ident.Zone   `json:"availability_zone"`
	Region      string       `json:"region"`
	Incarnation string       `json:"incarnation"`
	State       string       `json:"state"`
	Leaving     bool         `json:"leaving"`
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.cfg.View.Ready()
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, Ready{Ready: ok, Reason: reason, Leaving: s.cfg.View.SelfLeaving()})
}

func (s *Server) serveConfig(w http.ResponseWriter, r *http.Request) {
	snap := s.cfg.View.Config()
	if snap == nil {
		writeJSON(w, http.StatusServiceUnavailable, Failure{Error: "no configuration yet"})
		return
	}
	c := ActiveConfig{Version: snap.Version, Digest: snap.Digest.String()}
	if hosts := s.cfg.View.Hosts(); hosts != nil {
		c.Hosts = hosts.Version
	}
	if r.URL.Query().Get("body") == "true" {
		c.Body = s.cfg.View.ConfigBody()
	}
	writeJSON(w, http.StatusOK, c)
}

func (s *Server) serveCheck(w http.ResponseWriter, r *http.Request) {
	var req CheckRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPatchBody)).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, Failure{Error: `the body must be {"base":<version>,"patch":<JSON merge patch>}: ` + err.Error()})
		return
	}
	v := s.cfg.View.CheckPatch(req.Base, req.Patch)
	result := CheckResult{Accepted: v.Result == config.Accepted, Reason: v.Reason, Problems: v.Problems}
	if snap := s.cfg.View.Config(); snap != nil {
		result.Version = snap.Version
	}
	status := http.StatusOK
	if !result.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, result)
}

func (s *Server) serveTeams(w http.ResponseWriter, _ *http.Request) {
	out := []Team{}
	if snap := s.cfg.View.Config(); snap != nil {
		for _, name := range slices.Sorted(maps.Keys(snap.Teams)) {
			t := snap.Teams[name]
			out = append(out, Team{Name: name, Team: t, HasKey: t.KeySHA256 != ""})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) serveModels(w http.ResponseWriter, _ *http.Request) {
	out := []Model{}
	if snap := s.cfg.View.Config(); snap != nil {
		for _, name := range slices.Sorted(maps.Keys(snap.Models)) {
			m := Model{Name: name, Model: snap.Models[name]}
			for _, e := range snap.Engines {
				if e.Model != name {
					continue
				}
				m.Engines++
				if s.cfg.View.BackendLeaving(string(e.ID)) {
					m.Leaving++
				}
			}
			out = append(out, m)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) serveBackends(w http.ResponseWriter, _ *http.Request) {
	out := []BackendServer{}
	snap := s.cfg.View.Config()
	if snap == nil {
		writeJSON(w, http.StatusOK, out)
		return
	}
	var owned []string
	var reports map[ident.BackendID]backendapi.Report
	if s.cfg.Dispatcher != nil {
		owned, reports = s.cfg.Dispatcher.OwnedGroups(), s.cfg.Dispatcher.Reports()
	}
	all := slices.Clone(snap.Engines)
	for _, name := range slices.Sorted(maps.Keys(snap.Services)) {
		all = append(all, snap.Services[name]...)
	}
	for _, b := range all {
		line := BackendServer{
			ID: b.ID, BackendServer: b.BackendServer, Region: b.Region, Leaving: s.cfg.View.BackendLeaving(string(b.ID)),
			Owned: b.Kind == config.KindEngine && slices.Contains(owned, b.Group),
		}
		if r, ok := reports[b.ID]; ok {
			line.Report = &r
		}
		out = append(out, line)
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) serveTickets(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Gateway == nil {
		writeJSON(w, http.StatusNotFound, Failure{Error: "a dispatcher issues no tickets; ask a gateway"})
		return
	}
	writeJSON(w, http.StatusOK, s.cfg.Gateway.Tickets())
}

func (s *Server) serveProcesses(w http.ResponseWriter, _ *http.Request) {
	out := []Process{}
	for _, p := range s.cfg.View.Processes() {
		out = append(out, Process{
			Host: p.Host, Role: string(p.Role), Zone: p.Zone, Region: p.Region, Incarnation: p.Incarnation.String(),
			State: stateName(p.State), Leaving: p.Leaving,
		})
	}
	writeJSON(w, http.StatusOK, out)
}

func stateName(s member.State) string {
	switch s {
	case member.Alive:
		return "alive"
	case member.Suspect:
		return "suspect"
	default:
		return "dead"
	}
}

func (s *Server) serveScheduler(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Dispatcher == nil {
		writeJSON(w, http.StatusNotFound, Failure{Error: "a gateway schedules nothing; ask a dispatcher"})
		return
	}
	writeJSON(w, http.StatusOK, s.cfg.Dispatcher.Status())
}
