package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Evacuation is an evacuated availability zone: its servers take no new work. The zone need not have any servers.
type Evacuation struct {
	Zone     string
	Revision ident.Revision // revision of the store at which it was published
}

// maxEnded bounds the ended evacuations that are remembered. Those that ended first are forgotten first.
const maxEnded = 256

// evacuations holds the evacuations by zone, with those that have ended.
//
// Invariant: the revision of a zone never decreases while the zone is remembered.
type evacuations map[string]*evacuation

type evacuation struct {
	revision ident.Revision // up to which changes of the zone are known
	ended    bool
	endedAt  time.Duration
}

// begin puts an evacuation into force, unless it is older than what is known of the zone.
func (e evacuations) begin(zone string, revision ident.Revision) {
	if x := e[zone]; x != nil && revision <= x.revision {
		return
	}
	e[zone] = &evacuation{revision: revision}
}

// end records that a zone is not evacuated at a revision, unless that is older than what is known of the zone.
func (e evacuations) end(now time.Duration, zone string, revision ident.Revision) {
	x := e[zone]
	switch {
	case x == nil:
		e[zone] = &evacuation{revision: revision, ended: true, endedAt: now}
		e.forget()
	case revision < x.revision:
	case x.ended:
		x.revision = revision
	default:
		*x = evacuation{revision: revision, ended: true, endedAt: now}
		e.forget()
	}
}

// replace makes the listed evacuations the ones in force, as published at a revision. Those of earlier eras stay in force if
// keepOlder is set: the store may have come back from a copy that lacks them.
func (e evacuations) replace(now time.Duration, listed []Evacuation, revision ident.Revision, keepOlder bool) {
	zones := make(map[string]bool, len(listed))
	for _, x := range listed {
		// One of an earlier era is kept by a peer whose transition to the new era has not ended yet. The store does not list it.
		older := x.Revision.Era() < revision.Era()
		if !older || keepOlder {
			e.begin(x.Zone, x.Revision)
		}
		zones[x.Zone] = zones[x.Zone] || !older
	}
	for zone, x := range e {
		if !zones[zone] && !x.ended && !(keepOlder && x.revision.Era() < revision.Era()) {
			e.end(now, zone, revision)
		}
	}
}

// endOlder ends the evacuations of eras before that of a revision.
func (e evacuations) endOlder(now time.Duration, revision ident.Revision) {
	for zone, x := range e {
		if !x.ended && x.revision.Era() < revision.Era() {
			e.end(now, zone, revision)
		}
	}
}

// forget bounds the ended evacuations.
func (e evacuations) forget() {
	n, first := 0, ""
	for zone, x := range e {
		if !x.ended {
			continue
		}
		if n++; first == "" || x.endedAt < e[first].endedAt {
			first = zone
		}
	}
	if n > maxEnded {
		delete(e, first)
	}
}

func (e evacuations) active(zone string) bool {
	x := e[zone]
	return x != nil && !x.ended
}

// list returns the evacuations in force, sorted by zone.
func (e evacuations) list() []Evacuation {
	out := []Evacuation{}
	for zone, x := range e {
		if !x.ended {
			out = append(out, Evacuation{Zone: zone, Revision: x.revision})
		}
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}

// Evacuations returns the evacuated zones, sorted by name. It is never nil.
func (t *Table) Evacuations() []Evacuation { return t.evacuations.list() }

// TakenBack returns when the last evacuation of a zone ended, as this table learned it. ok is false if the zone is evacuated,
// or if no end of an evacuation is known.
func (t *Table) TakenBack(zone string) (at time.Duration, ok bool) {
	x := t.evacuations[zone]
	if x == nil || !x.ended {
		return 0, false
	}
	return x.endedAt, true
}
