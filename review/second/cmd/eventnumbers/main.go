// Command eventnumbers replaces the engines of a service by ones that write several tokens with an event, and checks that streams
// of sound engines are not cut.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/second/kit"
)

const (
	engines      = 4
	callersEach  = 6 // for each host
	requestLimit = 10 * time.Second
	maxPause     = 600 * time.Millisecond // of a caller between two requests
	maxLost      = 3                      // that the rule allows
	calm         = 12 * time.Second       // before the release
	after        = 12 * time.Second       // after it
	// Impairment release, as in the site file ort-ordini-grown: share 0.45, one at a time, each second; twice, so that all engines are
	// replaced. A server that leaves serves for drainTime and a little longer.
	releases   = 2
	atOnce     = 2 // 0.45 of the engines, rounded up
	releaseGap = time.Second
	drainTime  = 2 * time.Second
	longer     = 2 * time.Second
	// tokensPerEvent is that of the engines of the new version.
	tokensPerEvent = 3
)

var ips = []string{"127.73.0.1", "127.73.0.2", "127.73.0.3"}

type test struct {
	rec    *kit.Record
	scene  *kit.Scene
	mu     sync.Mutex
	added  []*kit.Server
	stop   chan struct{}
	number atomic.Int64
	whole  atomic.Int64
	lost   atomic.Int64
	other  atomic.Int64
}

func main() {
	daemon := flag.String("daemon", "", "program of the entry host")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*daemon, *record, os.Getenv("TROUBLE") != "0"))
}

func run(daemon, record string, trouble bool) int {
	rec, err := kit.NewRecord(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	t := &test{rec: rec, stop: make(chan struct{})}
	t.scene = &kit.Scene{Daemon: daemon, IPs: ips, MemoryMB: 184, Config: kit.NewConfig()}
	for i := range engines {
		t.scene.Servers = append(t.scene.Servers, engine(fmt.Sprintf("i-old%d", i+1), "v1", 1))
	}
	defer t.end()
	if err := t.scene.Start(); err != nil {
		rec.Line("the test could not start: %v", err)
		fmt.Println(err)
		return 2
	}
	var wg sync.WaitGroup
	for _, h := range t.scene.Hosts {
		for range callersEach {
			wg.Go(func() { t.call(h) })
		}
	}
	time.Sleep(calm)
	if trouble {
		t.release()
	}
	before := t.whole.Load()
	time.Sleep(after)
	close(t.stop)
	wg.Wait()
	rec.Line("%d streams answered, %d of them after the release; %d refused or failed; %d ran at sound engines and were cut with their kept connection",
		t.whole.Load(), t.whole.Load()-before, t.other.Load(), t.lost.Load())
	fmt.Printf("answered %d (%d after the release), cut %d\n", t.whole.Load(), t.whole.Load()-before, t.lost.Load())
	switch {
	case before == 0:
		return 2
	case t.lost.Load() > maxLost:
		return 1
	}
	return 0
}

func engine(id, version string, perEvent int) *kit.Server {
	return &kit.Server{
		ID: id, Service: kit.ModelService, Version: version, Zone: "zone-a", Slots: 12, Tokens: 33,
		TokenTime: 25 * time.Millisecond, TokensPerEvent: perEvent,
	}
}

// release replaces the engines one after the other: the new one starts first, then the old one drains.
func (t *test) release() {
	var leaving sync.WaitGroup
	for i, old := range t.scene.Servers[:releases*atOnce] {
		added := engine(fmt.Sprintf("i-new%d", i+1), "v2", tokensPerEvent)
		if err := kit.StartServer(added, "127.0.0.1"); err != nil {
			t.rec.Line("an engine does not start: %v", err)
			return
		}
		t.mu.Lock()
		t.added = append(t.added, added)
		t.mu.Unlock()
		t.scene.Store.Put("servers/"+added.ID, added.Entry("ready"))
		t.scene.Store.Put("servers/"+old.ID, old.Entry("draining"))
		t.rec.Line("%s (v2, %d tokens in an event) starts, %s drains", added.ID, tokensPerEvent, old.ID)
		leaving.Go(func() {
			time.Sleep(drainTime + longer)
			t.scene.Store.Delete("servers/" + old.ID)
			time.Sleep(longer)
			old.Close()
			t.rec.Line("%s has ended", old.ID)
		})
		time.Sleep(releaseGap)
	}
	leaving.Wait()
}

func (t *test) end() {
	t.scene.Close()
	for _, s := range t.added {
		s.Close()
	}
}

// call sends requests to a host until the test ends.
func (t *test) call(h *kit.Host) {
	var c *kit.Caller
	for !t.stopped() {
		var err error
		if c == nil {
			if c, err = kit.Connect(h.Front()); err != nil {
				time.Sleep(maxPause)
				continue
			}
		}
		n := t.number.Add(1)
		attempt := fmt.Sprintf("%016x", n)
		res, reuse := c.Send("POST", kit.FloorPrefix+"2f", attempt, map[string]string{
			"Model": "m", "Token-Usage": "4960,80", "Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%08x:4920", n),
		}, "a question", requestLimit)
		t.judge(h, attempt, res)
		if !reuse {
			c.Close()
			c = nil
		}
		time.Sleep(time.Duration(rand.Int64N(int64(maxPause))))
	}
	if c != nil {
		c.Close()
	}
}

func (t *test) judge(h *kit.Host, attempt string, res kit.Result) {
	runs := t.scene.Runs(attempt)
	t.mu.Lock()
	for _, s := range t.added {
		runs += s.Runs(attempt)
	}
	t.mu.Unlock()
	switch {
	case res.Complete && res.Status == 200:
		t.whole.Add(1)
	case res.Kept && runs > 0 && !res.Complete:
		t.lost.Add(1)
		t.rec.Line("LOST: stream %s by %s on a kept connection ran at sound engines (%d runs); the connection ended before its end: %v", attempt, h.Name, runs, res.Err)
	default:
		t.other.Add(1)
		t.rec.Line("stream %s by %s: status %d, complete %v, runs %d, kept connection %v: %v", attempt, h.Name, res.Status, res.Complete, runs, res.Kept, res.Err)
	}
}

func (t *test) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}
