// Command configgrowth runs two entry hosts while the operator changes the configuration again and again, and checks that
// no request that a sound server has begun to run is lost with its connection.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/second/kit"
)

const (
	memoryMB     = 184 // of the small machines of ort-ordini-grown
	callersEach  = 12  // for each host
	requestLimit = 10 * time.Second
	maxPause     = 600 * time.Millisecond // of a caller between two requests
	maxLost      = 3                      // that the rule allows
	warmUp       = 5 * time.Second        // before the first change
	endAfter     = 105 * time.Second      // of the whole test
	afterKill    = 6 * time.Second        // for which the test goes on after the first end of a process
	// Impairments big_config and config_storm. The site file ort-ordini-grown has 1400 routes, and 2 s with a change each 0.08 s.
	growSteps, growBy = 2, 1400
	growEvery         = time.Second
	stormTime         = 2 * time.Second
	stormGap          = 200 * time.Millisecond
	stormPause        = 200 * time.Millisecond
)

var ips = []string{"127.71.0.1", "127.71.0.2"}

type test struct {
	rec    *kit.Record
	scene  *kit.Scene
	stop   chan struct{}
	number atomic.Int64
	lost   atomic.Int64
	whole  atomic.Int64
	other  atomic.Int64
	killed atomic.Int64
	first  atomic.Int64 // ms until the first end of a process, 0 for none
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
	t.scene = &kit.Scene{Daemon: daemon, IPs: ips, MemoryMB: memoryMB, Config: kit.NewConfig()}
	for i := range 4 {
		t.scene.Servers = append(t.scene.Servers, &kit.Server{
			ID: fmt.Sprintf("i-engine%d", i), Service: kit.ModelService, Version: "v1", Zone: "zone-a", Slots: 12, Tokens: 33,
			TokenTime: 25 * time.Millisecond,
		})
	}
	defer t.scene.Close()
	if err := t.scene.Start(); err != nil {
		rec.Line("the test could not start: %v", err)
		fmt.Println(err)
		return 2
	}
	var wg sync.WaitGroup
	for _, h := range t.scene.Hosts {
		wg.Go(func() { t.watchMemory(h) })
		for range callersEach {
			wg.Go(func() { t.call(h) })
		}
	}
	if trouble {
		wg.Go(t.operate)
	}
	end := time.NewTimer(endAfter)
	for done := false; !done; {
		select {
		case <-end.C:
			done = true
		case <-time.After(200 * time.Millisecond):
			first := time.Duration(t.first.Load()) * time.Millisecond
			done = first > 0 && rec.Now() > first+afterKill
		}
	}
	rec.Line("memory of the hosts at the end: %s", t.memory())
	close(t.stop)
	wg.Wait()
	rec.Line("%d requests answered, %d refused or failed, %d ran at a sound server and lost their kept connection without an answer; %d processes ended for exceeding %d MB",
		t.whole.Load(), t.other.Load(), t.lost.Load(), t.killed.Load(), memoryMB)
	fmt.Printf("answered %d, lost %d, processes ended %d\n", t.whole.Load(), t.lost.Load(), t.killed.Load())
	switch {
	case t.whole.Load() == 0:
		return 2
	case t.lost.Load() > maxLost:
		return 1
	}
	return 0
}

// operate changes the configuration as the operator does.
func (t *test) operate() {
	c := kit.NewConfig()
	put := func() {
		c.Version += 3
		size := t.scene.Store.Put("op/config", c)
		t.rec.Line("version %d written: %d routes, %d bytes; memory of the hosts: %s", c.Version, len(c.Routes), size, t.memory())
	}
	t.sleep(warmUp)
	for range growSteps {
		c.Grow(growBy)
		put()
		t.sleep(growEvery)
	}
	for !t.stopped() {
		for end := time.Now().Add(stormTime); time.Now().Before(end) && !t.stopped(); t.sleep(stormGap) {
			c.Routes[0].TimeoutMS = 19000 - c.Routes[0].TimeoutMS // 10 s and 9 s in turn
			put()
		}
		t.sleep(stormPause)
	}
}

func (t *test) memory() (text string) {
	for _, h := range t.scene.Hosts {
		text += fmt.Sprintf("%.0f ", h.MemoryUsed())
	}
	return text + "MB"
}

// watchMemory ends a process that exceeds the memory of its machine, and starts it again, as the platform does.
func (t *test) watchMemory(h *kit.Host) {
	for !t.stopped() {
		t.sleep(100 * time.Millisecond)
		ended := false
		select {
		case <-h.Ended():
			ended = true
			t.rec.Line("%s has ended by itself", h.Name)
		default:
			if used := h.MemoryUsed(); used > memoryMB {
				ended = true
				t.rec.Line("%s uses %.0f MB and is killed: its machine has %d MB", h.Name, used, memoryMB)
				h.Signal(syscall.SIGKILL)
			}
		}
		if !ended {
			continue
		}
		t.killed.Add(1)
		t.first.CompareAndSwap(0, t.rec.Now().Milliseconds())
		<-h.Ended()
		t.sleep(500 * time.Millisecond)
		if !t.stopped() {
			if err := h.Start(); err != nil {
				t.rec.Line("%s does not start again: %v", h.Name, err)
			}
		}
	}
}

// call sends requests to a host until the test ends.
func (t *test) call(h *kit.Host) {
	var c *kit.Caller
	for !t.stopped() {
		var err error
		if c == nil {
			if c, err = kit.Connect(h.Front()); err != nil {
				t.sleep(500 * time.Millisecond)
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
		t.sleep(time.Duration(rand.Int64N(int64(maxPause))))
	}
	if c != nil {
		c.Close()
	}
}

func (t *test) judge(h *kit.Host, attempt string, res kit.Result) {
	runs := t.scene.Runs(attempt)
	switch {
	case res.Complete && res.Status == 200:
		t.whole.Add(1)
	case res.Kept && runs > 0 && !res.Complete && !t.stopped():
		t.lost.Add(1)
		t.rec.Line("LOST: request %s to %s on a kept connection ran at a sound server; the connection ended without an answer: %v", attempt, h.Name, res.Err)
	default:
		t.other.Add(1)
		t.rec.Line("request %s to %s: status %d, complete %v, runs %d, kept connection %v: %v", attempt, h.Name, res.Status, res.Complete, runs, res.Kept, res.Err)
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

func (t *test) sleep(d time.Duration) {
	select {
	case <-t.stop:
	case <-time.After(d):
	}
}
