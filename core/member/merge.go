package member

import (
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// supersedes reports whether update a replaces update b about the same process. Between incarnations the
// higher epoch wins; within one, the higher epoch and then the higher state. Leaving is merged
// separately, because it applies to an incarnation regardless of the epoch.
func supersedes(a, b Member) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch > b.Epoch
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.State > b.State
}

// mergeFrom merges an update from a member of the given availability zone, and relays it if it is the
// first one that reports the process as leaving.
func (m *Machine) mergeFrom(zone ident.Zone, r Member) {
	was := m.members[r.ID]
	known := was != nil && was.Leaving && was.Incarnation == r.Incarnation
	m.merge(r)
	if now := m.members[r.ID]; !known && now != nil && now.Leaving && now.Incarnation == r.Incarnation && now.State != Dead {
		m.relayLeaving(zone, Piggyback{Members: []Member{now.Member}})
	}
}

// merge merges an update about a process into the membership table.
func (m *Machine) merge(r Member) {
	if r.ID == m.cfg.Self {
		m.refute(r)
		return
	}
	if r.State == Suspect && r.Zone != m.cfg.Zone {
		// Suspicion is handled only within the process's own availability zone. Its refutation does not
		// change the hash that other zones compare, so it would not reach them.
		r.State = Alive
	}
	e := m.members[r.ID]
	if e == nil {
		// An unknown process that is reported dead is not added.
		if r.State != Dead && r.ID != "" && r.Zone != "" && len(m.ids) < maxMembers {
			e = m.insert(r)
			if !m.mergingRecords && r.Zone == m.cfg.Zone {
				m.updates.add(updateKey{member: r.ID})
			}
			m.emitChanged(e)
			if r.Leaving {
				m.emit(LeavingLearned{Name: string(r.ID)})
			}
		}
		return
	}
	old := e.Member
	if supersedes(r, old) {
		r.Leaving = r.Leaving || old.Leaving && r.Incarnation == old.Incarnation
		m.replace(e, r)
	} else if r.Incarnation == old.Incarnation && r.Leaving {
		e.Leaving = true
	}
	if e.Member != old {
		m.invalidateHash(old.Zone)
		m.invalidateHash(e.Zone)
		// A higher epoch alone is passed on, since other members may still suspect the process, but it
		// is not reported to the caller as a change.
		m.updates.add(updateKey{member: e.ID})
		same := e.Member
		same.Epoch = old.Epoch
		if same != old {
			m.emitChanged(e)
		}
		if e.Leaving && !(old.Leaving && old.Incarnation == e.Incarnation) {
			m.emit(LeavingLearned{Name: string(e.ID)})
		}
	}
}

// refute answers a wrong update about this process: that it is dead or suspect, or that another
// incarnation has its ID. Leaving is accepted from others, since they may learn it from the host list
// before this process does.
func (m *Machine) refute(r Member) {
	self := m.self
	wrong := r.Incarnation != self.Incarnation || r.State != Alive
	if wrong && r.Epoch >= self.Epoch {
		self.Epoch = r.Epoch
		m.assertAlive()
	}
	if r.Incarnation == self.Incarnation && r.Leaving && !self.Leaving {
		self.Leaving = true
		m.invalidateHash(self.Zone)
		m.updates.add(updateKey{member: self.ID})
		m.emit(LeavingLearned{Name: string(self.ID)})
	}
}

// assertAlive increments this process's epoch and immediately announces to its availability zone that it is
// alive.
func (m *Machine) assertAlive() {
	m.self.Epoch++
	m.updates.add(updateKey{member: m.self.ID})
	m.sendRepeatedly(Piggyback{Members: []Member{m.self.Member}}, m.zonePeers(), relayDelays)
}

// replace overwrites an entry with a newer update.
func (m *Machine) replace(e *entry, r Member) {
	if e.Zone != r.Zone {
		m.zones[e.Zone] = removeSorted(m.zones[e.Zone], e.ID)
		m.zones[r.Zone] = insertSorted(m.zones[r.Zone], e.ID)
	}
	if r.State == Suspect && (e.State != Suspect || e.Epoch != r.Epoch) {
		m.startSuspicion(e)
	}
	if r.State == Dead && e.State != Dead {
		e.deadSince = m.now
	}
	e.Member = r
}

// startSuspicion starts the suspicion timeout of a member. Only members of this availability zone are
// declared dead when it ends.
func (m *Machine) startSuspicion(e *entry) {
	e.suspectUntil = m.now + m.cfg.SuspicionTimeout
	if !slices.Contains(m.suspects, e.ID) {
		m.suspects = append(m.suspects, e.ID)
	}
}

func (m *Machine) emitChanged(e *entry) { m.emit(MemberChanged{Member: e.Member}) }

func (m *Machine) insert(r Member) *entry {
	e := &entry{Member: r}
	if r.State == Suspect {
		m.startSuspicion(e)
	}
	m.invalidateHash(r.Zone)
	m.members[r.ID] = e
	m.ids = insertSorted(m.ids, r.ID)
	m.zones[r.Zone] = insertSorted(m.zones[r.Zone], r.ID)
	return e
}

func (m *Machine) remove(e *entry) {
	m.invalidateHash(e.Zone)
	delete(m.members, e.ID)
	m.ids = removeSorted(m.ids, e.ID)
	m.zones[e.Zone] = removeSorted(m.zones[e.Zone], e.ID)
	if len(m.zones[e.Zone]) == 0 {
		delete(m.zones, e.Zone)
	}
}
