// Package peers tracks the other entry hosts of a region by their load reports: which of them are alive, which of them
// share a partition of the engines with this host, and to which of them the next report goes.
//
// Hosts of the same partition (near peers) get every report. All others (far peers) get a report in turn, a bounded
// number with each interval, so that the traffic of a host does not grow with the fleet. Each report says how long it is
// valid, so that liveness does not depend on an interval that both sides know. A change of state that callers or the
// readers of the store depend on goes to everybody at once.
//
// The Table does no I/O and reads no clock.
package peers

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/partition"
)

const (
	// ReportInterval is the maximum time between two reports to a near peer.
	ReportInterval = 250 * time.Millisecond
	// NearValidity is how long a report to a near peer is valid: about four intervals, since reports may be lost.
	NearValidity = 1100 * time.Millisecond
	// farPerInterval is the number of far peers that get a report with each interval.
	farPerInterval = 32
	// candidateTTL is how long a host that other peers named is sent reports before it has sent one itself.
	candidateTTL = 3 * time.Second
	// forgetAfter is the time without a report after which a peer no longer counts as a holder of the retry budget:
	// twice the budget's window.
	forgetAfter = 20 * time.Second
	// mayServeAfter is the time without a report during which a peer that did not say that it stops may still serve callers: it
	// may only be cut off from this host.
	mayServeAfter = 5 * time.Minute
	// announceIntervals is the number of intervals in which a change of state is repeated to everybody.
	announceIntervals = 3
)

// Status is what a host tells its peers about itself.
type Status struct {
	Incarnation    ident.Incarnation
	Ready          bool // accepts new connections
	Leaving        bool
	StoreConnected bool           // has its own connection to the platform's store
	Zone           uint32         // hash of the availability zone
	Config         ident.Version  // version in use
	Revision       ident.Revision // latest store revision that the host has seen
}

// Peer is another entry host.
type Peer struct {
	Status
	Addr       member.Addr
	lastReport time.Duration
	validUntil time.Duration // the peer counts as alive until then
	expired    bool          // its expiry has been returned by Expire
	// unreachable are the services that it can't reach, as it said last, which holds until the given time.
	unreachable      []uint32
	unreachableUntil time.Duration
}

// Alive reports whether the last report of the peer is still valid.
func (p *Peer) Alive(now time.Duration) bool { return now < p.validUntil }

// Table holds the peers of a host. It is not safe for concurrent use.
type Table struct {
	self       member.Addr
	zone       uint32
	peers      map[member.Addr]*Peer
	silent     map[member.Addr]time.Duration // last reports of peers that were forgotten and may still serve callers
	candidates map[member.Addr]time.Duration // hosts to be contacted that have not reported, until the given time
	seeds      []member.Addr                 // from the settings
	newPeers   []member.Addr                 // peers whose first report has just arrived
	services   map[string][]partition.Node   // engines by service
	members    []member.Addr                 // hosts that membership does not consider dead
	plan       partition.Plan
	planned    bool          // plan is up to date with services
	plannedFor uint64        // hash of the hosts that plan was computed for
	near       []member.Addr // live peers of the own partition, and candidates
	far        []member.Addr // all other known hosts, sorted
	nextFar    int           // index in far
	announced  Status        // status that the peers were told last
	announce   int           // intervals in which reports still go to everybody
}

// NewTable returns a table without peers.
func NewTable() *Table {
	return &Table{
		peers: map[member.Addr]*Peer{}, silent: map[member.Addr]time.Duration{}, candidates: map[member.Addr]time.Duration{},
	}
}

// SetSelf sets the address of this host and the hash of its availability zone.
func (t *Table) SetSelf(addr member.Addr, zone uint32) { t.self, t.zone = addr, zone }

// Zone returns the hash of this host's availability zone.
func (t *Table) Zone() uint32 { return t.zone }

// Self returns the address of this host.
func (t *Table) Self() member.Addr { return t.self }

// SetSeeds replaces the hosts of the settings through which this host joins the others.
func (t *Table) SetSeeds(now time.Duration, seeds []member.Addr) {
	t.seeds = seeds
	for _, addr := range seeds {
		t.addCandidate(now, addr)
	}
}

