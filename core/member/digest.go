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
	// syncInterval is the mean time between Syncs with a random member. A process that still lacks
	// records sends a Sync about every second.
	syncInterval = 5 * time.Second
	// zonesPerSync limits the number of availability zones whose records are sent in reply to one Sync.
	// The records of one take about 2.5 KB at the design size.
	zonesPerSync = 3
	// rejoinInterval is the mean time between attempts to contact dead members and seeds. The attempts
	// reconnect the two sides of a partition that lasted longer than the suspicion timeout.
	rejoinInterval = 5 * time.Second
	// delegatesPerZone is the number of members that exchange digests with other availability zones.
	delegatesPerZone = 2
	// digestUpdateBytes bounds the piggybacked updates in a digest. They repeat updates whose urgent
	// messages may have been lost.
	digestUpdateBytes = 150
	// crossRegionRounds is the number of digest rounds in which each availability zone of another region
	// gets one digest, and each one of this region gets the teams with the highest demand once. Sending
	// everything to 15 availability zones in each round would alone exceed a delegate's bandwidth budget.
	crossRegionRounds = 4
)

type syncState struct {
	nextSync, nextDigest, nextRejoin, nextSweep time.Duration
	round                                       int
	lastContact                                 map[ident.Zone]time.Duration
	regions                                     map[ident.Zone]string
	hashes                                      map[ident.Zone]uint64 // cached; an entry is removed when a member of its availability zone changes
}

// recordContact records that this or another process received a message from an availability zone. The age is the
// time since then.
func (m *Machine) recordContact(z ident.Zone, age time.Duration) {
	if at, ok := m.sync.lastContact[z]; z != "" && (ok || len(m.sync.lastContact) < maxMembers) && (!ok || m.now-age > at) {
		m.sync.lastContact[z] = m.now - age
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

// Delegates returns the delegates of an availability zone, at most two on different hosts. They are
// chosen by rendezvous hashing among the members that are neither dead nor leaving.
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

// zoneHash returns a hash over the members of an availability zone that are not dead. Suspect members are
// included in the same way as alive ones.
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

// invalidateHash discards the cached hash of an availability zone after a change of one of its members.
func (m *Machine) invalidateHash(zone ident.Zone) { delete(m.sync.hashes, zone) }

// tickDigest sends this availability zone's digest. The two delegates alternate, so that each other
// availability zone of the region gets one digest per round.
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

// inRegion reports whether an availability zone is in this region. One whose region is not known counts as
// in this region.
func (m *Machine) inRegion(z ident.Zone) bool {
	region, known := m.sync.regions[z]
	return !known || region == m.cfg.Region
}

// handleDigest merges the digest of another availability zone and requests its records if the hashes differ.
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

// stampNumber returns a number that increases with time, also across restarts of this process.
func (m *Machine) stampNumber() uint64 { return m.cfg.StartedMS + uint64(m.now.Milliseconds()) }

func (m *Machine) syncMessage(reply bool, zones ...ident.Zone) *Sync {
	msg := &Sync{Reply: reply}
	start := m.rng.Intn(len(zones))
	for i := range zones {
		z := zones[(start+i)%len(zones)]
		if msg.Size() > m.cfg.MaxDatagram-headReserve {
			msg.Partial = true // a later Sync, which starts at a random zone, carries the others
			break
		}
		h := ZoneHash{Zone: z, Hash: m.zoneHash(z), Age: time.Hour}
		if at, ok := m.sync.lastContact[z]; ok {
			h.Age = min(m.now-at, time.Hour)
		}
		if z == m.cfg.Zone {
			h.Age = 0
		}
		msg.Hashes = append(msg.Hashes, h)
	}
	return msg
}

// handleSync answers a Sync with the records of the availability zones whose hashes differ.
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
		m.recordContact(h.Zone, h.Age)
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
		// Requests the sender's records, also those of availability zones that are not known here.
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

// tickSync sends a Sync to a random member and contacts dead members and seeds.
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

// rejoin contacts one random dead member of this availability zone and, if trySeed is set, one random
// seed that is not a live member of it. Only delegates and processes without live peers try seeds:
// Syncs from all members would exceed the bandwidth budget of the few seeds.
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
