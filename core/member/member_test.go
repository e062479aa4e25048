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
func TestTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "per zone")*zones, zones)
		sim.run(5 * time.Second)
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			i := rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")
			n := sim.nodes[i]
			switch rapid.SampledFrom([]string{"loss", "partition", "pause", "stop", "restart", "leave", "duplicate"}).Draw(t, "fault") {
			case "loss":
				percent := rapid.IntRange(1, 60).Draw(t, "percent")
				sim.drop = func(int, int) bool { return sim.rng.Intn(100) < percent }
			case "partition":
				cut := rapid.IntRange(1, len(sim.nodes)-1).Draw(t, "cut")
				sim.drop = func(a, b int) bool { return (a < cut) != (b < cut) }
			case "pause":
				n.paused = true
			case "stop":
				n.down = true
			case "restart":
				n.down = true
				sim.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "down ms")) * time.Millisecond)
				sim.start(i)
			case "leave":
				sim.step(i, UpdateLocal{Local: LocalState{Leaving: true}})
			case "duplicate":
				sim.copies = func() int { return 1 + sim.rng.Intn(3) }
			}
			sim.run(time.Duration(rapid.IntRange(100, 9000).Draw(t, "fault ms")) * time.Millisecond)
			n.paused = false
		}
		sim.drop = func(int, int) bool { return false }
		sim.copies = func() int { return 1 }
		// Convergence takes a suspicion timeout, rejoin attempts to several dead members, and Syncs.
		for range 24 {
			if sim.run(5 * time.Second); sim.tableMismatch() == "" {
				return
			}
		}
		t.Fatalf("membership tables still differ 120 s after the faults: %s", sim.tableMismatch())
	})
}

// Guards against live processes that are declared dead because of pauses, duplicates or reordering while
// no datagram is lost. The pauses are shorter than the time after which a process that does not answer is
// rightly declared dead.
func TestNoFalseDeathWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), rapid.IntRange(2, 9).Draw(t, "nodes"), 2)
		sim.delay = time.Duration(rapid.IntRange(1, 80).Draw(t, "delay ms")) * time.Millisecond
		sim.copies = func() int { return 1 + sim.rng.Intn(2) }
		sim.run(5 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "pauses") {
			n := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "node")]
			n.paused = true
			sim.run(time.Duration(rapid.IntRange(50, 2500).Draw(t, "pause ms")) * time.Millisecond)
			n.paused = false
			sim.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "rest ms")) * time.Millisecond)
		}
		sim.run(10 * time.Second)
		if sim.lost != 0 {
			t.Fatalf("%d datagrams were lost, so the property does not apply", sim.lost)
		}
		for _, n := range sim.nodes {
			if len(n.seenDead) > 0 {
				t.Fatalf("%s recorded live members as dead: %v", n.cfg.Self, n.seenDead)
			}
		}
	})
}

// Guards against a process that declares others dead when it resumes after a long pause, because its
// probes timed out during the pause, and that does not refute its own death if the others declared it dead.
func TestLongPauseDeclaresNobodyDead(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 10 * time.Second, 2 * time.Minute} {
		c := qt.New(t)
		sim := newSimulation(int64(pause), 6, 1)
		sim.run(10 * time.Second)
		sim.nodes[2].paused = true
		sim.run(pause)
		sim.nodes[2].paused = false
		sim.run(30 * time.Second)
		c.Check(sim.nodes[2].seenDead, qt.HasLen, 0, qt.Commentf("pause %v", pause))
		c.Check(sim.tableMismatch(), qt.Equals, "")
	}
}

// Guards against leaving updates that take longer than 3 s to reach every process in all availability
// zones when 10 % of the datagrams are lost. A backend server and a process leave; any process may learn it
// first.
func TestLeavingSpreadsWithin3s(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Int64().Draw(t, "seed"), 18, 3)
		sim.run(20 * time.Second)
		sim.drop = func(int, int) bool { return sim.rng.Intn(10) == 0 }
		informed := rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "first informed")
		leaver := sim.nodes[rapid.IntRange(0, len(sim.nodes)-1).Draw(t, "leaver")].cfg.Self
		start := sim.now
		sim.step(informed, MarkLeaving{Name: "engine-7"})
		sim.step(informed, MarkLeaving{Name: string(leaver)})
		sim.run(3 * time.Second)
		for _, n := range sim.nodes {
			for _, name := range []string{"engine-7", string(leaver)} {
				if _, ok := n.learned[name]; !ok || !n.m.Leaving(sim.now, name) {
					t.Fatalf("%s did not learn within %v that %s is leaving", n.cfg.Self, sim.now-start, name)
				}
			}
		}
	})
}

