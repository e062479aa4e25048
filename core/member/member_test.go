package member

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"pgregory.net/rapid"
)

// Guards against membership tables that do not converge after faults: lost, duplicated and reordered
// datagrams, partitions, pauses, stops, restarts under the same address and leaving processes.
func TestAllAgreeAfterFaultsStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		w := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "per zone")*zones, zones)
		w.run(5 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			n := w.nodes[i]
			switch rapid.SampledFrom([]string{"loss", "partition", "pause", "stop", "restart", "leave", "duplicate"}).Draw(t, "fault") {
			case "loss":
				percent := rapid.IntRange(1, 60).Draw(t, "percent")
				w.drop = func(int, int) bool { return w.rng.Intn(100) < percent }
			case "partition":
				cut := rapid.IntRange(1, len(w.nodes)-1).Draw(t, "cut")
				w.drop = func(a, b int) bool { return (a < cut) != (b < cut) }
			case "pause":
				n.paused = true
			case "stop":
				n.down = true
			case "restart":
				n.down = true
				w.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "down ms")) * time.Millisecond)
				w.start(i)
			case "leave":
				w.step(i, UpdateLocal{Local: LocalState{Leaving: true}})
			case "duplicate":
				w.copies = func() int { return 1 + w.rng.Intn(3) }
			}
			w.run(time.Duration(rapid.IntRange(100, 9000).Draw(t, "fault ms")) * time.Millisecond)
			n.paused = false
		}
		w.drop = func(int, int) bool { return false }
		w.copies = func() int { return 1 }
		// Convergence takes a suspicion timeout, rejoin attempts to several dead members, and Syncs.
		for range 24 {
			if w.run(5 * time.Second); w.tableMismatch() == "" {
				return
			}
		}
		t.Fatalf("membership tables still differ 120 s after the faults: %s", w.tableMismatch())
	})
}

// Guards against live processes that are declared dead because of pauses, duplicates or reordering while
// no datagram is lost. The pauses are shorter than the time after which a process that does not answer is
// rightly declared dead.
func TestNoDeathWithoutALostProbe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "nodes"), 2)
		w.delay = time.Duration(rapid.IntRange(1, 80).Draw(t, "delay ms")) * time.Millisecond
		w.copies = func() int { return 1 + w.rng.Intn(2) }
		w.run(5 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "pauses") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			n.paused = true
			w.run(time.Duration(rapid.IntRange(50, 2500).Draw(t, "pause ms")) * time.Millisecond)
			n.paused = false
			w.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest ms")) * time.Millisecond)
		}
		w.run(10 * time.Second)
		if w.lost != 0 {
			t.Fatalf("%d datagrams were lost, so the property does not apply", w.lost)
		}
		for _, n := range w.nodes {
			if len(n.seenDead) > 0 {
				t.Fatalf("%s recorded live members as dead: %v", n.cfg.Self, n.seenDead)
			}
		}
	})
}

// Guards against a process that declares others dead when it resumes after a long pause, because its
// probes timed out during the pause. The others may have declared it dead, which it must refute.
func TestLateWakeDeclaresNobodyDead(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 10 * time.Second, 2 * time.Minute} {
		c := qt.New(t)
		w := newSimulation(int64(pause), 6, 1)
		w.run(10 * time.Second)
		w.nodes[2].paused = true
		w.run(pause)
		w.nodes[2].paused = false
		w.run(30 * time.Second)
		c.Check(w.nodes[2].seenDead, qt.HasLen, 0, qt.Commentf("pause %v", pause))
		c.Check(w.tableMismatch(), qt.Equals, "")
	}
}

// Guards against leaving updates that take longer than 3 s to reach every process in all availability
// zones when 10 % of the datagrams are lost. A backend server and a process leave; any process may be the
// first to learn it.
func TestLeavingSpreadsWithin3s(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Int64().Draw(t, "seed"), 18, 3)
		w.run(20 * time.Second)
		w.drop = func(int, int) bool { return w.rng.Intn(10) == 0 }
		informed := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "first informed")
		leaver := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "leaver")].cfg.Self
		start := w.now
		w.step(informed, MarkLeaving{Name: "engine-7"})
		w.step(informed, MarkLeaving{Name: string(leaver)})
		w.run(3 * time.Second)
		for _, n := range w.nodes {
			for _, name := range []string{"engine-7", string(leaver)} {
				if _, ok := n.learned[name]; !ok || !n.m.Leaving(w.now, name) {
					t.Fatalf("%s did not learn within %v that %s is leaving", n.cfg.Self, w.now-start, name)
				}
			}
		}
	})
}

