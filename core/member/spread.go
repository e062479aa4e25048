package member

import (
	"math/bits"
	"slices"
	"sort"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

type zoneName = ident.Zone

const (
	// updateBytes bounds the piggybacked updates in one Ping, Ack or PingReq. A member sends about two of these
	// messages a second, so 200 more bytes would cost 400 bytes/s of the bandwidth budget.
	updateBytes = 400
	// computedValueBytes bounds a computed value, whose size depends on the names in it: loadBytes plus
	// the other fields. With the limit updateBytes, values with long names would never be sent.
	computedValueBytes = loadBytes + 120
	// smallZone is the number of members up to which Pings carry load and teams in addition to Acks. In
	// larger availability zones, sending them in both would exceed the bandwidth budget of a host.
	smallZone = 6
	// extraTransmits plus log2(members) is the number of times that one member sends one update. Each
	// receiver forwards it as often, and Syncs repair the remaining losses. With 3 × log2(members) instead,
	// 42 members still sent the updates of a start after more than a minute.
	extraTransmits = 2
)

// Delays after which an urgent update is sent; the repetitions make up for lost datagrams. zoneDelays are for
// the member that learns first that a process is leaving: only this member sends the update to its own availability
// zone. relayDelays end earlier, because two delegates relay each update.
var (
	zoneDelays  = []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond}
	relayDelays = []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond}
)

// updateKey identifies an update by its subject: a member or a leaving mark.
type updateKey struct {
	member ID
	mark   string
}

// updateQueue holds updates with the number of times that each was sent.
type updateQueue struct{ items []queuedUpdate }

type queuedUpdate struct {
	key       updateKey
	transmits int
}

func (q *updateQueue) add(k updateKey) {
	for i := range q.items {
		if q.items[i].key == k {
			q.items = append(q.items[:i], q.items[i+1:]...)
			break
		}
	}
	q.items = append(q.items, queuedUpdate{key: k})
}

// pickPiggyback selects the updates for a message to a member: first a suspicion or death of the member
// itself, so that it can refute, then a computed value if requested, then the least sent updates.
func (m *Machine) pickPiggyback(to ID, limit int, computed bool) Piggyback {
	var p Piggyback
	limit -= p.size()
	if e := m.members[to]; e != nil && e.State != Alive {
		p.Members = append(p.Members, e.Member)
		limit -= e.Member.size()
	}
	// Computed values precede the updates, because a long queue of updates would leave no room for them.
	if computed {
		before := p.size()
		m.pickComputed(&p, computedValueBytes)
		limit -= p.size() - before
	}
	m.pickUpdates(&p, to, limit)
	return p
}

func (m *Machine) pickUpdates(p *Piggyback, to ID, limit int) {
	maxTransmits := bits.Len(uint(len(m.zones[m.cfg.Zone]))) + extraTransmits
	q := &m.updates
	sort.SliceStable(q.items, func(i, j int) bool { return q.items[i].transmits < q.items[j].transmits })
	kept := q.items[:0]
	for _, it := range q.items {
		size := 0
		if e := m.members[it.key.member]; e != nil {
			// A suspicion or death of the receiver is already in the message.
			if size = e.Member.size(); size <= limit && (it.key.member != to || e.State == Alive) {
				p.Members = append(p.Members, e.Member)
				limit -= size
				it.transmits++
			}
		} else if until, ok := m.marks[it.key.mark]; ok && until > m.now {
			k := LeavingMark{Name: it.key.mark, TTL: until - m.now}
			if size = k.size(); size <= limit {
				p.Marks = append(p.Marks, k)
				limit -= size
				it.transmits++
			}
		}
		if size > 0 && it.transmits < maxTransmits {
			kept = append(kept, it)
		}
	}
	q.items = kept
}

// urgentBroadcast holds urgent updates, their receivers and the times of the remaining transmissions.
type urgentBroadcast struct {
	updates Piggyback
	to      []ID
	at      []time.Duration
}

// markLeaving handles a MarkLeaving event: this process itself learned that a backend server or process
// is leaving.
func (m *Machine) markLeaving(name string) {
	if name == string(m.cfg.Self) {
		if !m.self.Leaving {
			m.self.Leaving = true
			m.invalidateHash(m.cfg.Zone)
			m.updates.add(updateKey{member: m.cfg.Self})
			m.emit(LeavingLearned{Name: name})
			m.broadcastLeaving(Piggyback{Members: []Member{m.self.Member}})
		}
		return
	}
	if e := m.members[ID(name)]; e != nil {
		if !e.Leaving {
			r := e.Member
			r.Leaving = true
			m.merge(r)
			m.broadcastLeaving(Piggyback{Members: []Member{e.Member}})
		}
		return
	}
	if m.addMark(name, LeavingMarkTTL) {
		m.broadcastLeaving(Piggyback{Marks: []LeavingMark{{Name: name, TTL: LeavingMarkTTL}}})
	}
}

