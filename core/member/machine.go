package member

import (
	"math/rand"
	"sort"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// LeavingMarkTTL is the time for which a leaving mark on a backend server holds without being repeated. A
	// backend server that returns under the same id gets work again after it.
	LeavingMarkTTL = 60 * time.Second
	// ZoneTimeout is the time after which an availability zone that is not heard counts as unreachable.
	// Members that are no delegates hear of other regions only by Syncs, which takes up to some 40 s at the
	// design size.
	ZoneTimeout = 60 * time.Second
	// MaxTeams and MaxModels bound the teams and models that a process reports.
	MaxTeams  = 16
	MaxModels = 16
	// maxMembers bounds the table, at three times the processes of the design size.
	maxMembers = 2048
	// maxMarks bounds the leaving marks, at the number of servers of the design size.
	maxMarks = 4096
	// tombstoneTTL is the time for which a dead member is kept, so that late statements that it is alive
	// do not bring it back.
	tombstoneTTL = 10 * time.Minute
	// sweepInterval is the time between two removals of old tombstones and ended marks.
	sweepInterval = 10 * time.Second
)

// Machine is the membership state machine of one process. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	now      time.Duration
	lastStep time.Duration
	actions  []Action
	local    LocalState

	self     *entry
	members  map[ID]*entry
	ids      []ID                     // sorted
	zones    map[ident.Zone][]ID      // sorted within each zone
	marks    map[string]time.Duration // when each ends
	suspects []ID                     // in the order of suspicion; may hold members that are no longer suspect
	seeds    []Seed

	probe        prober
	updates      updateQueue
	urgent       []urgentBroadcast
	sync         syncState
	agg          aggregate
	versions     versionTracker
	lastReceived time.Duration
	// mergingRecords is set while Records are merged. Unknown members from there are no news, nor are unknown ones of other
	// availability zones: the others get them by their own Syncs, and hundreds of them would hold up real
	// news for minutes after a start.
	mergingRecords bool
}

// entry is a member with the times that belong to it.
type entry struct {
	Member
	suspectUntil time.Duration // when State is Suspect
	deadSince    time.Duration // when State is Dead
}

// New returns a machine that knows only itself.
func New(cfg Config, rng *rand.Rand, now time.Duration) *Machine {
	cfg = cfg.withDefaults()
	m := &Machine{
		cfg:      cfg,
		rng:      rng,
		now:      now,
		lastStep: now,
		members:  map[ID]*entry{},
		zones:    map[ident.Zone][]ID{},
		marks:    map[string]time.Duration{},
	}
	m.agg.init()
	m.sync.lastHeard = map[ident.Zone]time.Duration{}
	m.sync.hashes = map[ident.Zone]uint64{}
	// The first rounds start at random times, so that processes started together do not send together.
	m.probe.next = now + m.jitter(cfg.ProbeInterval)
	m.sync.nextSync = now + m.jitter(cfg.ProbeInterval)
	m.sync.nextDigest = now + m.jitter(cfg.DigestInterval)
	m.agg.nextReport = now + m.jitter(cfg.DigestInterval)
	m.self = m.insert(Member{ID: cfg.Self, Zone: cfg.Zone, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Epoch: cfg.StartedMS})
	m.updates.add(updateKey{member: cfg.Self})
	return m
}

func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int63n(int64(d))) }

// Step handles one event and returns what to do, in order.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.now, m.actions = now, nil
	if gap := now - m.lastStep; gap > m.cfg.PauseLimit {
		m.recoverFromPause(gap)
	}
	m.lastStep = now
	switch ev := ev.(type) {
	case Tick:
		m.tick()
	case Received:
		m.receive(ev.From, ev.Msg)
	case Seeds:
		m.seeds = ev.Seeds
	case UpdateLocal:
		m.updateLocal(ev.Local)
	case MarkLeaving:
		m.markLeaving(ev.Name)
	}
	return m.actions
}

// recoverFromPause runs after a pause. Acks and refutations may wait in the socket, so running probes are
// discarded and suspects get their whole time again. After a pause in which others may have begun to
// suspect this process, it refutes without waiting to hear of it: with a suspicion timeout of 3 s a
// pause of 2.5 s otherwise leaves too little time for the news to go round.
func (m *Machine) recoverFromPause(gap time.Duration) {
	m.probe.reset()
	if gap >= m.cfg.ProbeInterval*3/4 {
		m.assertAlive()
	}
	m.probe.next = max(m.probe.next, m.now+m.cfg.ProbeInterval)
	for _, id := range m.suspects {
		if e := m.members[id]; e != nil {
			e.suspectUntil = m.now + m.cfg.SuspicionTimeout
		}
	}
}

func (m *Machine) tick() {
	m.expire()
	m.tickProbe()
	m.tickUrgent()
	m.tickSync()
	m.tickReport()
	m.tickDigest()
}

