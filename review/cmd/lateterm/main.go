// Command lateterm checks that a stopping entry host answers the requests that it takes on connections which callers kept
// open.
package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/kit"
)

const (
	hosts = 2
	// grace is the time from SIGTERM to SIGKILL.
	grace = 8 * time.Second
	// eventTime is the time between two events of a stream at the backend servers.
	eventTime = 100 * time.Millisecond
	// longEvents and lateEvents are the numbers of events of the two kinds of streams: the long ones are sent before the
	// SIGTERM and end within the grace time, the late ones are sent on kept connections after it.
	longEvents, lateEvents = 70, 50
	longBefore             = 1500 * time.Millisecond // from the long streams to the SIGTERM
	lateAfter              = 4 * time.Second         // from the SIGTERM to the late streams
	lateStreams            = 6                       // at each host
)

func main() { kit.Run(play) }

func query(id string, events int) kit.Request {
	return kit.Request{
		ID: id, Method: "POST", Path: "/archive/2f", Key: kit.Key, DeadlineMS: 15000, Body: "{}",
		Header: []string{"Model: m", "Token-Usage: 4960,1600", fmt.Sprintf("%s: %d", kit.EventsHeader, events)},
	}
}

func play(s *kit.Scene) int {
	s.KeepHosts(hosts)
	s.Store.Put("op/config", kit.Config(10, []string{kit.Key}, kit.Lookup, kit.Payment, kit.Query, kit.Archive))
	for service, n := range map[string]int{kit.Lookup.Service: 3, kit.Archive.Service: 6} {
		if err := s.AddServers(service, n); err != nil {
			s.Record.Say("%v", err)
			return kit.NotRun
		}
	}
	for _, x := range s.Servers {
		x.EventTime = eventTime
	}
	if err := s.Start(); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	// The callers open their connections, use each once, and keep them.
	kept := map[*kit.Host][]*kit.Conn{}
	for _, h := range s.Hosts {
		for n := range lateStreams {
			c, err := kit.Dial(h.Callers())
			if err != nil {
				s.Record.Say("%v", err)
				return kit.NotRun
			}
			q := kit.Request{ID: fmt.Sprintf("first-%s-%d", h.Name, n), Method: "GET", Path: "/lookup/2f", Key: kit.Key, DeadlineMS: 4000}
			res := c.Do(q, 4*time.Second)
			s.Record.Write("caller: %s to %s: %s", q.ID, h.Name, res)
			if res.Status != 200 || !res.Complete || res.Closes {
				s.Record.Say("the first request on a connection was not served: %s", res)
				return kit.NotRun
			}
			kept[h] = append(kept[h], c)
		}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	lost, served := 0, 0
	for _, h := range s.Hosts {
		wg.Go(func() {
			res := kit.Call(h.Callers(), query("long-"+h.Name, longEvents), 15*time.Second)
			s.Record.Say("caller: long stream to %s: %s", h.Name, res)
		})
	}
	time.Sleep(longBefore)
	sigterm := time.Now()
	if s.Trouble {
		for _, h := range s.Hosts {
			h.Signal(syscall.SIGTERM)
			s.OnExit(func() { h.Kill() })
			time.AfterFunc(grace, h.Kill)
		}
		s.Record.Say("SIGTERM to all hosts")
	}
	// The callers ask for addresses again each second, and keep the old ones if they get none.
	for time.Since(sigterm) < lateAfter {
		for _, h := range s.Hosts {
			list, _ := kit.Resolve(h.Directory())
			s.Record.Write("caller: addresses from %s: %v", h.Name, list)
			if len(list) > 0 && s.Trouble && time.Since(sigterm) > time.Second {
				s.Record.Say("a host still gives addresses")
				return kit.NotRun
			}
		}
		time.Sleep(time.Second)
	}
	for _, h := range s.Hosts {
		for n, c := range kept[h] {
			wg.Go(func() {
				q := query(fmt.Sprintf("late-%s-%d", h.Name, n), lateEvents)
				sent := time.Since(sigterm)
				res := c.Do(q, 15*time.Second)
				ran := s.Record.Runs(q.ID)
				s.Record.Say("caller: %s, sent %d ms after SIGTERM on a kept connection: %s; run by %v", q.ID, sent.Milliseconds(), res, ran)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case res.Status == 200 && res.Complete && res.Events == lateEvents:
					served++
				case res.Sent && len(ran) > 0 && !res.Complete:
					lost++
				}
			})
		}
	}
	wg.Wait()
	s.Record.Say("late streams: %d served, %d passed on to a server and cut", served, lost)
	if lost > 0 {
		s.Record.Say("LOST is broken")
		return kit.Broken
	}
	return kit.Held
}
