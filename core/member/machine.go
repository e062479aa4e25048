package member

import (
	"math/rand"
	"sort"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// LeavingMarkTTL is the time after which the leaving mark of a backend server expires unless it is
	// repeated. A backend server that returns under the same id then gets requests again.
	LeavingMarkTTL = 60 * time.Second
	// ZoneTimeout is the time without messages after which an availability zone counts as unreachable.
	// Members that are not delegates learn of other regions only through Syncs, which takes up to about
	// 40 s at the design size.
	ZoneTimeout = 60 * time.Second
	// MaxTeams and MaxModels limit the number of teams and models that a process reports.
	MaxTeams  = 16
	MaxModels = 16
	// maxMembers limits the membership table to three times the number of processes of the design size.
	maxMembers = 2048
	// maxMarks limits the leaving marks to the number of servers of the design size.
	maxMarks = 4096
	// tombstoneTTL is the time for which a dead member stays in the table, so that delayed updates that
	// still report it as alive do not add it again.
	tombstoneTTL = 10 * time.Minute
	// sweepInterval is the time between two removals of expired dead members and leaving marks.
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
	zones    map[ident.Zone][]ID      // each list sorted
	marks    map[string]time.Duration // expiry time by name
	suspects []ID                     // in the order in which suspicion began; may include members that are no longer suspect
	seeds    []Seed

	probe        prober
	updates      updateQueue
	urgent       []urgentBroadcast
	sync         syncState
	agg          aggregate
	versions     versionTracker
	lastReceived time.Duration
	// mergingRecords is set while Records are merged. New members from Records are not queued as updates,
	// because the peers get them through their own Syncs, and hundreds of them would delay other updates
	// for minutes after a start. The same applies to new members of other availability zones.
	mergingRecords bool
}

// entry is a member with the times that its state depends on.
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
	m.sync.lastContact = map[ident.Zone]time.Duration{}
	m.sync.hashes = map[ident.Zone]uint64{}
	// The first intervals end at random times, so that processes started together do not send at the same time.
	m.probe.next = now + m.jitter(cfg.ProbeInterval)
	m.sync.nextSync = now + m.jitter(cfg.ProbeInterval)
	m.sync.nextDigest = now + m.jitter(cfg.DigestInterval)
	m.agg.nextReport = now + m.jitter(cfg.DigestInterval)
	m.self = m.insert(Member{ID: cfg.Self, Zone: cfg.Zone, Addr: cfg.Addr, Incarnation: cfg.Incarnation, Epoch: cfg.StartedMS})
	m.updates.add(updateKey{member: cfg.Self})
	return m
}

func (m *Machine) jitter(d time.Duration) time.Duration { return time.Duration(m.rng.Int63n(int64(d))) }

// Step handles one event and returns the resulting actions, in order.
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

// recoverFromPause discards running probes and restarts the suspicion timeouts after a pause of this process,
// because Acks and refutations may still be unread in the socket. After a pause that was long enough for
// others to suspect this process, it announces that it is alive before it receives the suspicion: with a
// suspicion timeout of 3 s, a pause of 2.5 s leaves too little time for the suspicion to arrive and the
// refutation to spread.
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

// expire declares suspects dead after the suspicion timeout, and removes dead members and leaving
// marks that have expired.
func (m *Machine) expire() {
	remaining := m.suspects[:0]
	for _, id := range m.suspects {
		e := m.members[id]
		if e == nil || e.State != Suspect || e.Zone != m.cfg.Zone {
			continue
		}
		if m.now < e.suspectUntil {
			remaining = append(remaining, id)
			continue
		}
		dead := e.Member
		dead.State = Dead
		m.merge(dead)
	}
	m.suspects = remaining
	if m.now < m.sync.nextSweep {
		return
	}
	m.sync.nextSweep = m.now + sweepInterval
	for _, id := range append([]ID(nil), m.ids...) {
		if e := m.members[id]; e.State == Dead && m.now-e.deadSince > tombstoneTTL {
			m.remove(e)
		}
	}
	for name, until := range m.marks { // the iteration order has no effect, since entries are only deleted
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
	m.recordContact(h.Zone, 0)
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

// mergeUpdates merges the piggybacked updates of a message.
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

// send fills in the header and the piggybacked updates of a message and sends it to a process. The id
// may be empty if it is not known.
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

// Members returns all known members, including this process, ordered by ID. Dead members stay in the
// list for 10 minutes.
func (m *Machine) Members() []Member {
	list := make([]Member, 0, len(m.ids))
	for _, id := range m.ids {
		list = append(list, m.members[id].Member)
	}
	return list
}

// Lookup returns the member with the given ID, if it is known.
func (m *Machine) Lookup(id ID) (Member, bool) {
	if e := m.members[id]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Reachable reports whether the member is not dead and, if it is in another availability zone, whether
// a message from that zone is known to have arrived within ZoneTimeout.
func (m *Machine) Reachable(now time.Duration, id ID) bool {
	e := m.members[id]
	if e == nil || e.State == Dead {
		return false
	}
	if e.Zone == m.cfg.Zone {
		return true
	}
	at, ok := m.sync.lastContact[e.Zone]
	return ok && now-at <= ZoneTimeout
}

// Leaving reports whether a backend server or a process is known to be leaving.
func (m *Machine) Leaving(now time.Duration, name string) bool {
	if e := m.members[ID(name)]; e != nil {
		return e.Leaving
	}
	until, ok := m.marks[name]
	return ok && now < until
}

// LastReceived returns the time of the last datagram from any peer, or zero if none was received.
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