// broadcastLeaving sends leaving updates to the availability zone of this process and, if it is a
// delegate, to the other availability zones.
func (m *Machine) broadcastLeaving(p Piggyback) {
	m.sendRepeatedly(p, m.zonePeers(), zoneDelays)
	if m.isDelegate() {
		m.sendRepeatedly(p, m.otherDelegates(), relayDelays)
	}
}

// relayLeaving forwards leaving updates that came from a member of the given availability zone. Only
// delegates do so: they send updates from their own availability zone to delegates of the others, and
// updates from others to their own availability zone.
func (m *Machine) relayLeaving(from zoneName, p Piggyback) {
	switch {
	case !m.isDelegate():
	case from == m.cfg.Zone:
		m.sendRepeatedly(p, m.otherDelegates(), relayDelays)
	default:
		m.sendRepeatedly(p, m.zonePeers(), relayDelays)
	}
}

func (m *Machine) sendRepeatedly(p Piggyback, to []ID, delays []time.Duration) {
	if len(to) == 0 {
		return
	}
	b := urgentBroadcast{updates: p, to: to}
	for _, d := range delays {
		b.at = append(b.at, m.now+d)
	}
	m.urgent = append(m.urgent, b)
	m.tickUrgent()
}

func (m *Machine) zonePeers() []ID {
	var ids []ID
	for _, id := range m.zones[m.cfg.Zone] {
		if e := m.members[id]; e.State != Dead && id != m.cfg.Self {
			ids = append(ids, id)
		}
	}
	return ids
}

// otherDelegates returns one delegate of each other availability zone: the delegate of the same rank as
// this one, so that the two delegates of a zone contact different ones.
func (m *Machine) otherDelegates() []ID {
	rank := slices.Index(m.Delegates(m.cfg.Zone), m.cfg.Self)
	var ids []ID
	for _, z := range m.zoneNames() {
		if d := m.Delegates(z); z != m.cfg.Zone && len(d) > 0 && rank >= 0 {
			ids = append(ids, d[rank%len(d)])
		}
	}
	return ids
}

// tickUrgent sends the urgent updates that are due, combined into as few datagrams per receiver as
// possible.
func (m *Machine) tickUrgent() {
	due := map[ID]*Piggyback{}
	var order []ID
	kept := m.urgent[:0]
	for _, b := range m.urgent {
		if m.now >= b.at[0] {
			b.at = b.at[1:]
			for _, id := range b.to {
				if due[id] == nil {
					due[id] = &Piggyback{}
					order = append(order, id)
				}
				due[id].Members = append(due[id].Members, b.updates.Members...)
				due[id].Marks = append(due[id].Marks, b.updates.Marks...)
			}
		}
		if len(b.at) > 0 {
			kept = append(kept, b)
		}
	}
	m.urgent = kept
	for _, id := range order {
		if e := m.members[id]; e != nil {
			m.sendUrgent(e, due[id])
		}
	}
}

// sendUrgent sends updates to a member, split into datagrams of at most the maximum size.
func (m *Machine) sendUrgent(e *entry, p *Piggyback) {
	msg := &Urgent{}
	flush := func(size int) {
		if msg.Size()+size > m.cfg.MaxDatagram-headReserve {
			m.send(e.Addr, e.ID, msg)
			msg = &Urgent{}
		}
	}
	for _, r := range p.Members {
		flush(r.size())
		msg.Updates.Members = append(msg.Updates.Members, r)
	}
	for _, k := range p.Marks {
		flush(k.size())
		msg.Updates.Marks = append(msg.Updates.Marks, k)
	}
	m.send(e.Addr, e.ID, msg)
}

// headReserve is the space in bytes reserved for the header, which is filled in when a message is sent.
const headReserve = 200

// minMarkTTL is the TTL below which a received mark is ignored. Otherwise a mark that has expired on this member
// would be added again by another one, on which it expires slightly later.
const minMarkTTL = 5 * time.Second

// addMark adds a leaving mark or extends it by at least a quarter of LeavingMarkTTL. It returns true if
// the mark is new.
func (m *Machine) addMark(name string, ttl time.Duration) bool {
	until, known := m.marks[name]
	known = known && until > m.now
	if name == "" || !known && len(m.marks) >= maxMarks {
		return false
	}
	if known && m.now+ttl < until+LeavingMarkTTL/4 {
		return false
	}
	m.marks[name] = m.now + min(ttl, LeavingMarkTTL)
	m.updates.add(updateKey{mark: name})
	if !known {
		m.emit(LeavingLearned{Name: name})
	}
	return !known
}

func (m *Machine) mergeMark(from zoneName, k LeavingMark) {
	if k.TTL >= minMarkTTL && m.addMark(k.Name, k.TTL) {
		m.relayLeaving(from, Piggyback{Marks: []LeavingMark{{Name: k.Name, TTL: min(k.TTL, LeavingMarkTTL)}}})
	}
}
