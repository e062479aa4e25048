package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Owner identifies the host that a load belongs to.
type Owner string

// self owns the requests of this host.
const self Owner = ""

// Table holds the engines of all services and their load. It is not safe for concurrent use.
type Table struct {
	engines  map[ident.BackendID]*engine
	byKey    map[Key]*engine
	groups   map[string]*group
	dirty    map[Key]*engine // engines whose own load changed since the last update
	prefills []PrefillChange // changes of own prefill since the last update
}

// group is the engines of one service.
type group struct {
	runtime *catalog.Runtime
	engines []*engine // sorted by id, so that all hosts give them the same roles
}

type engine struct {
	id        ident.BackendID
	key       Key
	address   string
	runtime   *catalog.Runtime
	slots     int
	role      role
	busyUntil time.Duration // predicted end of the known prefill
	loads     map[Owner]*Load
	total     Load
	slowness  float64 // smoothed ratio of observed to predicted pass times
	// emptyReports is the number of whole reports since the own load became empty.
	emptyReports int
}

// maxEmptyReports is the number of whole reports that repeat an empty load, in case the first was lost.
const maxEmptyReports = 2

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		engines: map[ident.BackendID]*engine{},
		byKey:   map[Key]*engine{},
		groups:  map[string]*group{},
		dirty:   map[Key]*engine{},
	}
}

// SetEngines replaces the engines of a service that take new work. Engines that stay keep their loads.
func (t *Table) SetEngines(service string, r *catalog.Runtime, servers []catalog.Server) {
	g := &group{runtime: r}
	for _, s := range servers {
		e := t.engines[s.ID]
		if e == nil {
			e = &engine{id: s.ID, key: KeyOf(s.ID), loads: map[Owner]*Load{}, slowness: 1}
			t.engines[s.ID] = e
			t.byKey[e.key] = e
		}
		e.address = s.Address
		e.runtime = r
		e.slots = max(1, min(s.Slots, r.Slots))
		g.engines = append(g.engines, e)
	}
	slices.SortFunc(g.engines, func(a, b *engine) int { return strings.Compare(string(a.id), string(b.id)) })
	t.groups[service] = g
	t.removeIdle()
}

// removeIdle removes engines that no group lists and that carry no load.
func (t *Table) removeIdle() {
	listed := map[*engine]bool{}
	for _, g := range t.groups {
		for _, e := range g.engines {
			listed[e] = true
		}
	}
	for id, e := range t.engines {
		if !listed[e] && e.total.streams() == 0 && e.total.Tokens == 0 {
			delete(t.engines, id)
			delete(t.byKey, e.key)
		}
	}
}

// backlogMS returns the ms of prefill that are still to be done.
func (e *engine) backlogMS(now time.Duration) float64 { return max(0, ms(e.busyUntil-now)) }

// addPrefill adds prefill time to the backlog; a negative number removes it.
func (e *engine) addPrefill(now time.Duration, prefillMS float64) {
	e.busyUntil = max(now, max(e.busyUntil, now)+fromMS(prefillMS*e.slowness))
}

// loadOf returns the load of an owner, for modification, and creates it if necessary.
func (e *engine) loadOf(o Owner) *Load {
	if o == self {
		e.emptyReports = 0
	}
	l := e.loads[o]
	if l == nil {
		l = &Load{}
		e.loads[o] = l
	}
	return l
}

// addStream adds a stream to an owner's load, or removes one; sign is 1 or -1.
func (e *engine) addStream(o Owner, maxPause time.Duration, worth float64, sign int) {
	e.loadOf(o).add(maxPause, worth, sign)
	e.total.add(maxPause, worth, sign)
}

// addMemory adds memory to an owner's load; a negative number releases it.
func (e *engine) addMemory(o Owner, tokens int) {
	e.loadOf(o).Tokens += tokens
	e.total.Tokens += tokens
}

// free returns the number of tokens of memory that a new request may take.
func (e *engine) free() int {
	return int(usableMemoryShare*float64(e.runtime.MemoryTokens)) - e.total.Tokens
}

// setPeerLoad replaces the load of a peer.
func (e *engine) setPeerLoad(o Owner, l Load) {
	if len(l.Classes) == 0 && l.Tokens == 0 {
		delete(e.loads, o)
	} else {
		c := l.clone()
		e.loads[o] = &c
	}
	e.recomputeTotal()
}

