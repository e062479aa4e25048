package view

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// BenchmarkSnapshot measures the derivation of a snapshot, which each process does for a new configuration
// or host list.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{26, 1_000, 3_700} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			c := &config.Config{BackendServers: map[ident.BackendID]config.BackendServer{}}
			for i := range n {
				c.BackendServers[ident.BackendID(fmt.Sprintf("engine-%05d", i))] = config.BackendServer{
					Kind: config.KindEngine, AvailabilityZone: ident.Zone(fmt.Sprintf("zone-%02d", i/4%16)), Group: fmt.Sprintf("group-%04d", i/4)}
			}
			b.ReportAllocs()
			for b.Loop() {
				newSnapshot(c, func(z ident.Zone) string { return string(z) })
			}
		})
	}
}

// BenchmarkHostList measures the decoding of a complete host list and reports its size in bytes. A watcher
// reads the list every hosts_ms, other processes once per version.
func BenchmarkHostList(b *testing.B) {
	for _, n := range []struct{ entries, servers int }{{6, 26}, {60, 650}, {340, 3_700}} {
		b.Run(fmt.Sprintf("hosts=%d", n.entries+n.servers), func(b *testing.B) {
			body, _ := json.Marshal(hostList(n.entries, n.servers))
			var got platformapi.Hosts
			for b.Loop() {
				if err := json.Unmarshal(body, &got); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "B/list")
		})
	}
}

func hostList(entries, servers int) platformapi.Hosts {
	list := platformapi.Hosts{Version: 7_001}
	for i := range entries + servers {
		h := platformapi.Host{ID: fmt.Sprintf("host-%05d", i), Kind: "backend", Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			AvailabilityZone: fmt.Sprintf("zone-%02d", i%16), Region: fmt.Sprintf("region-%d", i%5), State: "live"}
		if i < entries {
			h.Kind, h.ControlAddress, h.GossipAddress, h.LinkAddress = "entry", h.Address, h.Address, h.Address
		}
		list.Hosts = append(list.Hosts, h)
	}
	return list
}