// Guards against a leaving mark that never expires, for example because members keep renewing each
// other's copies. A backend server that has returned must get requests again.
func TestMarkEnds(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(1, 6, 2)
	w.run(10 * time.Second)
	w.step(0, MarkLeaving{Name: "engine-7"})
	w.run(3 * time.Second)
	c.Assert(w.nodes[5].m.Leaving(w.now, "engine-7"), qt.IsTrue)
	w.run(LeavingMarkTTL + 3*time.Second)
	for _, n := range w.nodes {
		c.Assert(n.m.Leaving(w.now, "engine-7"), qt.IsFalse)
	}
}

// Guards against a failed process that stays alive in the membership tables or remains a delegate, and
// against two delegates on one host.
func TestDeadMemberAndDelegates(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(3, 8, 2)
	w.run(20 * time.Second)
	before := w.nodes[0].m.Delegates("z1")
	c.Assert(before, qt.HasLen, 2)
	for _, n := range w.nodes {
		c.Assert(n.m.Delegates("z1"), qt.DeepEquals, before)
		n.down = n.cfg.Self == before[0]
	}
	w.run(12 * time.Second)
	c.Assert(w.tableMismatch(), qt.Equals, "")
	c.Assert(w.nodes[0].m.Delegates("z1")[0], qt.Equals, before[1])
	c.Assert(w.nodes[0].m.Reachable(w.now, before[0]), qt.IsFalse)
}

// Guards against load, demand and versions that do not reach other availability zones, or that are
// counted twice.
func TestLoadTeamsAndVersionsSpread(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(4, 6, 2)
	for i := range w.nodes {
		w.step(i, UpdateLocal{Local: LocalState{
			Config: ConfigVersion{Version: ident.Version(10 + i/5), Digest: 7},
			Hosts:  uint64(i),
			Load:   []ModelLoad{{Model: "m", FreeTokens: 100, QueueDelay: time.Duration(i+1) * time.Second}},
			Teams:  []TeamDemand{{Team: "big", Demand: 2}, {Team: ident.Team(fmt.Sprintf("t%d", i)), Demand: 1}},
		}})
	}
	w.run(40 * time.Second)
	for _, n := range w.nodes {
		c.Check(n.m.Load("z0"), qt.DeepEquals, []ModelLoad{{Model: "m", FreeTokens: 300, QueueDelay: time.Second}})
		c.Check(n.m.Load("z1"), qt.DeepEquals, []ModelLoad{{Model: "m", FreeTokens: 300, QueueDelay: 2 * time.Second}})
		teams := n.m.Teams()
		c.Assert(teams, qt.HasLen, 7)
		c.Check(teams[0], qt.Equals, TeamDemand{Team: "big", Demand: 12})
	}
	mark, from, hosts, hostsFrom := w.nodes[1].m.NewestVersions()
	c.Check(mark, qt.Equals, ConfigVersion{Version: 11, Digest: 7})
	c.Check(from, qt.Equals, w.nodes[5].cfg.Self)
	c.Check(hosts, qt.Equals, uint64(5))
	c.Check(hostsFrom, qt.Equals, w.nodes[5].cfg.Self)
}

// Guards against a missing ConfigSeen for a higher configuration version, or for the same version with
// another digest.
func TestConfigSeen(t *testing.T) {
	c := qt.New(t)
	m := New(Config{Self: "h/gateway", Zone: "z", Addr: "a", Incarnation: 1}, rand.New(rand.NewSource(1)), 0)
	m.Step(0, UpdateLocal{Local: LocalState{Config: ConfigVersion{Version: 5, Digest: 50}}})
	seen := func(mark ConfigVersion) (n int) {
		head := Head{ID: "o/gateway", Zone: "z", Addr: "b", Incarnation: 2, Config: mark}
		for _, a := range m.Step(10*time.Millisecond, Received{From: "b", Msg: &Ack{Head: head}}) {
			if s, ok := a.(ConfigSeen); ok && s.Config == mark && s.From == "o/gateway" {
				n++
			}
		}
		return n
	}
	c.Check(seen(ConfigVersion{Version: 4, Digest: 40}), qt.Equals, 0)
	c.Check(seen(ConfigVersion{Version: 5, Digest: 50}), qt.Equals, 0)
	c.Check(seen(ConfigVersion{Version: 5, Digest: 51}), qt.Equals, 1)
	c.Check(seen(ConfigVersion{Version: 6, Digest: 60}), qt.Equals, 1)
	c.Check(seen(ConfigVersion{Version: 6, Digest: 60}), qt.Equals, 0) // at most once a second
}

// Guards against machines that behave differently on the same input, which would make failures
// impossible to reproduce.
func TestDeterministic(t *testing.T) {
	trace := func() string {
		w := newSimulation(9, 9, 3)
		w.drop = func(int, int) bool { return w.rng.Intn(5) == 0 }
		s := ""
		for range 40 {
			w.run(500 * time.Millisecond)
			s += fmt.Sprint(len(w.inFlight), w.lost, w.nodes[3].m.Members(), "\n")
		}
		return s
	}
	qt.Assert(t, trace(), qt.Equals, trace())
}
