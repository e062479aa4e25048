package catalog

import (
	"maps"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// RewritePeriod is how long after the return of a restored store the state known before goes before the restored copy. Until
	// then the operator and the servers write again what the copy lacks, and entries of ended servers expire.
	RewritePeriod = 5 * time.Second
	// removalMemory is how long removed servers are remembered, so that a copy from before the removal does not list them as new.
	removalMemory = time.Minute
	// maxRemovals bounds the removed servers that are remembered.
	maxRemovals = 4096
)

// restoration is the transition to a new era of the store. The zero value stands for none.
type restoration struct {
	first ident.Revision // of the first snapshot of the era; what is written after it is written in the era
	until time.Duration  // end of the transition
	// disputed holds the entries of the copy that are contradicted by what is known from an earlier era.
	disputed map[ident.BackendID]Server
}

// removal is a server whose entry is gone.
type removal struct {
	started  int64 // lifetime of the server
	revision ident.Revision
	at       time.Duration
}

// beginEra begins the transition to a new era, whose first snapshot is of a revision.
func (t *Table) beginEra(now time.Duration, first ident.Revision) {
	t.restoration = restoration{first: first, until: now + RewritePeriod}
	if t.revision != 0 { // the store has been away
		t.outage, t.hadOutage, t.outageEnd = false, true, now
	}
}

// isRestoring reports whether the transition to a new era is in progress.
func (t *Table) isRestoring(now time.Duration) bool { return now < t.restoration.until }

// endEra ends the transition to a new era: the published state holds as it is. It reports whether a transition has ended.
func (t *Table) endEra(now time.Duration) bool {
	if t.restoration.until == 0 || t.isRestoring(now) {
		return false
	}
	for _, s := range t.restoration.disputed {
		t.put(now, s)
	}
	t.restoration = restoration{}
	t.evacuations.endOlder(now, t.revision)
	return true
}

// list applies an entry of a snapshot. During the transition to a new era an entry that may be from the copy does not replace what
// is known of the server from an earlier era, unless it is a newer lifetime or a restriction.
func (t *Table) list(now time.Duration, s Server) {
	e := t.servers[s.ID]
	if e != nil && s.Lapsed && s.Revision < e.Revision {
		// The entry is missing as of the snapshot. The peer that sent it has kept a revision of an earlier era.
		t.remove(now, s.ID, t.revision, true)
		return
	}
	if e != nil && !s.Lapsed && e.Revision.Era() < s.Revision.Era() && e.hasContent(s) {
		e.lapsing, e.listed = false, s.Revision
		return
	}
	if t.isRestoring(now) && s.Revision <= t.restoration.first && t.contradicts(now, e, s) {
		if t.restoration.disputed == nil {
			t.restoration.disputed = map[ident.BackendID]Server{}
		}
		t.restoration.disputed[s.ID] = s
		return
	}
	t.put(now, s)
}

// contradicts reports whether what is known from an earlier era, e if the server is listed, is newer than an entry or forbids it.
func (t *Table) contradicts(now time.Duration, e *serverEntry, s Server) bool {
	if e == nil {
		r, removed := t.removed[s.ID]
		return removed && now-r.at < removalMemory && r.revision.Era() < s.Revision.Era() &&
			s.Started <= r.started && s.Revision.Number() <= r.revision.Number()
	}
	switch {
	case e.Revision.Era() >= s.Revision.Era() || s.Started > e.Started:
		return false
	case s.Started < e.Started:
		return true
	case e.State != s.State:
		return s.State == Ready
	}
	return s.Revision.Number() < e.Revision.Number() && s.ColdFor == 0 && !e.lapsing
}

// hasContent reports whether another entry differs at most in its revision.
func (e *serverEntry) hasContent(s Server) bool {
	s.Revision = e.Revision
	return e.Server == s
}

// rememberRemoval records that the entry of a server has been removed at a revision.
func (t *Table) rememberRemoval(now time.Duration, s Server, revision ident.Revision) {
	if len(t.removed) >= maxRemovals {
		t.forgetRemovals(now)
	}
	if len(t.removed) < maxRemovals {
		t.removed[s.ID] = removal{started: s.Started, revision: revision, at: now}
	}
}

// forgetRemovals forgets the removals that are older than any copy.
func (t *Table) forgetRemovals(now time.Duration) {
	maps.DeleteFunc(t.removed, func(_ ident.BackendID, r removal) bool { return now-r.at >= removalMemory })
}

// listings returns the entries as the store lists them, with those that are disputed, in no particular order.
func (t *Table) listings() []Server {
	out := make([]Server, 0, len(t.servers)+len(t.restoration.disputed))
	for id, e := range t.servers {
		if _, disputed := t.restoration.disputed[id]; !disputed {
			s := e.Server
			s.Revision, s.Lapsed = max(e.Revision, e.listed), e.lapsing
			out = append(out, s)
		}
	}
	for _, s := range t.restoration.disputed {
		out = append(out, s)
	}
	return out
}
