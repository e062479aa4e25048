package catalog

import (
	"iter"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// LapseGracePeriod is how long a ready server stays usable after its entry went missing during or right after an
// outage of the source. The entries of running servers return about 2 s after the end of an outage, and a
// server that is in fact leaving still serves requests for at least that long.
const LapseGracePeriod = 1900 * time.Millisecond

// postOutageWindow is the time after an outage during which a removal is still attributed to it.
const postOutageWindow = 500 * time.Millisecond

// Table is the catalog of one process. It is not safe for concurrent use.
//
// Invariants: the configuration version and the revision never decrease; a draining server never becomes ready
// again under the same entry unless the store publishes it as ready with a higher revision; an evacuation begins or ends
// only by a higher revision than that of the last change of its zone, or at the end of a transition to a new era.
type Table struct {
	config *Config
	// unreadable says why the configuration that was published last is not in force, see Change.
	unreadable string
	routes     routeIndex
	keys       map[string]*Team
	services   map[string]*Service
	servers    map[ident.BackendID]*serverEntry
	usable     map[string][]Server       // servers that take new work, by service and sorted by id
	leaving    map[ident.BackendID]int64 // start of the lifetime in which a server has said that it leaves
	removed    map[ident.BackendID]removal
	// evacuations are not leases: an outage of the store never ends one.
	evacuations evacuations
	revision    ident.Revision
	journal     journal
	restoration restoration

	outage    bool
	outageEnd time.Duration // end of the last outage
	hadOutage bool
}

type serverEntry struct {
	Server
	listed  ident.Revision // of the same entry in a later era, in which it may not have been written; zero if there is none
	lapsing bool           // the entry is missing, but the server stays usable until the grace period ends
	until   time.Duration  // when a lapsing entry is dropped
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		servers: map[ident.BackendID]*serverEntry{}, usable: map[string][]Server{}, leaving: map[ident.BackendID]int64{},
		removed: map[ident.BackendID]removal{}, evacuations: evacuations{},
	}
}

// Revision returns the highest revision that was applied.
func (t *Table) Revision() ident.Revision { return t.revision }

// Config returns the current configuration, nil before the first one. It must not be changed.
func (t *Table) Config() *Config { return t.config }

// Unreadable says why the configuration that was published last can't be read, so that an older one is in force. It is empty if
// there is no such one.
func (t *Table) Unreadable() string { return t.unreadable }

// Apply applies changes in the order of their revisions and skips those that it has already applied, and those of a later era,
// which begins with a snapshot. It reports whether it refused an older configuration.
func (t *Table) Apply(now time.Duration, changes []Change) (refused bool) {
	seen := t.revision
	for _, c := range changes {
		if c.Revision <= seen || c.Revision.Era() != seen.Era() {
			continue
		}
		t.revision = max(t.revision, c.Revision)
		switch {
		case c.Config != nil:
			if !t.setConfig(c.Config) {
				refused = true
				continue
			}
			t.unreadable = ""
		case c.Unreadable != "":
			t.unreadable = c.Unreadable
		case c.Server != nil:
			delete(t.restoration.disputed, c.Server.ID)
			t.put(now, *c.Server)
		case c.Removed != "":
			delete(t.restoration.disputed, c.Removed)
			c.Lapsed = c.Lapsed || t.isOutage(now)
			t.remove(now, c.Removed, c.Revision, c.Lapsed)
		case c.Evacuated != "":
			t.evacuations.begin(c.Evacuated, c.Revision)
		case c.TakenBack != "":
			t.evacuations.end(now, c.TakenBack, c.Revision)
		}
		t.journal.add(c)
	}
	t.index()
	return refused
}

// Advance records that there are no other changes up to a revision. It ignores one of a later era, which begins with a snapshot.
func (t *Table) Advance(revision ident.Revision) {
	if revision.Era() == t.revision.Era() {
		t.revision = max(t.revision, revision)
	}
}

