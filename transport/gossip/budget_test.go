package gossip

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
)

// fleet runs membership machines in virtual time. Datagrams take 1 ms and pass through the real codec.
type fleet struct {
	c        *qt.C
	codec    *codec
	now      time.Duration
	machines []*member.Machine
	byAddr   map[member.Addr]int
	inFlight datagrams
	sent     []int // bytes per host
	received []int
	largest  int
	count    int
	byType   map[string]int // bytes sent
}

type datagram struct {
	at   time.Duration
	seq  int
	to   int
	from member.Addr
	m    member.Message
}

type datagrams []datagram

func (d datagrams) Len() int { return len(d) }
func (d datagrams) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d datagrams) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *datagrams) Push(x any)   { *d = append(*d, x.(datagram)) }
func (d *datagrams) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

const ipBytes = 28 // size of the IPv4 and UDP headers of a datagram

func addrOf(i int) member.Addr {
	return member.Addr(fmt.Sprintf("10.%d.%d.%d:7946", i>>16, i>>8&255, i&255))
}

// newFleet starts a gateway and a dispatcher on each host. Machine i runs on host i/2.
func newFleet(c *qt.C, hosts, zones, regions int) *fleet {
	f := &fleet{c: c, codec: newCodec(), byAddr: map[member.Addr]int{}, byType: map[string]int{}, sent: make([]int, hosts), received: make([]int, hosts)}
	var seeds []member.Seed
	for h := range hosts {
		seeds = append(seeds, member.Seed{Addr: addrOf(2 * h)})
	}
	for i := range 2 * hosts {
		h := i / 2
		z := h % zones
		role := []string{"gateway", "dispatcher"}[i%2]
		cfg := member.Config{Self: member.MakeID(ident.HostID(fmt.Sprintf("be-host-%04d", h)), role),
			Zone: ident.Zone(fmt.Sprintf("be-zone-%02d", z)), Region: fmt.Sprintf("region-%d", z%regions),
			Addr: addrOf(i), Incarnation: ident.Incarnation(1<<60 + i), StartedMS: 1_800_000_000_000}
		m := member.New(cfg, rand.New(rand.NewSource(int64(i))), 0)
		f.byAddr[cfg.Addr] = i
		f.machines = append(f.machines, m)
		f.step(i, member.Seeds{Seeds: seeds})
		f.step(i, member.UpdateLocal{Local: local(i)})
	}
	return f
}

// local returns the local state of a process: the demand of 16 teams for a gateway, the load of three of
// nine models for a dispatcher.
func local(i int) member.LocalState {
	l := member.LocalState{Config: member.ConfigVersion{Version: 48_213, Digest: 1 << 63}, Hosts: 7_001}
	for k := range 16 {
		if i%2 == 0 {
			l.Teams = append(l.Teams, member.TeamDemand{Team: ident.Team(fmt.Sprintf("team-%05d", (i/8+k)%24)), Demand: float64(100 - k)})
		} else if k < 3 {
			l.Load = append(l.Load, member.ModelLoad{Model: ident.Model(fmt.Sprintf("model-large-%d", (i/2+k)%9)), FreeTokens: 3_000_000, QueueDelay: 700 * time.Millisecond})
		}
	}
	return l
}

func (f *fleet) step(i int, ev member.Event) {
	for _, a := range f.machines[i].Step(f.now, ev) {
		s, ok := a.(member.Send)
		if !ok {
			continue
		}
		b, err := f.codec.encode(s.Msg)
		if err != nil || len(b) > s.Msg.Size() {
			f.c.Fatalf("%T: %d bytes, bound %d: %v", s.Msg, len(b), s.Msg.Size(), err)
		}
		f.largest = max(f.largest, len(b))
		f.sent[i/2] += len(b) + ipBytes
		f.byType[fmt.Sprintf("%T", s.Msg)] += len(b) + ipBytes
		m, err := f.codec.decode(b)
		if err != nil {
			f.c.Fatal(err)
		}
		if to, ok := f.byAddr[s.To]; ok {
			f.received[to/2] += len(b) + ipBytes
			f.count++
			heap.Push(&f.inFlight, datagram{at: f.now + time.Millisecond, seq: f.count, to: to, from: addrOf(i), m: m})
		}
	}
}

// run advances the virtual time. Each machine gets a tick every 100 ms, at staggered times.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += time.Millisecond {
		for len(f.inFlight) > 0 && f.inFlight[0].at <= f.now {
			x := heap.Pop(&f.inFlight).(datagram)
			f.step(x.to, member.Received{From: x.from, Msg: x.m})
		}
		for i := int(f.now/time.Millisecond) % 100; i < len(f.machines); i += 100 {
			f.step(i, member.Tick{})
		}
	}
}