// addCandidate adds a host that is contacted although it has not reported yet.
func (t *Table) addCandidate(now time.Duration, addr member.Addr) {
	if t.peers[addr] == nil && addr != t.self {
		t.candidates[addr] = now + candidateTTL
		t.addNear(addr)
	}
}

// addNear makes a host a near peer until the partitions are computed again. Without it, a host that has just been heard
// of would get no changes of load or state for up to a report interval.
func (t *Table) addNear(addr member.Addr) {
	// Targets hold these lists, so they are replaced rather than changed.
	if i, listed := slices.BinarySearch(t.near, addr); !listed {
		t.near = slices.Insert(slices.Clone(t.near), i, addr)
	}
	if i, listed := slices.BinarySearch(t.far, addr); listed {
		t.far = slices.Delete(slices.Clone(t.far), i, i+1)
	}
}

// Report is a load report as the table needs it.
type Report struct {
	Status
	Validity time.Duration // how long the sender counts as alive without another report
	Known    []member.Addr // other hosts that the sender knows
}

// Observe records a report. It reports whether the peer is new or has restarted, in which case it knows no load of this
// host.
func (t *Table) Observe(now time.Duration, from member.Addr, r Report) (restarted bool) {
	p := t.peers[from]
	if p == nil {
		p = &Peer{Addr: from}
		t.peers[from] = p
		delete(t.candidates, from)
		delete(t.silent, from)
	}
	if !p.Alive(now) {
		t.addNear(from)
	}
	restarted = p.Incarnation != r.Incarnation
	if restarted {
		t.newPeers = append(t.newPeers, from)
	}
	for _, addr := range r.Known {
		t.addCandidate(now, addr)
	}
	p.Status, p.lastReport, p.validUntil, p.expired = r.Status, now, now+r.Validity, false
	return restarted
}

// MarkDead ends the validity of a peer that membership has found dead. Its next report makes it alive again.
func (t *Table) MarkDead(now time.Duration, addr member.Addr) {
	if p := t.peers[addr]; p != nil {
		p.validUntil = min(p.validUntil, now)
	}
}

// Expire returns the peers whose validity has ended since the last call, and forgets those that have been silent for
// long.
func (t *Table) Expire(now time.Duration) (expired []member.Addr) {
	for addr, p := range t.peers {
		if !p.Alive(now) && !p.expired {
			p.expired = true
			expired = append(expired, addr)
		}
		if now-p.lastReport > forgetAfter && !p.Alive(now) {
			delete(t.peers, addr)
			if !p.Leaving {
				t.silent[addr] = p.lastReport
			}
		}
	}
	maps.DeleteFunc(t.silent, func(_ member.Addr, last time.Duration) bool { return now-last > mayServeAfter })
	return expired
}

// MayServe returns the number of peers that may serve callers: those that report, and those that have fallen silent without
// saying that they stop.
func (t *Table) MayServe(now time.Duration) int {
	n := len(t.silent)
	for _, p := range t.peers {
		if p.Alive(now) || !p.Leaving {
			n++
		}
	}
	return n
}

// nearLate is the time after the report of a near peer after which the next one is late, one and a half report intervals. For
// far peers, whose validity is three of their turns, it is farLateShare of the validity.
const (
	nearLate     = 385 * time.Millisecond
	farLateShare = 0.5
)

func (p *Peer) late(now time.Duration) bool {
	late := nearLate
	if validity := p.validUntil - p.lastReport; validity > NearValidity {
		late = time.Duration(farLateShare * float64(validity))
	}
	return now-p.lastReport > late
}

// Fresh returns the number of live peers whose next report is not late.
func (t *Table) Fresh(now time.Duration) (n int) {
	for _, p := range t.peers {
		if p.Alive(now) && !p.late(now) {
			n++
		}
	}
	return n
}

// LatestRevision returns the highest revision of the published state that a peer has reported.
func (t *Table) LatestRevision() (revision ident.Revision) {
	for _, p := range t.peers {
		revision = max(revision, p.Revision)
	}
	return revision
}

// Len returns the number of peers that have reported lately, dead ones included: they may only be cut off from this
// host and still serve callers.
func (t *Table) Len() int { return len(t.peers) }