// Replace applies a whole snapshot. Servers that are not in it are removed, and evacuations that are not in it end, unless
// it is older than the table. A snapshot of a later era is from a store that came back from a copy, see restoration.
func (t *Table) Replace(now time.Duration, s Snapshot) (refused bool) {
	if s.Config != nil {
		refused = !t.setConfig(s.Config)
	}
	if s.Revision < t.revision {
		return refused
	}
	if s.Revision.Era() > t.revision.Era() {
		t.beginEra(now, s.Revision)
	}
	t.restoration.disputed = nil
	t.revision, t.unreadable = s.Revision, s.Unreadable
	t.journal.restart(max(s.Revision, s.ReadUntil))
	listed := make(map[ident.BackendID]bool, len(s.Servers))
	for _, srv := range s.Servers {
		listed[srv.ID] = true
		t.list(now, srv)
	}
	for id := range t.servers {
		if !listed[id] {
			t.remove(now, id, s.Revision, t.isOutage(now))
		}
	}
	t.evacuations.replace(now, s.Evacuations, s.Revision, t.isRestoring(now))
	t.index()
	return refused
}

// Snapshot returns the whole state, for a peer that starts or has lost its connection.
func (t *Table) Snapshot() Snapshot {
	s := Snapshot{
		Revision: t.revision, Config: t.config, Unreadable: t.unreadable, Servers: t.listings(), Evacuations: t.Evacuations(),
	}
	if t.journal.start > t.revision {
		s.ReadUntil = t.journal.start
	}
	slices.SortFunc(s.Servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return s
}

// SourceLost records that the source of changes does not answer.
func (t *Table) SourceLost() { t.outage = true }

// SourceRestored records that the source answers again.
func (t *Table) SourceRestored(now time.Duration) {
	if t.outage {
		t.outage = false
		t.hadOutage = true
		t.outageEnd = now
	}
}

// Tick drops lapsed servers whose grace period has ended, and ends a transition to a new era. It reports whether there is a change.
func (t *Table) Tick(now time.Duration) (changed bool) {
	for _, e := range t.servers {
		if e.lapsing && now >= e.until {
			t.drop(now, e, t.revision)
			changed = true
		}
	}
	changed = t.endEra(now) || changed
	t.forgetRemovals(now)
	if changed {
		t.index()
	}
	return changed
}

// NextExpiry returns when Tick has something to end next, the highest time if there is nothing.
func (t *Table) NextExpiry() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, e := range t.servers {
		if e.lapsing {
			next = min(next, e.until)
		}
	}
	if t.restoration.until != 0 {
		next = min(next, t.restoration.until)
	}
	return next
}

// setConfig reports whether the configuration is the given one now.
func (t *Table) setConfig(c *Config) bool {
	if t.config != nil && c.Version <= t.config.Version {
		return c.Version == t.config.Version
	}
	t.config = c
	t.routes = newRouteIndex(c.Routes)
	t.keys = make(map[string]*Team)
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.keys[key] = &c.Teams[i]
		}
	}
	t.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return true
}

// put stores an entry, unless its revision is lower than that of the stored one.
func (t *Table) put(now time.Duration, s Server) {
	e := t.servers[s.ID]
	if e != nil && (s.Revision < e.Revision || (s.Revision == e.Revision && e.lapsing == s.Lapsed)) {
		return
	}
	delete(t.removed, s.ID)
	lapsed := s.Lapsed
	s.Lapsed = false
	t.servers[s.ID] = &serverEntry{Server: s, lapsing: lapsed, until: now + LapseGracePeriod}
}

// isOutage reports whether an outage may be the cause of a removal.
func (t *Table) isOutage(now time.Duration) bool {
	return t.outage || (t.hadOutage && now-t.outageEnd < postOutageWindow)
}

// remove drops an entry that has been removed at a revision, at once, or after LapseGracePeriod if it has lapsed.
func (t *Table) remove(now time.Duration, id ident.BackendID, revision ident.Revision, lapsed bool) {
	e := t.servers[id]
	if e == nil || e.lapsing || e.Revision > revision {
		return
	}
	if e.State == Ready && lapsed {
		e.lapsing = true
		e.until = now + LapseGracePeriod
		return
	}
	t.drop(now, e, revision)
}

