package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// BenchmarkHosts measures the encoding of a host list and reports its size in bytes.
func BenchmarkHosts(b *testing.B) {
	for _, n := range []int{32, 710, 4_040} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			r := &HostsReply{Hosts: platformapi.Hosts{Version: 7_001}}
			for i := range n {
				r.Hosts.Hosts = append(r.Hosts.Hosts, platformapi.Host{ID: fmt.Sprintf("host-%05d", i), Kind: "backend",
					Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), AvailabilityZone: fmt.Sprintf("zone-%02d", i%16), Region: fmt.Sprintf("region-%d", i%5), State: "live"})
			}
			size := 0
			for b.Loop() {
				w := pack.NewWriter()
				encodeBody(w, r)
				size = len(w.Buf)
			}
			b.ReportMetric(float64(size), "B/list")
		})
	}
}

// BenchmarkState measures the replies to all hosts of a large fleet after a change of a large configuration.
func BenchmarkState(b *testing.B) {
	const hosts = 80
	c := largeConfig()
	size := 0
	for b.Loop() {
		reply := &StateReply{Changes: []catalog.Change{{Revision: 9, Config: c}}, Revision: 9}
		if err := reply.Encode(); err != nil {
			b.Fatal(err)
		}
		for range hosts {
			w := pack.NewWriter()
			encodeBody(w, reply)
			size = len(w.Buf)
		}
	}
	b.ReportMetric(float64(size), "B/reply")
}

// largeConfig returns a configuration of 1,400 routes.
func largeConfig() *catalog.Config {
	c := &catalog.Config{Version: 48}
	for i := range 1_400 {
		c.Routes = append(c.Routes, catalog.Route{
			Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i%40), Prefix: fmt.Sprintf("/prefix-%x/", i*7919),
			Timeout: 10 * time.Second, Objective: 300 * time.Millisecond, MaxAttempts: 3, Split: []catalog.Share{{Service: "models", Weight: 1}},
		})
	}
	return c
}
