package sched

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

func testEngines(n int) []Engine {
	var list []Engine
	for i := range n {
		list = append(list, Engine{
			ID: ident.BackendID(fmt.Sprintf("e%d", i)), Group: fmt.Sprintf("g%d", i/4), Model: "m", MemoryTokens: 10_000,
		})
	}
	return list
}

func testConfig(p Policy) Config {
	return Config{
		Issuer: "d1", Incarnation: 7, Policy: p, QueueLength: 12, LongPromptTokens: 2000,
		LongPrefillTokens: 6000, PrefillTokensPerS: 100_000, AgeingLimit: 2 * time.Second,
	}
}

// TestSchedulerInvariants guards against leaked or overcommitted memory, attempts that end twice, late
// or never, gangs that keep some of their reservations, and "not run" refusals of attempts that were
// sent. Faults occur in any order and can overlap.
func TestSchedulerInvariants(t *testing.T) {
	for _, p := range []Policy{Predict, RoundRobin, LeastOutstanding} {
		t.Run(string(p), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { runRandomSimulation(t, p) })
		})
	}
}

func runRandomSimulation(t *rapid.T, p Policy) {
	all := testEngines(rapid.IntRange(1, 8).Draw(t, "engines"))
	w := newSimulation(testConfig(p), all...)
	ops := simulationOps(all)
	var next uint64
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		op := rapid.IntRange(0, len(ops)-1).Draw(t, "op")
		ops[op](t, w, &next)
		if rapid.IntRange(0, 4).Draw(t, "both") > 0 { // else the next operation comes at the same instant
			w.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		}
		if len(w.errs) > 0 {
			t.Fatal(w.errorSummary())
		}
	}
	w.step(EnginesChanged{Engines: all})
	w.quiesce(75 * time.Second)
	for id, x := range w.attempts {
		if x.ends != 1 {
			w.fail("%v ended %d times", id, x.ends)
		}
	}
	if len(w.errs) > 0 {
		t.Fatal(w.errorSummary())
	}
}

type simulationOp func(t *rapid.T, w *simulation, next *uint64)

func drawEngine(t *rapid.T, w *simulation) *fakeEngine {
	return w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")]
}

func simulationOps(all []Engine) []simulationOp {
	submit := func(t *rapid.T, w *simulation, next *uint64) {
		for range rapid.IntRange(1, 5).Draw(t, "burst") {
			*next++
			w.step(Submit{
				Attempt: AttemptID{Gateway: "g", Incarnation: 1, Number: *next}, Model: "m",
				Class:           ident.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				PromptTokens:    rapid.OneOf(rapid.IntRange(1, 3000), rapid.IntRange(3000, 30_000)).Draw(t, "prompt"),
				MaxOutputTokens: rapid.IntRange(1, 1500).Draw(t, "output"),
				Deadline:        w.now + time.Duration(rapid.IntRange(0, 60_000).Draw(t, "deadline"))*time.Millisecond,
				Prefix:          rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "prefix"),
			})
		}
	}
	return []simulationOp{
		submit, submit, submit,
		func(t *rapid.T, w *simulation, next *uint64) { // the caller disconnects
			if *next > 0 {
				n := rapid.Uint64Range(1, *next).Draw(t, "attempt")
				w.step(Cancelled{AttemptID{Gateway: "g", Incarnation: 1, Number: n}})
			}
		},
		func(t *rapid.T, w *simulation, _ *uint64) { w.lostCancels += rapid.IntRange(1, 4).Draw(t, "lost") },
		func(t *rapid.T, w *simulation, _ *uint64) { w.lostExports++ },
		func(t *rapid.T, w *simulation, _ *uint64) { w.kill(drawEngine(t, w)) },
		func(t *rapid.T, w *simulation, _ *uint64) { drawEngine(t, w).dead = false },
		func(t *rapid.T, w *simulation, _ *uint64) { e := drawEngine(t, w); e.leaving = !e.leaving },
		func(t *rapid.T, w *simulation, _ *uint64) { // an engine's host is permanently removed, with its memory
			e := drawEngine(t, w)
			w.kill(e)
			e.hostLosses++
			w.step(EngineGone{Engine: e.cfg.ID})
		},
		func(t *rapid.T, w *simulation, _ *uint64) { e := drawEngine(t, w); e.hanging = !e.hanging },
		func(t *rapid.T, w *simulation, _ *uint64) {
			w.lag = time.Duration(rapid.IntRange(0, 8000).Draw(t, "lag")) * time.Millisecond
		},
		func(t *rapid.T, w *simulation, _ *uint64) { w.reportNow(drawEngine(t, w)) },
		func(t *rapid.T, w *simulation, _ *uint64) {
			for _, e := range w.engines {
				w.reportNow(e)
			}
		},
		func(t *rapid.T, w *simulation, _ *uint64) { // ownership moves away from, or back to, some engines
			w.step(EnginesChanged{Engines: all[:rapid.IntRange(0, len(all)).Draw(t, "owned")]})
		},
		func(t *rapid.T, w *simulation, _ *uint64) { // the process is stopped for a while
			w.pause(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
		},
		func(t *rapid.T, w *simulation, _ *uint64) { // another dispatcher uses the engine
			e := drawEngine(t, w)
			inc := ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))
			host := rapid.SampledFrom([]ident.HostID{"d1", "d2"}).Draw(t, "issuer")
			tokens := rapid.IntRange(1, 4000).Draw(t, "tokens")
			if !e.dead && e.used()+tokens <= e.cfg.MemoryTokens {
				id := NewSessionID(host, inc, uint64(w.now))
				e.sessions[id] = &fakeSession{tokens: tokens, deadline: w.now + 20*time.Second, issuer: string(host), inc: inc.String()}
			}
		},
		func(t *rapid.T, w *simulation, _ *uint64) {
			w.step(IssuerSeen{Issuer: "d2", Incarnation: ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation"))})
		},
	}
}
