// Package coldstart decides for each backend server until when it counts as cold: it has started lately, or says so itself, and
// bears only few requests a second.
//
// Several sources may say so, and the longest time holds. Each reason keeps the revision of the published state that was known
// when it arose, which hosts compare alike: an entry of the server with a higher revision was written later, and ends the
// reason if it says that the server is warm.
//
// The Table does no I/O and reads no clock.
package coldstart

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Source says how a host knows that a server is cold.
type Source uint8

// Sources.
const (
	Entry      Source = iota // the server's entry says so
	Answer                   // the server said so with an answer
	Start                    // its lifetime is new
	Evacuation               // its availability zone was taken back
	Lapse                    // its entry had been missing
	Peer                     // another host says so
	sources
)

var sourceNames = [sources]string{"entry", "answer", "start", "evacuation", "lapse", "peer"}

// String returns the name of the source in the log.
func (s Source) String() string { return sourceNames[s] }

const (
	// forgetAfter is how long a server without an entry is remembered, so that its return is told from a first start.
	forgetAfter = 10 * time.Minute
	// maxServers bounds the servers that are tracked.
	maxServers = 4096
	// refresh is the least time by which another statement of the same source extends the state: the delays of answers
	// differ by less.
	refresh = 100 * time.Millisecond
)

// Zones knows the availability zones whose evacuation has ended.
type Zones interface {
	// TakenBack returns when the last evacuation of a zone ended. ok is false if none has, or one is in force.
	TakenBack(zone string) (at time.Duration, ok bool)
}

// Listed is the published state of the servers of a service whose cold servers are limited.
type Listed struct {
	Service *catalog.Service
	Servers iter.Seq[Server]
}

// Server is a listed server.
type Server struct {
	catalog.Server
	Lapsing bool // its entry is missing
}

// Change says that the state of a server has changed.
type Change struct {
	Server    ident.BackendID
	Started   int64 // its lifetime
	Cold      bool
	News      bool // the server has become cold or warm
	Early     bool // it is warm because its entry says so
	Source    Source
	PerSecond float64        // requests a second that the server bears
	Until     time.Duration  // when it is warm
	FirstHand time.Duration  // the same as far as it is known other than from other hosts, 0 for not at all
	AsOf      ident.Revision // revision of the published state as of which that holds
}

// Table holds the servers of a host that may be cold. It is not safe for concurrent use.
type Table struct {
	began    time.Duration
	synced   bool
	services map[string]bool // with limits for cold servers
	servers  map[ident.BackendID]*server
	changes  []Change
}

type reason struct {
	until time.Duration
	asOf  ident.Revision
}

type server struct {
	id        ident.BackendID
	listed    bool // has an entry and belongs to a service with limits
	known     bool // has had an entry
	started   int64
	revision  ident.Revision
	warm      bool // the entry says so
	oldEntry  bool // the entry may have been written long before this host learned of it, so it is no news to others
	zone      string
	zoneAt    time.Duration // end of the evacuation that counts already
	lapsed    bool          // the entry is missing
	perSecond float64
	reasons   [sources]reason
	// claimed is the lifetime of the peers' reason, which may be newer than that of the entry.
	claimed int64
	gone    time.Duration // since when there has been no entry
	told    Change        // the latest one
}

// NewTable returns the table of a host that began to run at a time.
func NewTable(began time.Duration) *Table {
	return &Table{began: began, services: map[string]bool{}, servers: map[ident.BackendID]*server{}}
}

// Sync takes over the published state, which is of a revision. It lists the services whose cold servers are limited.
func (t *Table) Sync(now time.Duration, revision ident.Revision, zones Zones, services []Listed) {
	if len(services) == 0 && len(t.services) == 0 {
		t.synced = true
		return
	}
	limited := map[string]bool{}
	present := map[ident.BackendID]bool{}
	for _, l := range services {
		limited[l.Service.Name] = true
		// Lifetimes of a service that has no limits are not known, so none of its servers is new when it gets some.
		baseline := t.synced && !t.services[l.Service.Name]
		for srv := range l.Servers {
			if s := t.server(srv.ID); s != nil {
				present[srv.ID] = true
				t.syncServer(now, s, srv, l.Service.Cold, revision, zones, baseline)
			}
		}
	}
	t.services, t.synced = limited, true
	for id, s := range t.servers {
		if present[id] {
			continue
		}
		if s.listed {
			s.listed, s.lapsed, s.gone = false, true, now
		}
		t.refresh(now, s)
	}
	t.forget(now)
}

// server returns a tracked server, or nil if there is no room for it.
func (t *Table) server(id ident.BackendID) *server {
	s := t.servers[id]
	if s == nil && len(t.servers) < maxServers {
		s = &server{id: id}
		t.servers[id] = s
	}
	return s
}

