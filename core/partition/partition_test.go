package partition

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// fleet returns nodes that are spread evenly over availability zones.
func fleet(kind string, n, zones int) []Node {
	var out []Node
	for i := range n {
		out = append(out, Node{ID: fmt.Sprintf("%s-%d", kind, i), Zone: uint32(i % zones)})
	}
	return out
}

// Guards against a partition that gets fewer hosts or engines than the others, whose callers it then serves worse, and
// against an engine that no host places requests on.
func TestPartitionsAreEqualParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		hosts := fleet("host", rapid.IntRange(zones, 400).Draw(t, "hosts"), zones)
		engines := fleet("engine", rapid.IntRange(1, 400).Draw(t, "engines"), zones)
		p := New(hosts, map[string][]Node{"models": engines})
		if p.Count() > 1 && (len(engines)/p.Count() < minEngines || len(hosts)/p.Count() < minHosts) {
			t.Fatalf("%d partitions of %d hosts and %d engines", p.Count(), len(hosts), len(engines))
		}
		hostsIn, enginesIn := map[int]int{}, map[int]int{}
		for _, h := range hosts {
			hostsIn[p.OfHost(h.ID)]++
		}
		for _, e := range engines {
			for part := range p.Count() {
				if p.HasEngine(part, e.ID) {
					enginesIn[part]++
				}
			}
		}
		for part := range p.Count() {
			if d := hostsIn[part] - len(hosts)/p.Count(); d < 0 || d > 1 {
				t.Fatalf("partition %d of %d has %d of %d hosts", part, p.Count(), hostsIn[part], len(hosts))
			}
			if d := enginesIn[part] - len(engines)/p.Count(); d < 0 || d > 1 {
				t.Fatalf("partition %d of %d has %d of %d engines", part, p.Count(), enginesIn[part], len(engines))
			}
		}
	})
}

// Guards against partitions that all change when one host starts, stops or is not heard by some of the others: hosts
// would place requests on engines whose load they do not know.
func TestPartitionsChangeLittleWithOneHost(t *testing.T) {
	c := qt.New(t)
	hosts, services := fleet("host", 95, 5), map[string][]Node{"models": fleet("engine", 172, 5)}
	before := New(hosts, services)
	c.Assert(before.Count(), qt.Equals, 4)
	for lost := range hosts {
		after := New(append(append([]Node{}, hosts[:lost]...), hosts[lost+1:]...), services)
		for e := range 172 {
			id := fmt.Sprintf("engine-%d", e)
			c.Assert(after.OfEngine(id), qt.Equals, before.OfEngine(id))
		}
		moved := 0
		for i, h := range hosts {
			if i != lost && after.OfHost(h.ID) != before.OfHost(h.ID) {
				moved++
			}
		}
		c.Assert(moved < before.Count(), qt.IsTrue, qt.Commentf("without %s, %d hosts moved", hosts[lost].ID, moved))
	}
}

// Guards against hosts that place requests only on engines of an availability zone that they cannot reach.
func TestSilentZoneEndsPartitions(t *testing.T) {
	c := qt.New(t)
	var reachable []Node
	for _, h := range fleet("host", 95, 5) {
		if h.Zone < 2 {
			reachable = append(reachable, h)
		}
	}
	p := New(reachable, map[string][]Node{"models": fleet("engine", 172, 5)})
	c.Assert(p.Count(), qt.Equals, 1)
	c.Assert(p.HasEngine(0, "engine-4"), qt.IsTrue)
}

// Guards against a small service whose few engines are divided beside those of a large one.
func TestSmallServiceIsShared(t *testing.T) {
	c := qt.New(t)
	p := New(fleet("host", 95, 5), map[string][]Node{"large": fleet("engine", 172, 5), "small": fleet("little", 6, 5)})
	for part := range p.Count() {
		c.Assert(p.HasEngine(part, "little-3"), qt.IsTrue)
	}
	c.Assert(p.OfEngine("little-3"), qt.Equals, Undivided)
	c.Assert(p.OfEngine("engine-3"), qt.Not(qt.Equals), Undivided)
}