// expire turns suspects into dead members, drops old tombstones and lets marks end.
func (m *Machine) expire() {
	waiting := m.suspects[:0]
	for _, id := range m.suspects {
		e := m.members[id]
		if e == nil || e.State != Suspect || e.Zone != m.cfg.Zone {
			continue
		}
		if m.now < e.suspectUntil {
			waiting = append(waiting, id)
			continue
		}
		dead := e.Member
		dead.State = Dead
		m.merge(dead)
	}
	m.suspects = waiting
	if m.now < m.sync.nextSweep {
		return
	}
	m.sync.nextSweep = m.now + sweepInterval
	for _, id := range append([]ID(nil), m.ids...) {
		if e := m.members[id]; e.State == Dead && m.now-e.deadSince > tombstoneTTL {
			m.remove(e)
		}
	}
	for name, until := range m.marks { // deletion only, so the order does not show
		if m.now >= until {
			delete(m.marks, name)
		}
	}
}

func (m *Machine) receive(from Addr, msg Message) {
	h := msg.Header()
	if h.ID == "" || h.ID == m.cfg.Self && h.Incarnation == m.cfg.Incarnation {
		return
	}
	m.lastReceived = m.now
	m.mergeFrom(h.Zone, Member{ID: h.ID, Zone: h.Zone, Addr: h.Addr, Incarnation: h.Incarnation, Epoch: h.Epoch, Leaving: h.Leaving})
	m.recordHeard(h.Zone, 0)
	m.trackVersions(h)
	switch msg := msg.(type) {
	case *Ping:
		m.mergeUpdates(h, &msg.Updates)
		m.send(from, h.ID, &Ack{Seq: msg.Seq})
	case *Ack:
		m.mergeUpdates(h, &msg.Updates)
		m.handleAck(msg.Seq)
	case *PingReq:
		m.mergeUpdates(h, &msg.Updates)
		m.relayProbe(from, msg)
	case *Urgent:
		m.mergeUpdates(h, &msg.Updates)
	case *Digest:
		m.mergeUpdates(h, &msg.Updates)
		m.handleDigest(from, msg)
	case *Sync:
		m.handleSync(from, msg)
	case *Records:
		m.mergingRecords = true
		for _, r := range msg.Members {
			m.mergeFrom(h.Zone, r)
		}
		m.mergingRecords = false
	case *Report:
		m.handleReport(msg)
	}
}

// mergeUpdates takes over the news of a message.
func (m *Machine) mergeUpdates(h *Head, p *Piggyback) {
	for _, r := range p.Members {
		m.mergeFrom(h.Zone, r)
	}
	for _, k := range p.Marks {
		m.mergeMark(h.Zone, k)
	}
	for _, l := range p.Loads {
		m.mergeLoad(l)
	}
	for _, t := range p.Teams {
		m.mergeTeams(t)
	}
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// send fills in head and news and sends a message to a process; id may be empty if not known.
func (m *Machine) send(to Addr, id ID, msg Message) {
	s := &m.self.Member
	*msg.Header() = Head{ID: s.ID, Zone: s.Zone, Addr: s.Addr, Incarnation: s.Incarnation, Epoch: s.Epoch, Leaving: s.Leaving,
		Config: m.local.Config, Hosts: m.local.Hosts}
	switch msg := msg.(type) {
	case *Ping:
		msg.Updates = m.pickPiggyback(id, updateBytes, len(m.zones[s.Zone]) <= smallZone)
	case *Ack:
		msg.Updates = m.pickPiggyback(id, updateBytes, true)
	case *PingReq:
		msg.Updates = m.pickPiggyback(id, updateBytes, false)
	}
	m.emit(Send{To: to, Msg: msg})
}

func (m *Machine) updateLocal(l LocalState) {
	leave := l.Leaving && !m.self.Leaving
	l.Load, l.Teams = fitLoad(l.Load), fitTeams(l.Teams)
	m.local = l
	if leave {
		m.markLeaving(string(m.cfg.Self))
	}
}

// Self returns this process's own record.
func (m *Machine) Self() Member { return m.self.Member }

// Members returns all known members, this process included, ordered by ID. Dead ones are kept for
// some minutes.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.ids))
	for _, id := range m.ids {
		list = append(list, m.members[id].Member)
	}
	return list
}

// Lookup returns the member with the ID.
func (m *Machine) Lookup(id ID) (Member, bool) {
	if e := m.members[id]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Reachable tells whether the member is not dead and, if it is in another availability zone, that zone
// was heard within ZoneStale.
func (m *Machine) Reachable(now time.Duration, id ID) bool {
	e := m.members[id]
	if e == nil || e.State == Dead {
		return false
	}
	if e.Zone == m.cfg.Zone {
		return true
	}
	at, ok := m.sync.lastHeard[e.Zone]
	return ok && now-at <= ZoneTimeout
}

// Leaving tells whether the backend server or process is known to be leaving.
func (m *Machine) Leaving(now time.Duration, name string) bool {
	if e := m.members[ID(name)]; e != nil {
		return e.Leaving
	}
	until, ok := m.marks[name]
	return ok && now < until
}

// LastReceived returns the time of the last datagram from any peer, zero if none came.
func (m *Machine) LastReceived() time.Duration { return m.lastReceived }

func insertSorted(ids []ID, id ID) []ID {
	i := sort.Search(len(ids), func(i int) bool { return ids[i] >= id })
	ids = append(ids, "")
	copy(ids[i+1:], ids[i:])
	ids[i] = id
	return ids
}

func removeSorted(ids []ID, id ID) []ID {
	i := sort.Search(len(ids), func(i int) bool { return ids[i] >= id })
	if i < len(ids) && ids[i] == id {
		return append(ids[:i], ids[i+1:]...)
	}
	return ids
}
