// Package drain decides which backend servers take new work, and controls the graceful shutdown of its own
// process.
package drain

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// ListLag is the upper bound on the delay of the host list. A list that arrives more than ListLag after the last
// observation of leaving was created after the server started to leave.
const ListLag = 60 * time.Second

// Source is the origin of an observation.
type Source uint8

// Sources of observations.
const (
	HostList Source = iota // the platform's list, lagging
	Report                 // the server's own load report
	Refusal                // the server refused a call because it is leaving
	Gossip                 // another process observed one of the above
)

// Stamp orders the observations of a server: by incarnation, then by host list version.
type Stamp struct {
	Incarnation uint64 // increases with each start of the server; zero when unknown
	ListVersion uint64 // newest host list that the observer held
}

// Newer reports whether s is newer than o.
func (s Stamp) Newer(o Stamp) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.ListVersion > o.ListVersion
}

// Observation is one observation of a server's state.
type Observation struct {
	Server  ident.BackendID
	Source  Source
	Leaving bool
	Stamp   Stamp
}

// Config configures Backends. Zero fields take the package's defaults.
type Config struct {
	// ListLag is the time after the last observation of leaving from which a newer host list overrides reports,
	// refusals and gossip. A shorter time sends work to a leaving server when the list lags more; a longer one
	// keeps a returned server idle.
	ListLag time.Duration
}

type server struct {
	leaving     bool
	listed      bool  // the host list has marked the server as leaving since the first observation of leaving
	known       Stamp // highest incarnation and list version observed
	lastLeaving time.Duration
	returned    bool  // has left and returned
	returnStamp Stamp // older observations precede the last return
}

// Backends holds the state of all backend servers. Observations of leaving take precedence: a server that is leaving
// returns only with a newer incarnation or a newer host list version.
type Backends struct {
	cfg     Config
	servers map[ident.BackendID]*server
}

// NewBackends returns a table in which every server is live.
func NewBackends(cfg Config) *Backends {
	if cfg.ListLag == 0 {
		cfg.ListLag = ListLag
	}
	return &Backends{cfg: cfg, servers: make(map[ident.BackendID]*server)}
}

// Observe applies an observation. It reports whether the server's state changed; a change to leaving must be
// sent to the members at once.
func (b *Backends) Observe(now time.Duration, m Observation) (changed bool) {
	s := b.servers[m.Server]
	if s == nil {
		s = &server{}
		b.servers[m.Server] = s
	}
	if m.Leaving {
		return s.observeLeaving(now, m)
	}
	return s.observeLive(now, m, b.cfg.ListLag)
}

func (s *server) observeLeaving(now time.Duration, m Observation) bool {
	if m.Stamp.Incarnation != 0 && m.Stamp.Incarnation < s.known.Incarnation {
		return false
	}
	secondHand := m.Source == Gossip || m.Source == HostList
	if secondHand && s.returned && s.returnStamp.Newer(m.Stamp) {
		return false
	}
	changed := !s.leaving
	if changed {
		s.listed = false
	}
	s.leaving = true
	s.listed = s.listed || m.Source == HostList
	s.lastLeaving = now
	s.advanceKnown(m.Stamp)
	return changed
}

func (s *server) observeLive(now time.Duration, m Observation, lag time.Duration) bool {
	if !s.leaving {
		s.advanceKnown(m.Stamp)
		return false
	}
	restarted := m.Stamp.Incarnation > s.known.Incarnation && s.known.Incarnation != 0
	relisted := m.Source == HostList && m.Stamp.ListVersion > s.known.ListVersion &&
		(s.listed || now-s.lastLeaving >= lag)
	if !restarted && !relisted {
		return false
	}
	s.leaving = false
	s.advanceKnown(m.Stamp)
	s.returned = true
	s.returnStamp = s.known
	return true
}

func (s *server) advanceKnown(to Stamp) {
	s.known.Incarnation = max(s.known.Incarnation, to.Incarnation)
	s.known.ListVersion = max(s.known.ListVersion, to.ListVersion)
}

// Leaving reports whether the server takes no new work.
func (b *Backends) Leaving(id ident.BackendID) bool {
	s := b.servers[id]
	return s != nil && s.leaving
}

// Observation returns the observation to gossip about a server; ok is false when nothing is known about it.
func (b *Backends) Observation(id ident.BackendID) (m Observation, ok bool) {
	s := b.servers[id]
	if s == nil {
		return Observation{}, false
	}
	return Observation{Server: id, Source: Gossip, Leaving: s.leaving, Stamp: s.known}, true
}

// Forget drops a server that neither the configuration nor the host list names any more.
func (b *Backends) Forget(id ident.BackendID) { delete(b.servers, id) }
