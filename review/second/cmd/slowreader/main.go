// Command slowreader has callers that stop reading for some seconds in the middle of an answer, and checks that they get the rest
// of it.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/second/kit"
)

const (
	callers      = 12
	rounds       = 2
	buffer       = 2048             // bytes that a caller's machine keeps for it
	pause        = 7 * time.Second  // for which a caller does not read
	requestLimit = 15 * time.Second // of supplier-dossier
	maxLost      = 3                // that the rule allows
)

var ips = []string{"127.74.0.1", "127.74.0.2"}

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
	s := &kit.Scene{Daemon: daemon, IPs: ips, MemoryMB: 184, Config: kit.NewConfig()}
	for i := range 4 {
		s.Servers = append(s.Servers, &kit.Server{
			ID: fmt.Sprintf("i-engine%d", i+1), Service: kit.ModelService, Version: "v1", Zone: "zone-a", Slots: 12, Tokens: 39,
			TokenTime: 40 * time.Millisecond, TokenBytes: 440,
		})
	}
	defer s.Close()
	if err := s.Start(); err != nil {
		rec.Line("the test could not start: %v", err)
		fmt.Println(err)
		return 2
	}
	var whole, lost, other atomic.Int64
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for round := range rounds {
				c, err := kit.ConnectSmall(s.Hosts[n%len(s.Hosts)].Front(), buffer)
				if err != nil {
					rec.Line("caller %d: %v", n, err)
					other.Add(1)
					continue
				}
				send(c, kit.FloorPrefix, fmt.Sprintf("%04x%04x%08x", n+1, round+1, 1), "4960,80", 10*time.Second)
				if trouble {
					c.Pause = pause
				}
				attempt := fmt.Sprintf("%04x%04x%08x", n+1, round+1, 2)
				res := send(c, kit.LongPrefix, attempt, "45000,80", requestLimit)
				c.Close()
				runs := s.Runs(attempt)
				rec.Line("caller %d, stream %s on a kept connection (%v): status %d, complete %v, %d bytes read after the pause, runs %d: %v",
					n, attempt, res.Kept, res.Status, res.Complete, res.Bytes, runs, res.Err)
				switch {
				case res.Status == 200 && res.Complete:
					whole.Add(1)
				case res.Kept && runs > 0 && !res.Complete:
					lost.Add(1)
					rec.Line("LOST: stream %s ran at a sound engine, which wrote all of it; the connection ended before its end", attempt)
				default:
					other.Add(1)
				}
			}
		})
	}
	wg.Wait()
	rec.Line("%d streams answered whole, %d lost, %d refused or failed", whole.Load(), lost.Load(), other.Load())
	fmt.Printf("whole %d, lost %d, other %d\n", whole.Load(), lost.Load(), other.Load())
	switch {
	case lost.Load() > maxLost:
		return 1
	case whole.Load() == 0:
		return 2
	}
	return 0
}

func send(c *kit.Caller, prefix, attempt, tokens string, limit time.Duration) kit.Result {
	res, _ := c.Send("POST", prefix+"2f", attempt, map[string]string{
		"Model": "m", "Token-Usage": tokens, "Prefix-Hash": "5c1e07a2:40," + attempt[8:] + ":4920",
	}, "a question", limit)
	return res
}
