package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// BenchmarkHeld measures the start of a process from a snapshot of a full-size configuration. It reports
// the bytes and parts of the snapshot, and the heap that Fold and Config occupy afterwards.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{1_000, 6_000, 18_000} {
		b.Run(fmt.Sprintf("teams=%d/servers=%d", n, n*3_700/18_000), func(b *testing.B) {
			parts := fleetParts(n, n*3_700/18_000)
			size := 0
			for _, p := range parts {
				size += len(p.Body)
			}
			before := heapBytes()
			var f *Fold
			for b.Loop() {
				f = NewFold()
				if f.Apply(0, parts); f.Config() == nil {
					b.Fatal("not accepted")
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/1e6, "held-MB")
			b.ReportMetric(float64(size)/1e6, "snapshot-MB")
			b.ReportMetric(float64(len(parts)), "parts")
			runtime.KeepAlive(f)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fleetParts returns a snapshot in parts with n teams and the given number of engines in groups of four.
func fleetParts(n, servers int) []platformapi.Entry {
	doc := newDocument()
	doc.patch(json.RawMessage(largeConfig(n)), true)
	list := map[string]any{}
	for i := range servers {
		list[fmt.Sprintf("engine-%05d", i)] = map[string]any{"kind": "engine", "address": fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250),
			"availability_zone": fmt.Sprintf("zone-%02d", i/4%16), "group": fmt.Sprintf("group-%04d", i/4), "model": "m", "memory_tokens": 2_000_000}
	}
	body, _ := json.Marshal(map[string]any{"backend_servers": list})
	if ps := doc.patch(body, true); len(ps) > 0 {
		panic(ps)
	}
	var out []platformapi.Entry
	bodies := doc.split()
	for i, body := range bodies {
		out = append(out, platformapi.Entry{Number: 1, Kind: platformapi.KindSnapshot, Part: i + 1, Parts: len(bodies), Body: body})
	}
	return out
}
