package member

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// syncInterval is the time between comparisons with a random member. A process that still misses
	// records compares each second.
	syncInterval = 5 * time.Second
	// zonesPerSync bounds the availability zones whose records answer one Sync, about 2.5 KB each at
	// the design size.
	zonesPerSync = 3
	// rejoinInterval is the time between attempts to reach dead members and seeds, which ends a
	// partition that outlasted the suspicion timeout.
	rejoinInterval = 5 * time.Second
	// delegatesPerZone is the number of members that talk to other availability zones.
	delegatesPerZone = 2
	// digestUpdateBytes bounds the news in a digest, which back up the urgent messages.
	digestUpdateBytes = 150
	// crossRegionRounds is the number of digest rounds in which all availability zones of other regions get one
	// digest, and those of this region get the heavy teams. Sending everything to 15 availability zones
	// in each round would alone exceed the budget of a delegate.
	crossRegionRounds = 4
)

type syncState struct {
	nextSync, nextDigest, nextRejoin, nextSweep time.Duration
	round                                       int
	lastHeard                                   map[ident.Zone]time.Duration
	regions                                     map[ident.Zone]string
	hashes                                      map[ident.Zone]uint64 // of unchanged availability zones
}

// recordHeard notes that something from an availability zone was received that is age old.
func (m *Machine) recordHeard(z ident.Zone, age time.Duration) {
	if at, ok := m.sync.lastHeard[z]; z != "" && (ok || len(m.sync.lastHeard) < maxMembers) && (!ok || m.now-age > at) {
		m.sync.lastHeard[z] = m.now - age
	}
}

func (m *Machine) zoneNames() []ident.Zone {
	names := make([]ident.Zone, 0, len(m.zones))
	for z := range m.zones {
		names = append(names, z)
	}
	slices.Sort(names)
	return names
}

// Delegates returns the delegates of an availability zone, at most two: by rendezvous hash over its
// members that are neither dead nor leaving, on two hosts if there are two.
func (m *Machine) Delegates(zone ident.Zone) []ID {
	type scored struct {
		id    ID
		score uint64
	}
	var list []scored
	for _, id := range m.zones[zone] {
		if e := m.members[id]; e.State != Dead && !e.Leaving {
			list = append(list, scored{id, xxhash.Sum64String("delegate/" + string(zone) + "/" + string(id))})
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].score > list[j].score })
	var ids []ID
	for _, s := range list {
		if len(ids) == 0 || hostOf(ids[0]) != hostOf(s.id) {
			if ids = append(ids, s.id); len(ids) == delegatesPerZone {
				break
			}
		}
	}
	return ids
}

func hostOf(id ID) string {
	for i := len(id) - 1; i >= 0; i-- {
		if id[i] == '/' {
			return string(id[:i])
		}
	}
	return string(id)
}

func (m *Machine) isDelegate() bool {
	return slices.Contains(m.Delegates(m.cfg.Zone), m.cfg.Self)
}

// zoneHash summarises the members of an availability zone that are not dead. A suspect counts as alive.
func (m *Machine) zoneHash(zone ident.Zone) uint64 {
	if sum, ok := m.sync.hashes[zone]; ok {
		return sum
	}
	var sum uint64
	var b []byte
	for _, id := range m.zones[zone] {
		e := m.members[id]
		if e.State == Dead {
			continue
		}
		b = append(b[:0], id...)
		b = binary.BigEndian.AppendUint64(b, uint64(e.Incarnation))
		if e.Leaving {
			b = append(b, 1)
		}
		sum += xxhash.Sum64(b)
	}
	if len(m.zones[zone]) > 0 {
		m.sync.hashes[zone] = sum
	}
	return sum
}

// invalidateHash notes that a member of an availability zone has changed.
func (m *Machine) invalidateHash(zone ident.Zone) { delete(m.sync.hashes, zone) }

// tickDigest sends this availability zone's digest. The two delegates take turns, so that each other
// availability zone gets one digest in each round.
func (m *Machine) tickDigest() {
	if m.now < m.sync.nextDigest {
		return
	}
	m.sync.nextDigest = m.now + m.cfg.DigestInterval
	m.sync.round++
	rank := slices.Index(m.Delegates(m.cfg.Zone), m.cfg.Self)
	if rank < 0 {
		return
	}
	m.computeZone()
	for i, z := range m.zoneNames() {
		sameRegion := m.inRegion(z)
		turn := i + m.sync.round
		if !sameRegion {
			turn = i + m.sync.round/crossRegionRounds
			if (i+m.sync.round)%crossRegionRounds != 0 {
				continue
			}
		}
		to := m.Delegates(z)
		if z == m.cfg.Zone || len(to) == 0 || turn%delegatesPerZone != rank && len(m.Delegates(m.cfg.Zone)) > 1 {
			continue
		}
		e := m.members[to[m.rng.Intn(len(to))]]
		msg := &Digest{Region: m.cfg.Region, Hash: m.zoneHash(m.cfg.Zone)}
		if sameRegion {
			msg.Load = m.agg.own.load
		}
		if !sameRegion || (i+m.sync.round)/delegatesPerZone%crossRegionRounds == 0 {
			msg.Teams = m.agg.own.teams
		}
		msg.Updates = m.pickPiggyback(e.ID, min(digestUpdateBytes, m.cfg.MaxDatagram-headReserve-msg.Size()), false)
		m.send(e.Addr, e.ID, msg)
	}
}

// inRegion tells whether an availability zone is in this region, as far as known.
func (m *Machine) inRegion(z ident.Zone) bool {
	region, known := m.sync.regions[z]
	return !known || region == m.cfg.Region
}