// Live returns the live peers in no particular order.
func (t *Table) Live(now time.Duration) []*Peer {
	out := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		if p.Alive(now) {
			out = append(out, p)
		}
	}
	return out
}

// SetServices replaces the engines of each service.
func (t *Table) SetServices(services map[string][]partition.Node) {
	t.services, t.planned = services, false
}

// SetMembers replaces the hosts that membership does not consider dead.
func (t *Table) SetMembers(members []member.Addr) { t.members = members }

// Replan recomputes the partitions and the lists of near and far peers. It reports whether the partition of any host or
// engine has changed.
func (t *Table) Replan(now time.Duration) (changed bool) {
	t.refreshCandidates(now)
	live := t.Live(now)
	hosts := []partition.Node{{ID: string(t.self), Zone: t.zone}}
	for _, p := range live {
		hosts = append(hosts, partition.Node{ID: string(p.Addr), Zone: p.Zone})
	}
	if key := hashOf(hosts); !t.planned || key != t.plannedFor {
		before := t.plan
		t.plan = partition.New(hosts, t.services)
		t.planned, t.plannedFor = true, key
		changed = !t.plan.Equal(before)
	}
	t.splitPeers(live)
	return changed
}

// hashOf returns a hash of a set of hosts that does not depend on their order.
func hashOf(hosts []partition.Node) (sum uint64) {
	for _, h := range hosts {
		sum += xxhash.Sum64String(h.ID) * (2*uint64(h.Zone) + 1)
	}
	return sum
}

func (t *Table) refreshCandidates(now time.Duration) {
	for addr, until := range t.candidates {
		if now > until {
			delete(t.candidates, addr)
		}
	}
	if now < candidateTTL {
		for _, addr := range t.seeds {
			t.addCandidate(now, addr)
		}
	}
}

// splitPeers fills the lists of near and far peers.
func (t *Table) splitPeers(live []*Peer) {
	near := map[member.Addr]bool{}
	for addr := range t.candidates {
		near[addr] = true
	}
	for _, p := range live {
		if t.PartitionOfHost(p.Addr) == t.Partition() {
			near[p.Addr] = true
		}
	}
	far := map[member.Addr]bool{}
	for addr := range t.peers {
		far[addr] = true
	}
	for _, addr := range t.members {
		far[addr] = true
		if t.plan.Count() == 1 {
			near[addr] = true // it has not reported, as it may be starting; without partitions everybody is near
		}
	}
	delete(near, t.self)
	delete(far, t.self)
	maps.DeleteFunc(far, func(addr member.Addr, _ bool) bool { return near[addr] })
	t.near = slices.Sorted(maps.Keys(near))
	t.far = slices.Sorted(maps.Keys(far))
}

// Partition returns the partition of this host.
func (t *Table) Partition() int { return t.PartitionOfHost(t.self) }

// PartitionOfHost returns the partition of a peer.
func (t *Table) PartitionOfHost(addr member.Addr) int { return t.plan.OfHost(string(addr)) }

// Partitions returns the number of partitions.
func (t *Table) Partitions() int { return t.plan.Count() }

// OwnsPartition reports whether this host places requests on the engines of a partition.
func (t *Table) OwnsPartition(part int) bool {
	return partition.Owns(t.Partition(), part)
}

// PartitionOf returns the partition of an engine, or Undivided.
func (t *Table) PartitionOf(id ident.BackendID) int { return t.plan.OfEngine(string(id)) }

// FarSharing returns the live far peers that place requests on the engines of a partition, or on those of services that
// are not divided.
func (t *Table) FarSharing(now time.Duration, part int) []member.Addr {
	var out []member.Addr
	for _, addr := range t.far {
		p := t.peers[addr]
		if p != nil && p.Alive(now) && partition.Owns(t.PartitionOfHost(addr), part) {
			out = append(out, addr)
		}
	}
	return out
}

// Near returns the near peers: those that get the changes of load.
func (t *Table) Near() []member.Addr { return t.near }

// Targets are the receivers of a report.
type Targets struct {
	Near        []member.Addr // get the changes of load too
	Far         []member.Addr
	FarValidity time.Duration // how long a report to a far peer is valid
}

