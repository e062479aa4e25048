// Command encodedslash sends payments whose path has an encoded slash through three entry hosts while servers lose answers, and
// checks that no payment runs twice.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/second/kit"
)

const (
	callers      = 12
	payments     = 20 // of each caller
	requestLimit = 1500 * time.Millisecond
	pause        = 200 * time.Millisecond // of a caller between two requests
	// Impairment answer_lost, as in the site file ort-ordini-grown: share 0.6 of the servers, x 0.4, for_s 4.0.
	losingServers = 1 // of 3
	lostPercent   = 40
	lostFor       = 4 * time.Second
	warmUp        = 2 * time.Second
)

var ips = []string{"127.72.0.1", "127.72.0.2", "127.72.0.3"}

// config has a route for payments, which are unsafe, and below its prefix one for lookups, which are safe.
func config() *kit.Config {
	c := kit.NewConfig()
	for i := range c.Routes {
		switch c.Routes[i].Name {
		case "r-pay":
			c.Routes[i].Prefix = "/ledger/"
		case "r-lookup":
			c.Routes[i].Prefix = "/ledger/lookup/"
		}
	}
	return c
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
	s := &kit.Scene{Daemon: daemon, IPs: ips, MemoryMB: 184, Config: config()}
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
	var mu sync.Mutex
	answered, twice := 0, 0
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() {
			time.Sleep(warmUp)
			set(s, lostPercent)
			rec.Line("%d servers lose %d%% of their answers for %v", losingServers, lostPercent, lostFor)
			time.Sleep(lostFor)
			set(s, 0)
		})
	}
	for n := range callers {
		wg.Go(func() {
			for i := range payments {
				attempt := fmt.Sprintf("%08x%08x", n+1, i+1)
				// The sheller's account is "lookup/NUMBER". The slash is a part of its name, and so it is encoded.
				path := fmt.Sprintf("/ledger/lookup%%2F%d", n)
				status := "no connection"
				if c, err := kit.Connect(s.Hosts[n%len(s.Hosts)].Front()); err == nil {
					res, _ := c.Send("POST", path, attempt, nil, "a payment", requestLimit)
					c.Close()
					status = fmt.Sprintf("status %d, complete %v", res.Status, res.Complete)
					if res.Status == 200 && res.Complete {
						mu.Lock()
						answered++
						mu.Unlock()
					}
				}
				runs := s.Runs(attempt)
				rec.Line("payment %s, POST %s: %s; runs %d", attempt, path, status, runs)
				if runs > 1 {
					mu.Lock()
					twice++
					mu.Unlock()
					rec.Line("TWICE: payment %s, of route /ledger/ (unsafe), has run %d times", attempt, runs)
				}
				time.Sleep(pause + time.Duration(n*7)*time.Millisecond)
			}
		})
	}
	wg.Wait()
	rec.Line("%d of %d payments answered, %d ran more than once", answered, callers*payments, twice)
	fmt.Printf("answered %d of %d, ran twice %d\n", answered, callers*payments, twice)
	switch {
	case answered == 0:
		return 2
	case twice > 0:
		return 1
	}
	return 0
}

func set(s *kit.Scene, percent uint64) {
	for _, x := range s.Servers[:losingServers] {
		x.LoseAnswers.Store(percent)
	}
}