func (f *fleet) resetCounts() {
	f.sent, f.received, f.byType = make([]int, len(f.sent)), make([]int, len(f.received)), map[string]int{}
}

// Guards against gossip traffic that exceeds its budget as the fleet grows: the two processes of a host together may
// send and receive at most 3 KB/s each way on average, including headers, while backend servers are marked as leaving.
func TestBudget(t *testing.T) {
	const budget = 3000 // bytes/s of a host
	for _, n := range []struct{ hosts, zones, regions int }{{6, 3, 1}, {60, 16, 5}, {340, 16, 5}} {
		t.Run(fmt.Sprintf("%d hosts", n.hosts), func(t *testing.T) {
			if testing.Short() && n.hosts > 60 {
				t.Skip("takes some seconds")
			}
			c := qt.New(t)
			f := newFleet(c, n.hosts, n.zones, n.regions)
			f.run(60 * time.Second)
			for i, m := range f.machines {
				c.Assert(m.Members(), qt.HasLen, 2*n.hosts, qt.Commentf("machine %d", i))
			}
			t.Logf("start: largest sender %d B, largest receiver %d B in 60 s", slices.Max(f.sent), slices.Max(f.received))
			f.resetCounts()
			const measured = 60
			for s := range measured {
				if s%20 == 0 {
					f.step(s/20, member.MarkLeaving{Name: fmt.Sprintf("ticket-lm-%02d", s)})
				}
				f.run(time.Second)
			}
			var sum, most, mostIn int
			for h := range f.sent {
				sum += f.sent[h]
				most, mostIn = max(most, f.sent[h]), max(mostIn, f.received[h])
			}
			t.Logf("hosts=%d mean=%d B/s, largest sender=%d B/s, largest receiver=%d B/s, largest datagram=%d B",
				n.hosts, sum/len(f.sent)/measured, most/measured, mostIn/measured, f.largest)
			for _, name := range slices.Sorted(maps.Keys(f.byType)) {
				t.Logf("%s: %d B/s per host", name, f.byType[name]/n.hosts/measured)
			}
			c.Check(most/measured <= budget, qt.IsTrue)
			c.Check(mostIn/measured <= budget, qt.IsTrue)
			for _, m := range f.machines {
				for _, r := range m.Members() {
					if r.State != member.Alive || !m.Reachable(f.now, r.ID) {
						c.Fatalf("%s holds %s in state %d, reachable %v", m.Self().ID, r.ID, r.State, m.Reachable(f.now, r.ID))
					}
				}
				c.Assert(m.Load(m.Self().Zone), qt.Not(qt.HasLen), 0)
				c.Assert(m.Teams(), qt.HasLen, member.MaxTeams)
				c.Assert(m.Leaving(f.now, "ticket-lm-40"), qt.IsTrue)
			}
		})
	}
}

// Guards against lists that are silently never sent because their names are long: every message must fit in a
// datagram, and loads and teams must arrive, at least the largest teams.
func TestLongNamesFit(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 6, 3, 1)
	for i := range f.machines {
		l := local(0)
		l.Teams, l.Load = nil, nil
		for k := range 30 {
			l.Teams = append(l.Teams, member.TeamDemand{Team: ident.Team(fmt.Sprintf("%030d", k)), Demand: float64(100 - k)})
			l.Load = append(l.Load, member.ModelLoad{Model: ident.Model(fmt.Sprintf("%030d", k)), FreeTokens: 1 << 40, QueueDelay: time.Hour})
		}
		f.step(i, member.UpdateLocal{Local: l})
	}
	f.run(30 * time.Second)
	for _, m := range f.machines {
		c.Assert(len(m.Teams()) >= 8, qt.IsTrue)
		c.Assert(m.Teams()[0].Team, qt.Equals, ident.Team(fmt.Sprintf("%030d", 0)))
		for _, z := range []ident.Zone{"be-zone-00", "be-zone-01", "be-zone-02"} {
			c.Assert(len(m.Load(z)) >= 8, qt.IsTrue)
		}
	}
}

// Guards against zone hashes that do not fit in a datagram when there are many availability zones.
func TestManyZonesFit(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 100, 50, 10)
	f.run(150 * time.Second)
	for _, m := range f.machines {
		c.Assert(m.Members(), qt.HasLen, 200)
	}
}
