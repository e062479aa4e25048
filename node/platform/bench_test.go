package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
)

// BenchmarkMassRestart counts the reads of the configuration service when all processes start with the
// default start spread of 2 s and no peer has a configuration. Each process stops reading after its
// first watch, like a process that is not elected as a watcher. With refused=true the service responds with
// 429 for the whole 6 s.
func BenchmarkMassRestart(b *testing.B) {
	for _, refused := range []bool{false, true} {
		for _, n := range []int{20, 200, 680} {
			b.Run(fmt.Sprintf("refused=%v/processes=%d", refused, n), func(b *testing.B) {
				for b.Loop() {
					peak, total := massRestart(n, refused)
					b.ReportMetric(float64(peak), "peak-reads/s")
					b.ReportMetric(float64(total)/float64(n), "reads/process")
				}
			})
		}
	}
}

// massRestart returns the maximum number of reads within any second, measured in steps of 100 ms, and the
// total number of reads.
func massRestart(processes int, refused bool) (peak, total int) {
	const step, steps = 100 * time.Millisecond, 60
	var mu sync.Mutex
	var reads [steps + 1]int
	start := time.Now()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		reads[min(int(time.Since(start)/step), steps)]++
		mu.Unlock()
		if refused {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		json.NewEncoder(w).Encode(platformapi.Entries{Head: 1, Entries: []platformapi.Entry{{Number: 1, Body: json.RawMessage("{}")}}})
	}))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(context.Background(), steps*step)
	defer cancel()
	var all sync.WaitGroup
	for range processes {
		all.Go(func() {
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			client := New(Config{ConfigAddress: srv.URL, ReadsPerS: 1.9, Burst: 1}) // the defaults of a process
			ctxtime.Sleep(ctx, rand.N(2*time.Second))
			updates := 0
			client.Follow(ctx, 0, func(u Update) {
				if updates++; u.Err == nil && updates == 2 {
					cancel() // the second update is the result of the watch
				}
			})
		})
	}
	all.Wait()
	for i := range reads[:steps] {
		sum := 0
		for _, n := range reads[i:min(i+10, steps)] {
			sum += n
		}
		peak = max(peak, sum)
		total += reads[i]
	}
	return peak, total
}
