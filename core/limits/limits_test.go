package limits

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	ms             = time.Millisecond
	rate           = 600.0 // tokens per second of the team under test
	digestInterval = 2 * time.Second
)

func gateways(n int) []ident.HostID {
	var ids []ident.HostID
	for i := range n {
		ids = append(ids, ident.HostID(fmt.Sprintf("gw%d", i)))
	}
	return ids
}

func fleet(n int) []*TeamLimiter {
	var list []*TeamLimiter
	for _, id := range gateways(n) {
		t := NewTeamLimiter(TeamLimiterConfig{Gateway: id})
		t.SetGateways(gateways(n))
		t.Configure(0, map[ident.Team]Rate{"heavy": {TokensPerS: rate}})
		list = append(list, t)
	}
	return list
}

// TestOvershootBound guards against admitting more than rate × t + rate × Burst × (1 + m) when a heavy team's
// callers move between gateways while reports arrive with random delays up to MaxPropagation.
func TestOvershootBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "gateways")
		list := fleet(n)
		type delivery struct {
			at       time.Duration
			from, to int
			d        []TeamDemand
		}
		var inTransit []delivery
		active, shifts, admitted, shiftAt := 0, 0, 0, time.Duration(0)
		both := rapid.Bool().Draw(t, "at several gateways")
		const span, tokens = 60 * time.Second, 5
		for now := time.Duration(0); now < span; now += 10 * ms {
			if now >= shiftAt {
				shiftAt = now + time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds"))*time.Second
				active = rapid.IntRange(0, n-1).Draw(t, "active")
				shifts++
			}
			for g, l := range list {
				if now%digestInterval == time.Duration(g)*100*ms {
					d := l.Publish(now)
					for o := range list {
						delay := time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * ms
						inTransit = append(inTransit, delivery{now + delay, g, o, d})
					}
				}
			}
			pending := inTransit[:0]
			for _, x := range inTransit {
				if x.at > now {
					pending = append(pending, x)
					continue
				}
				list[x.to].AddPeerReport(now, list[x.from].cfg.Gateway, x.d)
			}
			inTransit = pending
			for g := range list {
				for range 4 { // 2,000 tokens per second and gateway, over three times the limit
					if (g == active || both && g < 2) && list[g].Take(now, "heavy", tokens).OK {
						admitted += tokens
					}
				}
			}
		}
		bound := rate*span.Seconds() + rate*float64(1+shifts) + float64(n*tokens)
		if float64(admitted) > bound {
			t.Fatalf("admitted %d tokens, the bound is %.0f", admitted, bound)
		}
	})
}

// Guards against shares that stay equal when all callers of a heavy team use one gateway.
func TestSharesFollowDemand(t *testing.T) {
	c := qt.New(t)
	list := fleet(6)
	last := 0
	for now := time.Duration(0); now < 30*time.Second; now += 10 * ms {
		if now%digestInterval == 0 {
			for _, l := range list {
				d := l.Publish(now)
				for _, o := range list {
					o.AddPeerReport(now, l.cfg.Gateway, d)
				}
			}
		}
		if list[2].Take(now, "heavy", 10).OK && now >= 20*time.Second {
			last += 10
		}
	}
	c.Assert(float64(last)/10 > 0.85*rate, qt.IsTrue, qt.Commentf("%d tokens in the last 10 s", last))
	sum := 0.0
	for _, l := range list {
		sum += l.Share(30*time.Second, "heavy")
	}
	c.Assert(sum <= 1.0001, qt.IsTrue)
	c.Assert(list[2].Share(60*time.Second, "heavy"), qt.Equals, 1.0/6, qt.Commentf("reports expired"))
}

// Guards against a refusal without a usable retry-after, and against archive requests larger than
// a second's share that are never admitted.
func TestTakeRetryAfter(t *testing.T) {
	c := qt.New(t)
	l := fleet(1)[0]
	c.Assert(l.Take(0, "nobody", 1).Known, qt.IsFalse)
	c.Assert(l.Take(0, "heavy", 3000).OK, qt.IsTrue)
	d := l.Take(0, "heavy", 60)
	c.Assert(d.OK, qt.IsFalse)
	c.Assert(l.Take(d.RetryAfter-ms, "heavy", 60).OK, qt.IsFalse)
	c.Assert(l.Take(d.RetryAfter, "heavy", 60).OK, qt.IsTrue)
}

// Guards against many small teams that displace the heavy ones from the report.
func TestSketchKeepsHeavyTeams(t *testing.T) {
	c := qt.New(t)
	s := sketch{halfLife: 5 * time.Second}
	for i := range 40_000 {
		now := time.Duration(i) * ms
		s.add(now, ident.Team(fmt.Sprintf("small%d", i%17_984)), 100)
		s.add(now, ident.Team(fmt.Sprintf("big%02d", i%10)), 1000)
	}
	top := s.top(40 * time.Second)
	c.Assert(len(s.entries) <= sketchSize, qt.IsTrue)
	for i := range 10 {
		c.Assert(top[i].Team[:3], qt.Equals, ident.Team("big"))
		c.Assert(top[i].TokensPerS > 80_000 && top[i].TokensPerS < 120_000, qt.IsTrue)
	}
}

// Guards against capacity that a missing release holds forever, and against a limit that falls more
// than once for one incident or recovers too fast.
func TestConcurrency(t *testing.T) {
	c := qt.New(t)
	l := NewConcurrency(ConcurrencyConfig{Initial: 8, Max: 16})
	for range 8 {
		_, ok := l.Acquire(0, time.Second)
		c.Assert(ok, qt.IsTrue)
	}
	_, ok := l.Acquire(0, time.Second)
	c.Assert(ok, qt.IsFalse)
	_, ok = l.Acquire(time.Second, 2*time.Second)
	c.Assert(ok, qt.IsTrue, qt.Commentf("the leases expired"))
	l.Release(time.Second, 1, Failure)
	l.Release(time.Second+ms, 2, Failure)
	c.Assert(l.Limit(), qt.Equals, 4)
	for range 5 {
		l.Release(2*time.Second, 3, Success)
	}
	c.Assert(l.Limit(), qt.Equals, 5)
}

func BenchmarkTake(b *testing.B) {
	for _, n := range []int{10, 1000, 18_000} {
		for _, gws := range []int{7, 340} {
			b.Run(fmt.Sprintf("teams=%d/gateways=%d", n, gws), func(b *testing.B) { benchTake(b, n, gws) })
		}
	}
}

func benchTake(b *testing.B, n, gws int) {
	l := NewTeamLimiter(TeamLimiterConfig{Gateway: "gw0"})
	l.SetGateways(gateways(gws))
	rates := map[ident.Team]Rate{}
	var names []ident.Team
	for i := range n {
		names = append(names, ident.Team(fmt.Sprintf("team%05d", i)))
		rates[names[i]] = Rate{RequestsPerS: 1e9, TokensPerS: 1e12}
	}
	l.Configure(0, rates)
	var d []TeamDemand
	for i := range min(n, MaxReportedTeams) {
		d = append(d, TeamDemand{Team: names[i], TokensPerS: 1000})
	}
	l.Publish(0)
	for _, id := range gateways(gws) {
		l.AddPeerReport(0, id, d)
		l.AddPeerReport(time.Second, id, d)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		l.Take(time.Second+time.Duration(i)*time.Microsecond, names[(i*7919)%n], 1000)
		i++
	}
}
