// Command fractions has the operator write a configuration in which a time is written with a decimal point, and checks that the hosts
// follow it.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/second/kit"
)

const (
	addedKey     = "anfqasnmgkcuyj8pjbvk"
	callersEach  = 4 // for each host
	requestLimit = 1500 * time.Millisecond
	pause        = 150 * time.Millisecond // of a caller between two requests
	before       = 4 * time.Second        // the change
	applyTime    = 3 * time.Second        // config_apply_ms
	after        = 10 * time.Second       // for which requests are judged then
	newTimeout   = 7500                   // ms, was 10,000
)

var ips = []string{"127.75.0.1", "127.75.0.2"}

func main() {
	daemon := flag.String("daemon", "", "program of the entry host")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*daemon, *record, os.Getenv("TROUBLE") != "0"))
}

// changed returns the next version: it takes the key of the tenant away, adds another one, and shortens the time of a route, which
// is written as 7500.0 or as 7500.
func changed(c *kit.Config, point bool) json.RawMessage {
	c.Version += 3
	c.Routes[0].TimeoutMS = newTimeout
	c.Tenants[0]["api_keys"] = []string{addedKey}
	text, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	if point {
		text = bytes.Replace(text, []byte(`"timeout_ms":7500,`), []byte(`"timeout_ms":7500.0,`), 1)
	}
	return text
}

func run(daemon, record string, trouble bool) int {
	rec, err := kit.NewRecord(record)
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.Close()
	s := &kit.Scene{Daemon: daemon, IPs: ips, MemoryMB: 184, Config: kit.NewConfig()}
	for i := range 3 {
		s.Servers = append(s.Servers, &kit.Server{
			ID: fmt.Sprintf("i-ledger%d", i+1), Service: kit.PlainService, Version: "v1", Zone: "zone-a", Slots: 6, Work: 30 * time.Millisecond,
		})
	}
	defer s.Close()
	if err := s.Start(); err != nil {
		rec.Line("the test could not start: %v", err)
		fmt.Println(err)
		return 2
	}
	var acked atomic.Int64 // Unix ms of the ack of the new version, 0 before
	var served, right, stale atomic.Int64
	end := time.Now().Add(before + applyTime + after)
	var wg sync.WaitGroup
	for n := range callersEach * len(s.Hosts) {
		wg.Go(func() {
			host := s.Hosts[n%len(s.Hosts)]
			for i := 0; time.Now().Before(end); i++ {
				key := kit.Key
				if acked.Load() > 0 && i%2 == 1 {
					key = addedKey
				}
				c, err := kit.Connect(host.Front())
				if err != nil {
					rec.Line("%s: %v", host.Name, err)
					time.Sleep(pause)
					continue
				}
				c.Key = key
				attempt := fmt.Sprintf("%08x%08x", n+1, i+1)
				at := acked.Load()
				judged := at > 0 && time.Since(time.UnixMilli(at)) > applyTime
				res, _ := c.Send("GET", kit.LookupPrefix+"2f", attempt, nil, "", requestLimit)
				c.Close()
				runs := s.Runs(attempt)
				want := key == addedKey || at == 0
				switch {
				case !judged && res.Status == 200:
					served.Add(1)
				case judged && want == (res.Status == 200) && (want || res.Status == 401):
					right.Add(1)
				case judged && res.Status != 503 && res.Status != 0:
					stale.Add(1)
					rec.Line("CONFIG: request %s to %s, sent %v after the ack, with the key %q: status %d, runs %d",
						attempt, host.Name, time.Since(time.UnixMilli(at)).Round(time.Millisecond), key, res.Status, runs)
				default:
					rec.Line("request %s to %s with the key %q: status %d, runs %d: %v", attempt, host.Name, key, res.Status, runs, res.Err)
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(before)
	text := changed(s.Config, trouble)
	s.Store.Put("op/config", text)
	acked.Store(time.Now().UnixMilli())
	rec.Line("the store has acknowledged version %d: key %q is taken away, %q is added: %s", s.Config.Version, kit.Key, addedKey, text[:300])
	wg.Wait()
	rec.Line("%d requests served before the bound, %d handled by the new version after it, %d as only the older version allows",
		served.Load(), right.Load(), stale.Load())
	fmt.Printf("served before %d, by the new version %d, by the older one %d\n", served.Load(), right.Load(), stale.Load())
	switch {
	case stale.Load() > 0:
		return 1
	case served.Load() == 0 || right.Load() == 0:
		return 2
	}
	return 0
}
