package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/limits"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
)

// BenchmarkStream measures the cost of one token event, each flushed separately, over an HTTP connection. The
// CPU time includes the reading client, which runs in the same process.
func BenchmarkStream(b *testing.B) {
	for _, streams := range []int{1, 64, 540} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			tokensPerStream := b.N/streams + 100 // enough to make the cost of starting a stream negligible
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				e := newEvents(w)
				for n := range tokensPerStream {
					if e.token(n+1, " kernel", true) != nil {
						return
					}
				}
			}))
			defer s.Close()
			var readers sync.WaitGroup
			var mu sync.Mutex
			totalBytes := int64(0)
			start := cpuTime()
			for range streams {
				readers.Go(func() {
					r, err := http.Get(s.URL)
					if err != nil {
						b.Error(err)
						return
					}
					defer r.Body.Close()
					n, _ := io.Copy(io.Discard, r.Body)
					mu.Lock()
					defer mu.Unlock()
					totalBytes += n
				})
			}
			readers.Wait()
			tokens := float64(tokensPerStream * streams)
			b.ReportMetric(float64(cpuTime()-start)/tokens, "cpu-ns/token")
			b.ReportMetric(float64(totalBytes)/tokens, "B/token")
		})
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOutstanding measures counting the attempts per dispatcher, which is done on every pick.
func BenchmarkOutstanding(b *testing.B) {
	for _, n := range []int{50, 540, 4_096} {
		b.Run(fmt.Sprintf("attempts=%d", n), func(b *testing.B) {
			rs, peer := newRoutes(), &link.Peer{}
			for i := range n {
				rs.add(uint64(i), peer)
			}
			b.ReportAllocs()
			for b.Loop() {
				rs.outstanding()
			}
		})
	}
}

// BenchmarkExchange measures the exchange of team demand, which each gateway does once a second.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{7, 60, 340} {
		b.Run(fmt.Sprintf("gateways=%d", n), func(b *testing.B) {
			l, ids, total := newLimiterWithDemand(n)
			now := time.Duration(0)
			for b.Loop() {
				now += time.Second
				exchange(l, now, ids[1:], total)
			}
		})
	}
}

// BenchmarkConfigure measures the time that a change of the view holds the lock of the team limits.
func BenchmarkConfigure(b *testing.B) {
	for _, n := range []int{10, 1_000, 18_000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			l, ids, _ := newLimiterWithDemand(340)
			rates := map[ident.Team]limits.Rate{}
			for i := range n {
				rates[ident.Team(fmt.Sprintf("team-%05d", i))] = limits.Rate{RequestsPerS: 1}
			}
			b.ReportAllocs()
			for b.Loop() {
				l.SetGateways(ids)
				l.Configure(0, rates)
			}
		})
	}
}

func newLimiterWithDemand(gateways int) (*limits.TeamLimiter, []ident.HostID, []member.TeamDemand) {
	l := limits.NewTeamLimiter(limits.TeamLimiterConfig{Gateway: "host-0000"})
	var ids []ident.HostID
	var total []member.TeamDemand
	for i := range gateways {
		ids = append(ids, ident.HostID(fmt.Sprintf("host-%04d", i)))
	}
	for i := range limits.MaxReportedTeams {
		total = append(total, member.TeamDemand{Team: ident.Team(fmt.Sprintf("team-%05d", i)), Demand: 1000})
	}
	l.SetGateways(ids)
	return l, ids, total
}
