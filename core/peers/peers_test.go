package peers

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/partition"
)

// zones is the number of availability zones of the simulated fleets.
const zones = 5

// simHost is a host of a simulated fleet.
type simHost struct {
	table  *Table
	addr   member.Addr
	status Status
	dead   bool
	sent   int // reports to one receiver each, since the counter was reset
}

// sim is a fleet whose hosts exchange reports in virtual time, with loss.
type sim struct {
	now   time.Duration
	rng   *rand.Rand
	hosts []*simHost
	byID  map[member.Addr]*simHost
}

func newSim(hosts, engines int) *sim {
	s := &sim{rng: rand.New(rand.NewSource(1)), byID: map[member.Addr]*simHost{}}
	var nodes []partition.Node
	for i := range engines {
		nodes = append(nodes, partition.Node{ID: fmt.Sprintf("engine-%d", i), Zone: uint32(i % zones)})
	}
	var all []member.Addr
	for i := range hosts {
		h := &simHost{table: NewTable(), addr: member.Addr(fmt.Sprintf("10.0.%d.%d:7", i/200, i%200))}
		h.status = Status{Incarnation: ident.Incarnation(i + 1), Ready: true, Zone: uint32(i % zones)}
		h.table.SetSelf(h.addr, h.status.Zone)
		h.table.SetServices(map[string][]partition.Node{"models": nodes})
		s.hosts, all = append(s.hosts, h), append(all, h.addr)
		s.byID[h.addr] = h
	}
	for _, h := range s.hosts {
		h.table.SetMembers(all)
		h.table.Replan(s.now)
	}
	return s
}

// deliver sends a report of a host to its receivers.
func (s *sim) deliver(from *simHost, targets Targets) {
	send := func(to []member.Addr, validity time.Duration) {
		for _, addr := range to {
			from.sent++
			if h := s.byID[addr]; !h.dead && s.rng.Float64() >= 0.01 {
				h.table.Observe(s.now, from.addr, Report{Status: from.status, Validity: validity})
			}
		}
	}
	send(targets.Near, NearValidity)
	send(targets.Far, targets.FarValidity)
}

// run lets a number of report intervals pass.
func (s *sim) run(intervals int) {
	for range intervals {
		s.now += ReportInterval
		for _, h := range s.hosts {
			if h.dead {
				continue
			}
			h.table.Expire(s.now)
			h.table.Replan(s.now)
			s.deliver(h, h.table.IntervalTargets(h.status))
		}
	}
}

// Guards against traffic between hosts that grows with the fleet, and against live hosts that lose each other because
// reports to far peers are rare.
func TestReportsPerHostDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	const intervals = 8
	for _, hosts := range []int{100, 400} {
		s := newSim(hosts, 2*hosts)
		s.run(40) // three turns of reports to far peers and more: all hosts know each other
		for _, h := range s.hosts {
			h.sent = 0
		}
		s.run(intervals)
		perPartition := hosts/s.hosts[0].table.Partitions() + 1
		for _, h := range s.hosts {
			c.Assert(len(h.table.Live(s.now)), qt.Equals, hosts-1)
			c.Assert(h.sent <= intervals*(perPartition+farPerInterval), qt.IsTrue,
				qt.Commentf("%d reports of a host among %d", h.sent, hosts))
		}
	}
}

// Guards against callers that are sent to a host after it has begun to stop, and against a lost report that keeps it
// listed.
func TestLeavingHostIsUnlistedEverywhereAtOnce(t *testing.T) {
	c := qt.New(t)
	s := newSim(100, 200)
	s.run(24)
	leaving := s.hosts[7]
	leaving.status.Leaving = true
	s.deliver(leaving, leaving.table.ChangeTargets(leaving.status))
	s.run(2)
	for _, h := range s.hosts {
		for _, addr := range h.table.Ready(s.now, len(s.hosts)) {
			c.Assert(addr, qt.Not(qt.Equals), leaving.addr, qt.Commentf("still listed by %s", h.addr))
		}
	}
}

// listLifetime is how long callers use a list of addresses, in report intervals.
const listLifetime = int(3 * time.Second / ReportInterval)

// Guards against engines without hosts after the loss of half of a fleet, and against lists that still hold many dead
// hosts when the lists that callers had at the loss have expired.
func TestLossOfHalfOfTheHosts(t *testing.T) {
	c := qt.New(t)
	s := newSim(100, 200)
	s.run(24)
	for i, h := range s.hosts {
		h.dead = i%2 == 0
	}
	s.run(listLifetime)
	owners := make([]int, 200)
	for _, h := range s.hosts {
		if h.dead {
			continue
		}
		for e := range owners {
			if h.table.OwnsPartition(h.table.PartitionOf(ident.BackendID(fmt.Sprintf("engine-%d", e)))) {
				owners[e]++
			}
		}
		listed, dead := h.table.Ready(s.now, 20), 0
		for _, addr := range listed {
			if s.byID[addr].dead {
				dead++
			}
		}
		c.Assert(dead*4 < len(listed), qt.IsTrue, qt.Commentf("%d of %d listed hosts are dead", dead, len(listed)))
	}
	for e, n := range owners {
		c.Assert(n > 0, qt.IsTrue, qt.Commentf("engine %d", e))
	}
}

