package owner

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// groupsPerDispatcher is about the mean for 3,700 servers in groups of four and 340 dispatchers.
const groupsPerDispatcher = 3

func makeCluster(n, zones int) ([]Candidate, []Group) {
	var cands []Candidate
	var groups []Group
	for i := range n {
		zone := ident.Zone(fmt.Sprintf("z%d", i%zones))
		region := fmt.Sprintf("r%d", i%zones/3)
		cands = append(cands, Candidate{Host: ident.HostID(fmt.Sprintf("host%d", i)), Zone: zone, Region: region})
		for j := range groupsPerDispatcher {
			groups = append(groups, Group{Name: fmt.Sprintf("group%d-%d", i, j), Zone: zone, Region: region})
		}
	}
	return cands, groups
}

// Guards against groups that do not have exactly one owner, and against owners outside the availability
// zone or region of the group while a candidate exists there.
func TestOf(t *testing.T) {
	c := qt.New(t)
	cands, groups := makeCluster(60, 6)
	owned := 0
	for _, cd := range cands {
		owned += len(Owned(cd.Host, groups, cands))
	}
	c.Assert(owned, qt.Equals, len(groups))
	for _, g := range groups {
		h, _ := Of(g, cands)
		i := slices.IndexFunc(cands, func(c Candidate) bool { return c.Host == h })
		c.Assert(cands[i].Zone, qt.Equals, g.Zone)
	}
	rest := slices.DeleteFunc(slices.Clone(cands), func(c Candidate) bool { return c.Zone == "z0" })
	for _, g := range groups {
		h, _ := Of(g, rest)
		i := slices.IndexFunc(rest, func(c Candidate) bool { return c.Host == h })
		c.Assert(rest[i].Region, qt.Equals, g.Region)
	}
	_, ok := Of(Group{Name: "g", Region: "elsewhere"}, cands)
	c.Assert(ok, qt.IsFalse)
}

// Guards against the removal of one host changing the owners of the groups of other hosts, and against
// uneven shares.
func TestHostRemovalMovesOnlyItsGroups(t *testing.T) {
	c := qt.New(t)
	cands, groups := makeCluster(340, 16)
	rest := slices.Delete(slices.Clone(cands), 7, 8)
	counts := map[ident.HostID]int{}
	for _, g := range groups {
		before, _ := Of(g, cands)
		after, _ := Of(g, rest)
		counts[before]++
		if before != cands[7].Host {
			c.Assert(after, qt.Equals, before)
		}
	}
	for _, n := range counts {
		c.Assert(n <= 5*groupsPerDispatcher, qt.IsTrue)
	}
}

// Guards against salts without effect, which would assign all roles to the same hosts.
func TestPickBySalt(t *testing.T) {
	c := qt.New(t)
	cands, _ := makeCluster(340, 16)
	same := 0
	for z := range 16 {
		zone := ident.Zone(fmt.Sprintf("z%d", z))
		w, d := Pick(SaltWatcher, zone, cands, 2), Pick(SaltDelegate, zone, cands, 2)
		c.Assert(w, qt.HasLen, 2)
		c.Assert(w[0] == w[1], qt.IsFalse)
		if slices.Equal(w, d) {
			same++
		}
	}
	c.Assert(same <= 2, qt.IsTrue)
	c.Assert(Pick(SaltWatcher, "z0", cands[:1], 2), qt.HasLen, 1)
}

func BenchmarkOwned(b *testing.B) {
	for _, n := range []int{6, 60, 340} {
		b.Run(fmt.Sprintf("dispatchers=%d", n), func(b *testing.B) {
			cands, groups := makeCluster(n, 16)
			b.ReportAllocs()
			for b.Loop() {
				Owned("host1", groups, cands)
			}
			most := 0
			for _, d := range cands {
				most = max(most, len(Owned(d.Host, groups, cands)))
			}
			b.ReportMetric(float64(most)/groupsPerDispatcher, "largest/mean")
		})
	}
}