func (t *Table) syncServer(now time.Duration, s *server, srv Server, cold catalog.Cold, revision ident.Revision, zones Zones, baseline bool) {
	s.perSecond = cold.PerSecond
	isNew := !s.known || srv.Started != s.started
	returned := !isNew && !baseline && s.lapsed && !srv.Lapsing
	if isNew {
		claim := s.reasons[Peer]
		s.reasons = [sources]reason{}
		if s.claimed >= srv.Started {
			s.reasons[Peer] = claim
		}
		if now-t.began > cold.Time && !baseline {
			s.reasons[Start] = reason{now + cold.Time, srv.Revision}
		}
	}
	if returned {
		s.reasons[Lapse] = reason{now + cold.Time, srv.Revision}
	}
	if isNew || srv.Revision > s.revision {
		s.oldEntry = !t.synced
		if srv.ColdFor > 0 {
			s.reasons[Entry] = reason{now + srv.ColdFor, srv.Revision}
		}
	}
	s.known, s.listed, s.lapsed = true, true, srv.Lapsing
	s.started, s.revision, s.warm, s.zone = srv.Started, srv.Revision, srv.ColdFor == 0, srv.Zone
	if at, ok := zones.TakenBack(s.zone); ok && at > s.zoneAt {
		s.zoneAt = at
		s.reasons[Evacuation] = reason{at + cold.Time, revision}
	}
	t.refresh(now, s)
}

// Answer takes over that a server, in the given lifetime, said with an answer for how long it is still cold. The revision is the
// latest one that is known of any host.
func (t *Table) Answer(now time.Duration, id ident.BackendID, started int64, left time.Duration, revision ident.Revision) {
	s := t.servers[id]
	if s == nil || !s.listed || started != s.started || left <= 0 {
		return
	}
	t.extend(now, s, Answer, reason{now + left, revision})
}

// Hear takes over that another host knows for how long a server is still cold, as of a revision. The server may not be
// listed yet.
func (t *Table) Hear(now time.Duration, id ident.BackendID, started int64, left time.Duration, revision ident.Revision) {
	if left <= 0 || t.synced && len(t.services) == 0 {
		return
	}
	s := t.server(id)
	if s == nil || s.known && started < s.started || started < s.claimed {
		return
	}
	if !s.known {
		s.gone = now
	}
	if started > s.claimed {
		s.claimed, s.reasons[Peer] = started, reason{}
	}
	t.extend(now, s, Peer, reason{now + left, revision})
}

// extend adds a reason of a source.
func (t *Table) extend(now time.Duration, s *server, source Source, r reason) {
	old := &s.reasons[source]
	if now >= old.until {
		*old = r
	} else {
		if r.until > old.until+refresh {
			old.until = r.until
		}
		old.asOf = max(old.asOf, r.asOf)
	}
	t.refresh(now, s)
}

// refresh drops the reasons that no longer hold, and notes a change of the state.
func (t *Table) refresh(now time.Duration, s *server) {
	x := Change{Server: s.id, Started: s.started, PerSecond: s.perSecond, Source: s.told.Source}
	for source := range sources {
		r := &s.reasons[source]
		// An entry of a later era may be from the copy that the store came back from, and so be older than the reason.
		later := s.known && s.warm && s.revision > r.asOf && s.revision.Era() == r.asOf.Era() && !(source == Peer && s.claimed > s.started)
		if now >= r.until || later {
			x.Early = x.Early || now < r.until
			*r = reason{}
			continue
		}
		if r.until > x.Until {
			x.Until, x.Source = r.until, source
		}
		if source != Peer && !(source == Entry && s.oldEntry) {
			x.FirstHand = max(x.FirstHand, r.until)
			x.AsOf = max(x.AsOf, r.asOf)
		}
	}
	x.Cold = s.listed && x.Until > now
	if !x.Cold {
		x.Until, x.FirstHand, x.AsOf, x.PerSecond = 0, 0, 0, 0
	}
	x.Early = x.Early && !x.Cold
	wasCold := s.told.Cold
	if !x.Cold && !wasCold || x == s.told {
		return
	}
	s.told = x
	x.News = x.Cold != wasCold && s.listed
	t.changes = append(t.changes, x)
}

// Tick ends what is over.
func (t *Table) Tick(now time.Duration) {
	for _, s := range t.servers {
		t.refresh(now, s)
	}
	t.forget(now)
}

// forget drops servers that have had no entry for long, and claims of other hosts on servers that never got one.
func (t *Table) forget(now time.Duration) {
	maps.DeleteFunc(t.servers, func(_ ident.BackendID, s *server) bool {
		return !s.listed && (now-s.gone >= forgetAfter || !s.known && now >= s.reasons[Peer].until)
	})
}

// TakeChanges returns the changes since the last call, sorted by server.
func (t *Table) TakeChanges() []Change {
	out := t.changes
	t.changes = nil
	slices.SortStableFunc(out, func(a, b Change) int { return strings.Compare(string(a.Server), string(b.Server)) })
	return out
}

// Cold iterates over the cold servers, in any order.
func (t *Table) Cold() iter.Seq[Change] {
	return func(yield func(Change) bool) {
		for _, s := range t.servers {
			if s.told.Cold && !yield(s.told) {
				return
			}
		}
	}
}