// ChangeTargets returns the receivers of a report that is sent because something has changed.
func (t *Table) ChangeTargets(own Status) Targets {
	if t.statusChanged(own) {
		t.announce = announceIntervals
	}
	newRevision := own.Revision > t.announced.Revision
	t.announced = own
	out := Targets{Near: t.near, FarValidity: t.farValidity()}
	switch {
	case t.announce > 0:
		out.Far = t.far
	case own.StoreConnected && newRevision:
		out.Far = t.farInZone(nil)
	}
	return out
}

// IntervalTargets returns the receivers of the report that is due after each interval: near peers, the far ones whose
// turn it is, and for a reader of the store all hosts of its availability zone, which read themselves when they miss
// it.
func (t *Table) IntervalTargets(own Status) Targets {
	out := t.ChangeTargets(own)
	if t.announce > 0 {
		t.announce--
		return out
	}
	out.Far = nil
	n := min(farPerInterval, len(t.far))
	for i := range n {
		out.Far = append(out.Far, t.far[(t.nextFar+i)%len(t.far)])
	}
	if n > 0 {
		t.nextFar = (t.nextFar + n) % len(t.far)
	}
	if own.StoreConnected {
		out.Far = append(out.Far, t.farInZone(out.Far)...)
	}
	return out
}

// farInZone returns the far peers of the own availability zone that are not in the list.
func (t *Table) farInZone(listed []member.Addr) []member.Addr {
	var out []member.Addr
	for _, addr := range t.far {
		if p := t.peers[addr]; p != nil && p.Zone == t.zone && !slices.Contains(listed, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// statusChanged reports whether the status differs in what address lists and the choice of store readers depend on.
func (t *Table) statusChanged(own Status) bool {
	a := t.announced
	return a.Ready != own.Ready || a.Leaving != own.Leaving || a.StoreConnected != own.StoreConnected
}

// farValidity returns how long a report to a far peer is valid: three turns, of which two may be lost, and some delay.
func (t *Table) farValidity() time.Duration {
	intervalsPerTurn := (len(t.far) + farPerInterval - 1) / farPerInterval
	return max(NearValidity, time.Duration(3*intervalsPerTurn+2)*ReportInterval)
}

// TakeNew returns the peers that are new or have restarted since the last call.
func (t *Table) TakeNew() []member.Addr {
	out := t.newPeers
	t.newPeers = nil
	return out
}

// Sample returns addresses of at most n peers. They are in random order, so that several samples together cover a
// large fleet.
func (t *Table) Sample(n int) []member.Addr {
	var out []member.Addr
	for addr := range t.peers {
		if len(out) == n {
			break
		}
		out = append(out, addr)
	}
	return out
}

// Ready returns at most n peers that accept connections. Near ones come first, as their state is the most recent.
func (t *Table) Ready(now time.Duration, n int) []member.Addr {
	var near, far []member.Addr
	for addr, p := range t.peers { // in random order, so that all far peers get callers
		switch {
		case !p.Ready || p.Leaving || !p.Alive(now):
		case t.PartitionOfHost(addr) == t.Partition():
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	all := append(near, far...)
	return all[:min(n, len(all))]
}

// Ahead returns the live peers with newer platform state than the given one in no particular order, without those that are
// leaving.
func (t *Table) Ahead(now time.Duration, revision ident.Revision, config ident.Version) (ahead []*Peer) {
	for _, p := range t.peers {
		if p.Alive(now) && !p.Leaving && (p.Revision > revision || p.Config > config) {
			ahead = append(ahead, p)
		}
	}
	return ahead
}

// CountHigherRanked counts the live peers that are not leaving, rank higher than this host and satisfy the condition. Hosts
// that hear from the same peers agree on the ranks.
func (t *Table) CountHigherRanked(now time.Duration, rank func(member.Addr) uint64, counts func(*Peer) bool) (n int) {
	own := rank(t.self)
	for addr, p := range t.peers {
		if p.Alive(now) && !p.Leaving && counts(p) && rank(addr) > own {
			n++
		}
	}
	return n
}
