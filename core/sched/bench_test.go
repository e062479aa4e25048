package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// BenchmarkRequest measures the four steps of one short request beside 20 running ones per engine, with
// and without a queue of batch attempts that cannot be placed.
func BenchmarkRequest(b *testing.B) {
	for _, engines := range []int{4, 20, 200} {
		for _, waiting := range []int{0, 1000} {
			b.Run(fmt.Sprintf("engines=%d/waiting=%d", engines, waiting), func(b *testing.B) { benchRequest(b, engines, waiting) })
		}
	}
}

func benchRequest(b *testing.B, engines, waiting int) {
	list := testEngines(engines)
	for i := range list {
		list[i].MemoryTokens = 400_000
	}
	s := New(Config{Issuer: "d1", Incarnation: 7, ReportMaxAge: never})
	s.Step(0, EnginesChanged{Engines: list})
	for _, e := range list {
		r := report(e.ID, 1, 0)
		r.Report.MemoryTokens = 400_000
		s.Step(0, r)
	}
	n := uint64(0)
	for range 20 * engines {
		n++
		for _, x := range actionsOf[Send](s.Step(0, submit(n, ident.Interactive, 1000, 100, never/4))) {
			s.Step(0, FirstToken{x.Session, 1})
		}
	}
	for range waiting + 2*engines {
		n++
		s.Step(0, submit(n, ident.Batch, 300_000, 1000, 100*time.Hour))
	}
	b.ReportAllocs()
	for b.Loop() {
		n++
		x := actionsOf[Send](s.Step(0, submit(n, ident.Interactive, 1000, 100, never/4)))[0]
		s.Step(0, EngineAccepted{x.Session})
		s.Step(0, FirstToken{x.Session, 1})
		s.Step(0, EngineEnded{Session: x.Session, Count: 100})
		s.holds[x.Session].stateChangedAt = -never / 2 // as if a report had confirmed the end
		s.drop(s.holds[x.Session])
	}
}

// BenchmarkRunning measures the cost of running streams for the dispatcher that owns the engines: a
// TokenProgress step, the report of an engine with all its sessions, and the status that membership
// gets. Engines run 50 streams each.
func BenchmarkRunning(b *testing.B) {
	for _, engines := range []int{4, 12, 48} {
		s, ids := runningStreams(engines, 50*engines)
		b.Run(fmt.Sprintf("progress/engines=%d", engines), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				s.Step(0, TokenProgress{Session: ids[i%len(ids)], Count: 2 + i/len(ids)})
			}
		})
		b.Run(fmt.Sprintf("status/engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				s.Status()
			}
		})
		b.Run(fmt.Sprintf("report/engines=%d", engines), func(b *testing.B) {
			list := make([]backendapi.Session, 50)
			for i := range list {
				list[i] = backendapi.Session{Session: string(ids[i]), Issuer: "d1", Incarnation: "7", ReservedTokens: 1100, RemainingMS: 1 << 40}
			}
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * time.Millisecond
				r := report("e1", uint64(i+2), now)
				r.Report.MemoryTokens, r.Report.Sessions = 400_000, list
				s.Step(now, r)
			}
		})
	}
}

func runningStreams(engines, streams int) (*Scheduler, []SessionID) {
	list := testEngines(engines)
	s := New(Config{Issuer: "d1", Incarnation: 7, ReportMaxAge: never})
	for i := range list {
		list[i].MemoryTokens = 400_000
	}
	s.Step(0, EnginesChanged{Engines: list})
	for _, e := range list {
		r := report(e.ID, 1, 0)
		r.Report.MemoryTokens = 400_000
		s.Step(0, r)
	}
	var ids []SessionID
	for n := range streams {
		for _, x := range actionsOf[Send](s.Step(0, submit(uint64(n+1), ident.Interactive, 1000, 100, never/4))) {
			s.Step(0, FirstToken{x.Session, 1})
			ids = append(ids, x.Session)
		}
	}
	return s, ids
}
