package link

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// BenchmarkTokenOverLoopback measures the complete path of a Token over loopback: ring, encoder, socket, decoder,
// handler.
func BenchmarkTokenOverLoopback(b *testing.B) {
	c := qt.New(b)
	got := make(chan struct{}, 1024)
	rec := &countingHandler{got: got}
	s := startServer(c, testConfig("d0", RoleDispatcher), "127.0.0.1:0", &countingHandler{})
	cl := startClient(c, testConfig("g1", RoleGateway), rec)
	cl.Add("d0", s.Addr())
	eventually(c, "up", func() bool { return len(cl.Peers()) == 1 && len(s.Peers()) == 1 })
	p := s.Peers()[0]
	const window = 512 // messages in flight, half of the outbound ring
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Send(&wire.Token{Attempt: 88_121, N: n, Text: " kernel"}); err != nil {
			b.Fatal(err)
		}
		if n++; n > window {
			<-got
		}
	}
	b.ReportMetric(float64(s.Stats().BytesOut)/float64(s.Stats().FramesOut), "B/frame")
}

// BenchmarkTokenRate measures the CPU time per Token on both ends. A dispatcher sends at a fixed rate to 68
// gateways, the number in a region, in steps of 1 ms. At a low rate each frame needs its own system call.
func BenchmarkTokenRate(b *testing.B) {
	for _, rate := range []int{2_000, 6_000, 18_500} {
		b.Run(fmt.Sprintf("tokens_per_s=%d", rate), func(b *testing.B) {
			const links = 68
			c := qt.New(b)
			s := startServer(c, rateConfig("d0", RoleDispatcher), "127.0.0.1:0", &countingHandler{})
			for i := range links {
				startClient(c, rateConfig(fmt.Sprintf("g%d", i), RoleGateway), &countingHandler{}).Add("d0", s.Addr())
			}
			eventually(c, "up", func() bool { return len(s.Peers()) == links })
			peers, start, n, steps := s.Peers(), cpuTime(), 0, 0
			step := time.NewTicker(time.Millisecond)
			defer step.Stop()
			for b.Loop() {
				<-step.C
				for steps++; n < steps*rate/1000; n++ {
					if err := peers[n%links].Send(&wire.Token{Attempt: 88_121, N: n, Text: " kernel"}); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(cpuTime()-start)/float64(n), "cpu-ns/token")
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// rateConfig uses the default timers, because those of testConfig send twenty keepalives per second.
func rateConfig(host, role string) Config {
	cfg := testConfig(host, role)
	cfg.KeepaliveInterval, cfg.DeadAfter = 0, 0
	return cfg
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

type countingHandler struct{ got chan struct{} }

func (h *countingHandler) OnUp(*Peer) {}
func (h *countingHandler) OnMessage(*Peer, wire.Message) {
	if h.got != nil {
		h.got <- struct{}{}
	}
}
func (h *countingHandler) OnDown(*Peer, error) {}
