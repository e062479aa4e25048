package peers

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/member"
)

// Guards against requests that are handed on to a host that can't serve them, and against what a host said for a time, or in an
// earlier process, that counts for ever.
func TestReaching(t *testing.T) {
	const service, other, zone = 7, 8, 3
	c := qt.New(t)
	tb := NewTable()
	tb.SetSelf("self", zone)
	report := func(addr member.Addr, change func(*Status)) {
		s := Status{Incarnation: 1, Ready: true, Zone: zone, Config: 5}
		change(&s)
		tb.Observe(0, addr, Report{Status: s, Validity: time.Hour})
	}
	report("far", func(s *Status) { s.Zone = 4 })
	for name, change := range map[member.Addr]func(*Status){
		"near": func(*Status) {}, "new": func(s *Status) { s.Config = 6 }, "old": func(s *Status) { s.Config = 4 },
		"stopping": func(s *Status) { s.Leaving = true }, "starting": func(s *Status) { s.Ready = false },
		"isolated": func(*Status) {}, "other": func(*Status) {}, "restarted": func(s *Status) { s.Incarnation = 2 },
	} {
		report(name, change)
	}
	tb.ObserveReach(0, "isolated", 1, Reach{Unreachable: []uint32{other, service}, Validity: time.Second})
	tb.ObserveReach(0, "other", 1, Reach{Unreachable: []uint32{other}, Validity: time.Second})
	tb.ObserveReach(0, "restarted", 1, Reach{Unreachable: []uint32{service}, Validity: time.Second})
	for at, want := range map[time.Duration][][]string{
		time.Second / 2: {{"near", "new", "other", "restarted"}, {"far"}, {"old"}},
		time.Second:     {{"isolated", "near", "new", "other", "restarted"}, {"far"}, {"old"}},
	} {
		var got [][]string // by rank
		var last *Peer
		for _, p := range tb.Reaching(at, service, 5) {
			if last == nil || !tb.SameRank(last, p, 5) {
				got = append(got, nil)
			}
			got[len(got)-1] = append(got[len(got)-1], string(p.Addr))
			last = p
		}
		for _, names := range got {
			slices.Sort(names)
		}
		c.Check(got, qt.DeepEquals, want, qt.Commentf("at %v", at))
	}
}
