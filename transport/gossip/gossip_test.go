package gossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"go.uber.org/goleak"
)

// gnet's worker pool starts its goroutines when the package is loaded.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

type changeRecorder struct {
	mu   sync.Mutex
	list []member.Action
}

func (c *changeRecorder) OnChange(a member.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, a)
}

func (c *changeRecorder) has(a member.Action) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.list {
		if x == a {
			return true
		}
	}
	return false
}

func startService(c *qt.C, name, zone string, h Handler) *Service {
	cfg := member.Config{Self: member.MakeID(ident.HostID(name), "gateway"), Zone: ident.Zone(zone), Incarnation: ident.NewIncarnation()}
	s, err := Listen(cfg, "127.0.0.1:0", h)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = s.Close(ctx)
	})
	return s
}

func eventually(c *qt.C, what string, f func() bool) {
	c.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	c.Fatalf("not in time: %s", what)
}

// Guards against a service that does not connect its machine to real sockets: joining, leaving, failure detection and
// datagrams that cannot be decoded.
func TestServicesOverLoopback(t *testing.T) {
	c := qt.New(t)
	var services []*Service
	var seen []*changeRecorder
	for i := range 4 {
		ch := &changeRecorder{}
		seen = append(seen, ch)
		services = append(services, startService(c, fmt.Sprintf("h%d", i), fmt.Sprintf("z%d", i%2), ch))
	}
	for _, s := range services {
		s.Enqueue(member.Seeds{Seeds: []member.Seed{{Addr: services[0].Addr()}, {Addr: services[1].Addr()}}})
	}
	garbage, err := net.Dial("udp", string(services[0].Addr()))
	c.Assert(err, qt.IsNil)
	defer garbage.Close()
	for _, b := range []string{"x", "\xdd\xff\xff\xff\xff", string(make([]byte, 3000))} {
		_, err := garbage.Write([]byte(b))
		c.Assert(err, qt.IsNil)
	}
	eventually(c, "garbage counted", func() bool { return services[0].Stats().Undecodable == 3 })
	for _, s := range services {
		eventually(c, "all joined", func() (ok bool) {
			s.View(func(m *member.Machine) { ok = len(m.Members()) == len(services) })
			return ok
		})
	}
	services[3].Enqueue(member.MarkLeaving{Name: "engine-7"})
	for _, ch := range seen {
		eventually(c, "leaving learned", func() bool { return ch.has(member.LeavingLearned{Name: "engine-7"}) })
	}
	var last member.Member
	services[3].View(func(m *member.Machine) { last = m.Self() })
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(services[3].Close(ctx), qt.IsNil)
	last.State = member.Dead
	eventually(c, "failure detected in its zone and reported elsewhere", func() bool {
		var got member.Member
		services[0].View(func(m *member.Machine) { got, _ = m.Lookup(last.ID) })
		return got.State == member.Dead || got.ID == ""
	})
	c.Assert(services[0].Stats().Refused, qt.Equals, uint64(0))
}

// Guards against panics, allocations of a declared length and ambiguous datagrams: whatever can be decoded must encode
// and decode to the same message.
func FuzzDecode(f *testing.F) {
	enc := newCodec()
	for _, m := range samples() {
		b, err := enc.encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(append([]byte(nil), b...))
	}
	f.Add([]byte{0x94, 1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		c := newCodec()
		m, err := c.decode(b)
		if err != nil {
			return
		}
		again, err := c.encode(m)
		if ErrTooLarge.Has(err) {
			return // the input may encode numbers in shorter forms than the encoder does
		}
		qt.Assert(t, err, qt.IsNil)
		m2, err := c.decode(append([]byte(nil), again...))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, fmt.Sprintf("%+v", m2), qt.Equals, fmt.Sprintf("%+v", m)) // compared as text, because NaN is not equal to itself
	})
}

// samples holds one message of each type with fields of typical size.
func samples() []member.Message {
	h := member.Head{ID: "leuven-03/dispatcher", Zone: "be-leuven", Addr: "10.20.30.40:7946", Incarnation: 1 << 60, Epoch: 1_800_000_000_000,
		Config: member.ConfigVersion{Version: 48_213, Digest: 1 << 63}, Hosts: 7001}
	r := member.Member{ID: h.ID, Zone: h.Zone, Addr: h.Addr, Incarnation: h.Incarnation, Epoch: h.Epoch, State: member.Suspect, Leaving: true}
	stamp := member.Stamp{Origin: h.ID, Number: h.Epoch, Age: 1500 * time.Millisecond}
	load := []member.ModelLoad{{Model: "ticket-large", FreeTokens: 3_000_000, QueueDelay: 700 * time.Millisecond}}
	teams := []member.TeamDemand{{Team: "line-sorters", Demand: 42}}
	updates := member.Piggyback{Members: []member.Member{r}, Marks: []member.LeavingMark{{Name: "ticket-lm-07", TTL: time.Minute}},
		Loads: []member.ZoneLoad{{Zone: h.Zone, Stamp: stamp, Load: load}}, Teams: []member.TeamTotals{{Stamp: stamp, Teams: teams}}}
	return []member.Message{
		&member.Ping{Head: h, Seq: 1000},
		&member.Ping{Head: h, Seq: 1000, Updates: updates},
		&member.Ack{Head: h, Seq: 1000},
		&member.PingReq{Head: h, Seq: 1000, Target: h.ID},
		&member.Urgent{Head: h, Updates: member.Piggyback{Marks: updates.Marks}},
		&member.Digest{Head: h, Region: "be-central", Hash: 1 << 63, Load: load, Teams: teams},
		&member.Sync{Head: h, Reply: true, Partial: true, Hashes: []member.ZoneHash{{Zone: h.Zone, Hash: 1 << 63, Age: time.Second}}},
		&member.Records{Head: h, Members: []member.Member{r}},
		&member.Report{Head: h, Load: load, Teams: teams},
	}
}

// Guards against fields that are lost or swapped, and against a Size bound below the encoded size.
func TestEveryMessageSurvivesTheRoundTrip(t *testing.T) {
	c := qt.New(t)
	enc := newCodec()
	for _, m := range samples() {
		b, err := enc.encode(m)
		c.Assert(err, qt.IsNil)
		c.Check(len(b) <= m.Size(), qt.IsTrue)
		got, err := newCodec().decode(b)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, m)
	}
	_, err := enc.encode(&member.Records{Members: make([]member.Member, 100)})
	c.Assert(ErrTooLarge.Has(err), qt.IsTrue)
}

// BenchmarkCodec measures the datagram size and the CPU time for each message type.
func BenchmarkCodec(b *testing.B) {
	for i, m := range samples() {
		b.Run(fmt.Sprintf("%d-%T", i, m), func(b *testing.B) {
			c, d := newCodec(), newCodec()
			var buf []byte
			for b.Loop() {
				buf, _ = c.encode(m)
				_, _ = d.decode(buf)
			}
			b.ReportMetric(float64(len(buf)), "B/datagram")
		})
	}
}