// Guards against a leaving mark that never expires, for example because members keep renewing each
// other's copies. A backend server that has returned must get requests again.
func TestLeavingMarkExpires(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(1, 6, 2)
	sim.run(10 * time.Second)
	sim.step(0, MarkLeaving{Name: "engine-7"})
	sim.run(3 * time.Second)
	c.Assert(sim.nodes[5].m.Leaving(sim.now, "engine-7"), qt.IsTrue)
	sim.run(LeavingMarkTTL + 3*time.Second)
	for _, n := range sim.nodes {
		c.Assert(n.m.Leaving(sim.now, "engine-7"), qt.IsFalse)
	}
}

// Guards against a failed process that stays alive in the membership tables or remains a delegate, and
// against two delegates on one host.
func TestDeadMemberAndDelegates(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(3, 8, 2)
	sim.run(20 * time.Second)
	before := sim.nodes[0].m.Delegates("z1")
	c.Assert(before, qt.HasLen, 2)
	for _, n := range sim.nodes {
		c.Assert(n.m.Delegates("z1"), qt.DeepEquals, before)
		n.down = n.cfg.Self == before[0]
	}
	sim.run(12 * time.Second)
	c.Assert(sim.tableMismatch(), qt.Equals, "")
	c.Assert(sim.nodes[0].m.Delegates("z1")[0], qt.Equals, before[1])
	c.Assert(sim.nodes[0].m.Reachable(sim.now, before[0]), qt.IsFalse)
}

// Guards against load, demand and versions that do not reach other availability zones, or that are
// counted twice.
func TestLoadTeamsAndVersionsSpread(t *testing.T) {
	c := qt.New(t)
	sim := newSimulation(4, 6, 2)
	for i := range sim.nodes {
		sim.step(i, UpdateLocal{Local: LocalState{
			Config: ConfigVersion{Version: ident.Version(10 + i/5), Digest: 7},
			Hosts:  uint64(i),
			Load:   []ModelLoad{{Model: "m", FreeTokens: 100, QueueDelay: time.Duration(i+1) * time.Second}},
			Teams:  []TeamDemand{{Team: "big", Demand: 2}, {Team: ident.Team(fmt.Sprintf("t%d", i)), Demand: 1}},
		}})
	}
	sim.run(40 * time.Second)
	for _, n := range sim.nodes {
		c.Check(n.m.Load("z0"), qt.DeepEquals, []ModelLoad{{Model: "m", FreeTokens: 300, QueueDelay: time.Second}})
		c.Check(n.m.Load("z1"), qt.DeepEquals, []ModelLoad{{Model: "m", FreeTokens: 300, QueueDelay: 2 * time.Second}})
		teams := n.m.Teams()
		c.Assert(teams, qt.HasLen, 7)
		c.Check(teams[0], qt.Equals, TeamDemand{Team: "big", Demand: 12})
	}
	config, from, hosts, hostsFrom := sim.nodes[1].m.NewestVersions()
	c.Check(config, qt.Equals, ConfigVersion{Version: 11, Digest: 7})
	c.Check(from, qt.Equals, sim.nodes[5].cfg.Self)
	c.Check(hosts, qt.Equals, uint64(5))
	c.Check(hostsFrom, qt.Equals, sim.nodes[5].cfg.Self)
}

// Guards against a missing ConfigSeen for a higher configuration version, or for the same version with
// another digest.
func TestConfigSeen(t *testing.T) {
	c := qt.New(t)
	m := New(Config{Self: "h/gateway", Zone: "z", Addr: "a", Incarnation: 1}, rand.New(rand.NewSource(1)), 0)
	m.Step(0, UpdateLocal{Local: LocalState{Config: ConfigVersion{Version: 5, Digest: 50}}})
	seen := func(config ConfigVersion) (n int) {
		head := Head{ID: "o/gateway", Zone: "z", Addr: "b", Incarnation: 2, Config: config}
		for _, a := range m.Step(10*time.Millisecond, Received{From: "b", Msg: &Ack{Head: head}}) {
			if s, ok := a.(ConfigSeen); ok && s.Config == config && s.From == "o/gateway" {
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
		sim := newSimulation(9, 9, 3)
		sim.drop = func(int, int) bool { return sim.rng.Intn(5) == 0 }
		s := ""
		for range 40 {
			sim.run(500 * time.Millisecond)
			s += fmt.Sprint(len(sim.inFlight), sim.lost, sim.nodes[3].m.Members(), "\n")
		}
		return s
	}
	qt.Assert(t, trace(), qt.Equals, trace())
}
