package member

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// simulation runs machines on a simulated clock and network. Tests set drop and copies to lose and
// duplicate datagrams.
type simulation struct {
	now      time.Duration
	nodes    []*node
	inFlight []datagram
	rng      *rand.Rand
	delay    time.Duration // maximum transit time; it is randomized, which reorders datagrams
	drop     func(from, to int) bool
	copies   func() int
	lost     int // datagrams dropped by drop
}

type node struct {
	m        *Machine
	cfg      Config
	paused   bool
	down     bool
	seenDead map[ID]bool // members that this node ever declared dead or received as dead
	learned  map[string]time.Duration
	starts   int
}

type datagram struct {
	at       time.Duration
	from, to int
	msg      Message
}

func newSimulation(seed int64, count, zones int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), delay: 20 * time.Millisecond}
	sim.drop = func(int, int) bool { return false }
	sim.copies = func() int { return 1 }
	for i := range count {
		sim.nodes = append(sim.nodes, &node{cfg: Config{
			Self: MakeID(ident.HostID(fmt.Sprintf("h%d", i)), "gateway"),
			Zone: ident.Zone(fmt.Sprintf("z%d", i%zones)),
			Addr: Addr(fmt.Sprintf("a%d", i)),
		}})
		sim.start(i)
	}
	return sim
}

// start starts the process of a node with a new incarnation.
func (sim *simulation) start(i int) {
	n := sim.nodes[i]
	n.starts++
	n.down, n.paused = false, false
	n.seenDead, n.learned = map[ID]bool{}, map[string]time.Duration{}
	n.cfg.Incarnation = ident.Incarnation(sim.rng.Uint64() | 1)
	n.cfg.StartedMS = uint64(sim.now.Milliseconds())
	n.m = New(n.cfg, rand.New(rand.NewSource(sim.rng.Int63())), sim.now)
	var seeds []Seed
	for _, o := range sim.nodes {
		seeds = append(seeds, Seed{Addr: o.cfg.Addr})
	}
	for k := range sim.nodes { // earlier nodes learn of later hosts from the host list
		sim.step(k, Seeds{Seeds: seeds})
	}
}

func (sim *simulation) step(i int, ev Event) {
	n := sim.nodes[i]
	if n.m == nil || n.down || n.paused {
		return
	}
	for _, a := range n.m.Step(sim.now, ev) {
		switch a := a.(type) {
		case Send:
			sim.transmit(i, a)
		case MemberChanged:
			if a.Member.State == Dead {
				n.seenDead[a.Member.ID] = true
			}
		case LeavingLearned:
			n.learned[a.Name] = sim.now
		}
	}
}

func (sim *simulation) transmit(from int, s Send) {
	for to, n := range sim.nodes {
		if n.cfg.Addr != s.To {
			continue
		}
		if sim.drop(from, to) {
			sim.lost++
			return
		}
		for range sim.copies() {
			at := sim.now + time.Millisecond + time.Duration(sim.rng.Int63n(int64(sim.delay)))
			sim.inFlight = append(sim.inFlight, datagram{at: at, from: from, to: to, msg: s.Msg})
		}
	}
}

// run advances the time in steps of 10 ms. Each node gets a Tick every 100 ms. Datagrams for a paused node
// are held back, those for a stopped node are lost.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; sim.now += 10 * time.Millisecond {
		var due []datagram
		kept := sim.inFlight[:0]
		for _, l := range sim.inFlight {
			if l.at <= sim.now && !sim.nodes[l.to].paused {
				due = append(due, l)
			} else {
				kept = append(kept, l)
			}
		}
		sim.inFlight = kept
		sim.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
		for _, l := range due {
			sim.step(l.to, Received{From: sim.nodes[l.from].cfg.Addr, Msg: l.msg})
		}
		for i := range sim.nodes {
			if (int(sim.now/(10*time.Millisecond))+i)%10 == 0 {
				sim.step(i, Tick{})
			}
		}
	}
}

func (sim *simulation) zoneIsDown(zone ident.Zone) bool {
	for _, n := range sim.nodes {
		if n.cfg.Zone == zone && !n.down {
			return false
		}
	}
	return true
}

// tableMismatch returns a difference between a node's membership table and the actual state, or "".
// Processes are declared dead only within their own availability zone, so the processes of a zone that
// has stopped entirely must count as unreachable instead.
func (sim *simulation) tableMismatch() string {
	for _, n := range sim.nodes {
		if n.down {
			continue
		}
		for _, o := range sim.nodes {
			r, known := n.m.Lookup(o.cfg.Self)
			switch {
			case o.down && known && r.State != Dead && sim.zoneIsDown(o.cfg.Zone) && !n.m.Reachable(sim.now, r.ID):
			case o.down && known && r.State != Dead:
				return fmt.Sprintf("%s has stopped member %s in state %d", n.cfg.Self, o.cfg.Self, r.State)
			case !o.down && (!known || r.State != Alive || r.Incarnation != o.cfg.Incarnation):
				return fmt.Sprintf("%s has a wrong record of live member %s: known %v, %+v", n.cfg.Self, o.cfg.Self, known, r)
			case !o.down && r.Leaving != o.m.Self().Leaving:
				return fmt.Sprintf("%s has %s with leaving %v", n.cfg.Self, o.cfg.Self, r.Leaving)
			}
		}
	}
	return ""
}
