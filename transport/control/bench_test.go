package control

import (
	"fmt"
	"testing"

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