// drop forgets an entry that is gone as of a revision.
func (t *Table) drop(now time.Duration, e *serverEntry, revision ident.Revision) {
	delete(t.servers, e.ID)
	t.forgetLifetime(e.Server)
	t.rememberRemoval(now, e.Server, revision)
}

// maxLeaving bounds the servers that are known to leave. Those without an entry are forgotten first.
const maxLeaving = 4096

// MarkLeaving records that a server, in the lifetime that began at the given start, has said itself that it takes no new
// work. That holds whatever its entry says, until the entry shows another lifetime. It reports whether this is news.
func (t *Table) MarkLeaving(id ident.BackendID, started int64) (news bool) {
	e := t.servers[id]
	if e == nil || e.Started != started || t.isLeaving(e.Server) {
		return false
	}
	if len(t.leaving) >= maxLeaving {
		maps.DeleteFunc(t.leaving, func(id ident.BackendID, _ int64) bool { return t.servers[id] == nil })
	}
	t.leaving[id] = started
	t.index()
	return true
}

func (t *Table) isLeaving(s Server) bool {
	started, said := t.leaving[s.ID]
	return said && started == s.Started
}

// forgetLifetime forgets that a server leaves whose entry is gone, if another lifetime could not be told from this one.
func (t *Table) forgetLifetime(s Server) {
	if s.Started == 0 {
		delete(t.leaving, s.ID)
	}
}

// Status returns a server, and why it takes no new work if it does not.
func (t *Table) Status(id ident.BackendID) (Server, eligibility.Reason) {
	e := t.servers[id]
	if e == nil {
		return Server{}, eligibility.Unlisted
	}
	return e.Server, t.status(e)
}

// Lapsing reports whether the entry of a listed server is missing.
func (t *Table) Lapsing(id ident.BackendID) bool {
	e := t.servers[id]
	return e != nil && e.lapsing
}

func (t *Table) status(e *serverEntry) eligibility.Reason {
	switch {
	case e.State != Ready:
		return eligibility.Draining
	case t.isLeaving(e.Server):
		return eligibility.Leaving
	case t.evacuations.active(e.Zone):
		return eligibility.Evacuated
	}
	return eligibility.Eligible
}

// Listed iterates over the listed servers of a service, in any order, with their Status.
func (t *Table) Listed(service string) iter.Seq2[Server, eligibility.Reason] {
	return func(yield func(Server, eligibility.Reason) bool) {
		for _, e := range t.servers {
			if e.Service == service && !yield(e.Server, t.status(e)) {
				return
			}
		}
	}
}

// index rebuilds the lists of usable servers.
func (t *Table) index() {
	byService := make(map[string][]Server, len(t.usable))
	for _, e := range t.servers {
		if t.status(e) == eligibility.Eligible {
			byService[e.Service] = append(byService[e.Service], e.Server)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	t.usable = byService
}

// Usable returns the servers of a service that take new work, sorted by id. The slice must not be changed.
func (t *Table) Usable(service string) []Server { return t.usable[service] }

// Service returns a service of the configuration, nil when there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// TeamOf returns the team that holds an API key, nil when there is none.
func (t *Table) TeamOf(key string) *Team { return t.keys[key] }

// HasTeams reports whether the configuration names teams, so that routes need a key unless they are public.
func (t *Table) HasTeams() bool { return t.config != nil && len(t.config.Teams) > 0 }

// Route returns the route with the longest prefix that begins the path, nil when there is none. The path is compared as it is sent:
// an encoded slash ends no segment. The route is a copy, since a request may outlast its configuration and must not keep all
// routes of it in memory.
func (t *Table) Route(host, path string) *Route {
	found := t.routes.find(host, path)
	if found == nil {
		return nil
	}
	route := *found
	return &route
}