// Guards against a host that stays out of address lists after a silence that membership took for its death.
func TestSilentPeerReturns(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.SetSelf("10.0.0.1:7", 1)
	report := Report{Status: Status{Incarnation: 4, Ready: true, Zone: 1}, Validity: NearValidity}
	c.Assert(table.Observe(0, "10.0.0.2:7", report), qt.IsTrue)
	table.MarkDead(time.Second, "10.0.0.2:7")
	c.Assert(table.Ready(time.Second, 9), qt.HasLen, 0)
	c.Assert(table.Expire(time.Second), qt.DeepEquals, []member.Addr{"10.0.0.2:7"})
	c.Assert(table.Expire(2*time.Second), qt.HasLen, 0, qt.Commentf("reported once"))
	c.Assert(table.Observe(3*time.Second, "10.0.0.2:7", report), qt.IsFalse, qt.Commentf("the same incarnation"))
	c.Assert(table.Ready(3*time.Second, 9), qt.HasLen, 1)
}

// Guards against a host that has just started, or of which another host has told, and that gets no changes until the next
// report interval: meanwhile it places requests on engines that are taken.
func TestNewHostGetsChangesAtOnce(t *testing.T) {
	c := qt.New(t)
	for _, members := range [][]member.Addr{nil, {"10.0.0.2:7"}} {
		table := NewTable()
		table.SetSelf("10.0.0.1:7", 1)
		table.SetMembers(members)
		table.Replan(0)
		report := Report{Status: Status{Incarnation: 4, Zone: 1}, Validity: NearValidity, Known: []member.Addr{"10.0.0.3:7"}}
		table.Observe(0, "10.0.0.2:7", report)
		targets := table.ChangeTargets(Status{})
		c.Assert(targets.Near, qt.DeepEquals, []member.Addr{"10.0.0.2:7", "10.0.0.3:7"})
		c.Assert(targets.Far, qt.HasLen, 0)

		// Reports are sent to targets while others arrive.
		table.Observe(0, "10.0.0.1:9", report)
		c.Assert(targets.Near, qt.DeepEquals, []member.Addr{"10.0.0.2:7", "10.0.0.3:7"})

		// A peer that was silent for long is new again.
		const later = 2 * NearValidity
		table.Replan(later)
		table.Observe(later, "10.0.0.2:7", report)
		c.Assert(slices.Contains(table.ChangeTargets(Status{}).Near, "10.0.0.2:7"), qt.IsTrue)
	}
}

// Guards against a limit of all hosts together that both parts of a divided fleet use whole, and against one that stays reduced for
// hosts that have stopped.
func TestSilentPeersMayServe(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	at := func(s int) time.Duration { return time.Duration(s) * time.Second }
	report := func(now time.Duration, from member.Addr, leaving bool) {
		table.Observe(now, from, Report{Status: Status{Ready: !leaving, Leaving: leaving}, Validity: NearValidity})
	}
	for s := range 3 {
		report(at(s), "cut", false)
		report(at(s), "stopped", s == 2)
	}
	c.Check(table.MayServe(at(2)), qt.Equals, 2)
	for s := 3; s < 290; s++ {
		table.Expire(at(s))
		c.Assert(table.MayServe(at(s+1)), qt.Equals, 1, qt.Commentf("after %d s", s))
	}
	c.Check(table.Len(), qt.Equals, 0)
	table.Expire(at(303))
	c.Check(table.MayServe(at(303)), qt.Equals, 0)
	report(at(304), "cut", false)
	c.Check(table.MayServe(at(304)), qt.Equals, 1)
}

// Guards against hosts that count for limits although they are no longer heard, and against far hosts, which report less often,
// that do not.
func TestHostsAreFreshWhileTheyReport(t *testing.T) {
	c := qt.New(t)
	x := NewTable()
	x.Observe(0, "near", Report{Status: Status{Incarnation: 1, Revision: 7}, Validity: NearValidity})
	x.Observe(0, "far", Report{Status: Status{Incarnation: 1, Revision: 5}, Validity: 3 * time.Second})
	c.Check(x.LatestRevision(), qt.Equals, ident.Revision(7))
	c.Check(x.Fresh(ReportInterval), qt.Equals, 2)
	c.Check(x.Fresh(2*ReportInterval), qt.Equals, 1)
	c.Check(x.Fresh(2*time.Second), qt.Equals, 0)
	c.Check(x.Live(2*time.Second), qt.HasLen, 1)
}
