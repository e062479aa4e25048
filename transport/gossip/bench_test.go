package gossip

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

var fleets = []struct{ hosts, zones, regions int }{{6, 3, 1}, {60, 16, 5}, {340, 16, 5}}

// BenchmarkFleet measures one second of the membership protocol in a running fleet: the CPU time per process,
// including the codec, and the bytes per host.
func BenchmarkFleet(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprintf("hosts=%d", n.hosts), func(b *testing.B) {
			f := newFleet(qt.New(b), n.hosts, n.zones, n.regions)
			f.run(60 * time.Second)
			f.resetCounts()
			start, took := f.now, time.Now()
			for b.Loop() {
				f.run(time.Second)
			}
			seconds, sum := (f.now - start).Seconds(), 0
			for _, s := range f.sent {
				sum += s
			}
			b.ReportMetric(float64(time.Since(took).Nanoseconds())/seconds/float64(2*n.hosts), "ns/process-s")
			b.ReportMetric(float64(sum)/seconds/float64(n.hosts), "B/host-s")
		})
	}
}

// BenchmarkRead measures the reads that a process makes from the membership machine: the loads of all availability
// zones ten times a second, the teams with the highest demand once a second and the members after each change.
func BenchmarkRead(b *testing.B) {
	for _, n := range fleets {
		f := newFleet(qt.New(b), n.hosts, n.zones, n.regions)
		f.run(60 * time.Second)
		m := f.machines[0]
		b.Run(fmt.Sprintf("loads/hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				for z := range n.zones {
					m.Load(ident.Zone(fmt.Sprintf("be-zone-%02d", z)))
				}
			}
		})
		b.Run(fmt.Sprintf("teams/hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				m.Teams()
			}
		})
		b.Run(fmt.Sprintf("members/hosts=%d", n.hosts), func(b *testing.B) {
			for b.Loop() {
				m.Members()
			}
		})
	}
}

// BenchmarkSpread measures in virtual time how long a configuration version takes to reach all processes, starting
// from two watchers in each availability zone. A process announces a version half a second after it learns of it.
func BenchmarkSpread(b *testing.B) {
	for _, n := range fleets {
		b.Run(fmt.Sprintf("hosts=%d", n.hosts), func(b *testing.B) {
			f := newFleet(qt.New(b), n.hosts, n.zones, n.regions)
			f.run(60 * time.Second)
			var worst time.Duration
			for version := ident.Version(48_214); b.Loop(); version++ {
				worst = max(worst, f.spread(n.zones, version))
			}
			b.ReportMetric(worst.Seconds(), "worst-s")
		})
	}
}

func (f *fleet) spread(zones int, version ident.Version) time.Duration {
	const publish = 500 * time.Millisecond // fetch and publication at a process
	start, learnedAt := f.now, map[int]time.Duration{}
	for i := range 2 * zones {
		learnedAt[i] = start
	}
	for len(learnedAt) < len(f.machines) || f.now == start {
		for i, m := range f.machines {
			if at, ok := learnedAt[i]; ok && f.now == at {
				l := local(i)
				l.Config = member.ConfigVersion{Version: version, Digest: uint64(version)}
				f.step(i, member.UpdateLocal{Local: l})
			} else if c, _, _, _ := m.NewestVersions(); !ok && c.Version >= version {
				learnedAt[i] = f.now + publish
			}
		}
		f.run(100 * time.Millisecond)
	}
	return f.now - start
}