func (e *engine) recomputeTotal() {
	e.total = Load{}
	for _, l := range e.loads {
		e.total.Tokens += l.Tokens
		for _, c := range l.Classes {
			e.total.merge(c)
		}
	}
}

func (l *Load) merge(c Class) {
	for i := range l.Classes {
		if l.Classes[i].MaxPause == c.MaxPause {
			l.Classes[i].Streams += c.Streams
			l.Classes[i].Worth += c.Worth
			return
		}
	}
	l.Classes = append(l.Classes, c)
	slices.SortFunc(l.Classes, func(a, b Class) int { return int(a.MaxPause - b.MaxPause) })
}

// ApplyPeerUpdate applies the update of a peer.
func (t *Table) ApplyPeerUpdate(now time.Duration, from Owner, u Update) {
	for _, r := range u.Prefills {
		if e := t.byKey[r.Engine]; e != nil {
			e.addPrefill(now, r.MS)
		}
	}
	for _, l := range u.Loads {
		if e := t.byKey[l.Engine]; e != nil {
			e.setPeerLoad(from, l.Load)
		}
	}
}

// RemovePeer removes the load of a peer that has left or no longer reports.
func (t *Table) RemovePeer(o Owner) {
	for _, e := range t.engines {
		if e.loads[o] != nil {
			delete(e.loads, o)
			e.recomputeTotal()
		}
	}
}

// TakeUpdate returns the changes of the own load since the last call. With all set it returns the whole own load,
// which corrects errors from lost messages.
func (t *Table) TakeUpdate(all bool) Update {
	u := Update{Prefills: t.prefills}
	t.prefills = nil
	if all {
		u.Loads = t.OwnLoads()
		t.dropEmptyLoads()
	} else {
		for key, e := range t.dirty {
			var l Load
			if own := e.loads[self]; own != nil {
				l = own.clone()
			}
			u.Loads = append(u.Loads, EngineLoad{Engine: key, Load: l})
		}
	}
	clear(t.dirty)
	return u
}

// OwnLoads returns the load of this host on each engine.
func (t *Table) OwnLoads() []EngineLoad {
	var out []EngineLoad
	for _, e := range t.engines {
		if l := e.loads[self]; l != nil {
			out = append(out, EngineLoad{Engine: e.key, Load: l.clone()})
		}
	}
	return out
}

// dropEmptyLoads removes own loads that have been reported as empty often enough.
func (t *Table) dropEmptyLoads() {
	for _, e := range t.engines {
		l := e.loads[self]
		switch {
		case l == nil:
		case len(l.Classes) > 0 || l.Tokens != 0:
		case e.emptyReports >= maxEmptyReports:
			delete(e.loads, self)
		default:
			e.emptyReports++
		}
	}
}

// EngineID returns the id of the engine that a key stands for, empty if it is not known.
func (t *Table) EngineID(k Key) ident.BackendID {
	if e := t.byKey[k]; e != nil {
		return e.id
	}
	return ""
}

// slownessWeight is the weight of one observation; about ten events are enough to detect a slow engine.
const slownessWeight = 0.15

// Bounds of the slowness. The upper bound limits the effect of a single long pause, which would otherwise divert all
// work from an engine. The lower bound is close to 1 because preferring a fast engine gains little.
const (
	minSlowness = 0.9
	maxSlowness = 12
)

// Observe adjusts the slowness of an engine by the observed pause between two events and the pass time that was
// predicted for it.
func (t *Table) Observe(id ident.BackendID, predicted, observed time.Duration) {
	e := t.engines[id]
	if e == nil || predicted <= 0 {
		return
	}
	ratio := min(maxSlowness, max(minSlowness, float64(observed)/float64(predicted)))
	e.slowness += slownessWeight * (ratio - e.slowness)
}

// PassTime predicts the next pass of an engine at normal speed, without its observed slowness.
func (t *Table) PassTime(now time.Duration, id ident.BackendID) time.Duration {
	e := t.engines[id]
	if e == nil {
		return 0
	}
	return fromMS(e.passMS(now, 0, 0, 0) / e.slowness)
}