// handleDigest handles another availability zone's digest.
func (m *Machine) handleDigest(from Addr, msg *Digest) {
	z := msg.Head.Zone
	if z == m.cfg.Zone {
		return
	}
	if m.sync.regions == nil {
		m.sync.regions = map[ident.Zone]string{}
	}
	m.sync.regions[z] = msg.Region
	m.agg.recordRemote(z, msg, m.now)
	if msg.Region == m.cfg.Region {
		m.mergeLoad(ZoneLoad{Zone: z, Load: msg.Load, Stamp: Stamp{Origin: msg.Head.ID, Number: m.stampNumber()}})
	}
	if msg.Hash != m.zoneHash(z) {
		request := m.syncMessage(true, z)
		request.Partial = true
		m.send(from, msg.Head.ID, request)
	}
}

// stampNumber returns a number that rises, also over a restart.
func (m *Machine) stampNumber() uint64 { return m.cfg.StartedMS + uint64(m.now.Milliseconds()) }

func (m *Machine) syncMessage(reply bool, zones ...ident.Zone) *Sync {
	msg := &Sync{Reply: reply}
	start := m.rng.Intn(len(zones))
	for i := range zones {
		z := zones[(start+i)%len(zones)]
		if msg.Size() > m.cfg.MaxDatagram-headReserve {
			msg.Partial = true // the others take their turn in a later Sync
			break
		}
		h := ZoneHash{Zone: z, Hash: m.zoneHash(z), Age: time.Hour}
		if at, ok := m.sync.lastHeard[z]; ok {
			h.Age = min(m.now-at, time.Hour)
		}
		if z == m.cfg.Zone {
			h.Age = 0
		}
		msg.Hashes = append(msg.Hashes, h)
	}
	return msg
}

// handleSync answers a Sync with the records of the availability zones that differ.
func (m *Machine) handleSync(from Addr, msg *Sync) {
	start, sent := 0, 0
	var differ []ident.Zone
	if len(msg.Hashes) > 0 {
		start = m.rng.Intn(len(msg.Hashes))
	}
	theirs := map[ident.Zone]bool{}
	for i := range msg.Hashes {
		h := msg.Hashes[(start+i)%len(msg.Hashes)]
		theirs[h.Zone] = true
		m.recordHeard(h.Zone, h.Age)
		if h.Hash == m.zoneHash(h.Zone) {
			continue
		}
		differ = append(differ, h.Zone)
		if sent < zonesPerSync && len(m.zones[h.Zone]) > 0 {
			sent++
			m.sendRecords(from, msg.Head.ID, h.Zone)
		}
	}
	for _, z := range m.zoneNames() {
		if !msg.Partial && !theirs[z] && sent < zonesPerSync {
			sent++
			m.sendRecords(from, msg.Head.ID, z)
		}
	}
	if len(differ) > 0 && !msg.Reply {
		m.sync.nextSync = min(m.sync.nextSync, m.now+m.cfg.ProbeInterval+m.jitter(m.cfg.ProbeInterval))
	}
	if !msg.Reply && len(differ) > 0 {
		// Asks for what the sender has, also of availability zones that are not known here.
		reply := m.syncMessage(true, differ...)
		reply.Partial = true
		m.send(from, msg.Head.ID, reply)
	}
}

func (m *Machine) sendRecords(to Addr, id ID, zone ident.Zone) {
	msg := &Records{}
	for _, mid := range m.zones[zone] {
		r := m.members[mid].Member
		if msg.Size()+r.size() > m.cfg.MaxDatagram-headReserve {
			m.send(to, id, msg)
			msg = &Records{}
		}
		msg.Members = append(msg.Members, r)
	}
	if len(msg.Members) > 0 {
		m.send(to, id, msg)
	}
}

// tickSync compares records with a random member, and tries seeds and dead members.
func (m *Machine) tickSync() {
	if m.now < m.sync.nextSync && m.now < m.sync.nextRejoin {
		return
	}
	peers := m.aliveMembers(m.cfg.Zone, "")
	if m.now >= m.sync.nextSync {
		m.sync.nextSync = m.now + syncInterval/2 + m.jitter(syncInterval)
		if len(peers) > 0 {
			e := peers[m.rng.Intn(len(peers))]
			m.send(e.Addr, e.ID, m.syncMessage(false, m.zoneNames()...))
		}
	}
	if m.now < m.sync.nextRejoin {
		return
	}
	m.sync.nextRejoin = m.now + rejoinInterval/2 + m.jitter(rejoinInterval)
	if len(peers) == 0 {
		m.sync.nextRejoin = m.now + m.cfg.ProbeInterval
	}
	m.rejoin(len(peers) == 0 || m.isDelegate())
}

// rejoin contacts one dead member of this availability zone and, if asked to, one seed that is no live
// member of it. Seeds are left to delegates and lone members: from all members, Syncs to a few seeds
// would exceed the budget of these.
func (m *Machine) rejoin(trySeed bool) {
	var dead []*entry
	known := map[Addr]bool{m.cfg.Addr: true}
	for _, id := range m.zones[m.cfg.Zone] {
		e := m.members[id]
		if e.State == Dead {
			dead = append(dead, e)
		}
		known[e.Addr] = known[e.Addr] || e.State != Dead
	}
	if len(dead) > 0 {
		e := dead[m.rng.Intn(len(dead))]
		m.send(e.Addr, e.ID, &Ping{})
	}
	var seeds []Seed
	for _, s := range m.seeds {
		if !known[s.Addr] {
			seeds = append(seeds, s)
		}
	}
	if len(seeds) > 0 && trySeed {
		m.send(seeds[m.rng.Intn(len(seeds))].Addr, "", m.syncMessage(false, m.zoneNames()...))
	}
}
