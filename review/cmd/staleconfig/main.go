// Command staleconfig checks that every entry host follows a new configuration that the operator writes while another host
// starts and the store is slow.
package main

import (
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/kit"
)

const (
	hosts = 6
	// slowAnswer is the time of an answer of the slow store: 60 times the usual 4 ms.
	slowAnswer = 240 * time.Millisecond
	fastAnswer = 4 * time.Millisecond
	// releaseGap is the time between two replacements of servers of a service.
	releaseGap = 850 * time.Millisecond
	// startTime is the time from the start of a new server to the leave of the one that it replaces.
	startTime = 300 * time.Millisecond
	// drainTime is how long a server serves on after its entry says that it is leaving.
	drainTime = 2200 * time.Millisecond
	// modelServers and ledgers are the numbers of servers, and spares that of further model servers.
	modelServers, ledgers, spares = 21, 3, 14
	// releases is the number of releases in a round, releaseStep the time between their begins, and releaseServers the
	// number of servers that each replaces. The first one begins releaseBefore the start of a host.
	releases, releaseServers = 3, 2
	releaseStep              = 250 * time.Millisecond
	releaseBefore            = 150 * time.Millisecond
	// slowTime is how long the store stays slow after a start.
	slowTime = 1500 * time.Millisecond
	// settle is the time from the end of all that to the check: stable_ms, and longer than config_apply_ms.
	settle = 3200 * time.Millisecond
	rounds = 8
)

// writeAfter is the time from the start of a host to the new configuration, by round. Machines differ in how long the start
// of a process takes.
var writeAfter = []time.Duration{
	400 * time.Millisecond, 520 * time.Millisecond, 460 * time.Millisecond, 640 * time.Millisecond, 580 * time.Millisecond,
}

func main() { kit.Run(play) }

// watchers records when each host has asked the store for changes last.
type watchers struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (x *watchers) call(host, path string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if path == "/api/kv-watch" {
		x.last[host] = time.Now()
	}
}

// readers returns the hosts that have asked the store for changes lately.
func (x *watchers) readers(hosts []*kit.Host) (readers []*kit.Host) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, h := range hosts {
		if time.Since(x.last[h.Name]) < 3500*time.Millisecond {
			readers = append(readers, h)
		}
	}
	return readers
}

func key(n int) string { return fmt.Sprintf("key%05d", n) }

func play(s *kit.Scene) int {
	s.KeepHosts(hosts)
	if err := s.AddServers(kit.Lookup.Service, ledgers); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	if err := s.AddServers(kit.Archive.Service, modelServers); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	for range spares {
		if err := s.AddSpare(kit.Archive.Service); err != nil {
			s.Record.Say("%v", err)
			return kit.NotRun
		}
	}
	f := &fleet{spare: append([]*kit.Server(nil), s.Servers[ledgers+modelServers:]...)}
	f.listed = append(f.listed, s.Servers[ledgers:ledgers+modelServers]...)
	version := 10
	// Each version holds its own key, and a key that all versions hold.
	put := func() {
		version += 3
		at := s.Store.Put("op/config", kit.Config(version, []string{kit.Key, key(version)}, kit.Lookup, kit.Payment, kit.Query, kit.Archive))
		s.Record.Say("store: acknowledged configuration %d at revision %d", version, at)
	}
	put()
	w := &watchers{last: map[string]time.Time{}}
	s.Store.OnCall(w.call)
	if err := s.Start(); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	time.Sleep(4 * time.Second)
	for round := range rounds {
		readers := w.readers(s.Hosts)
		if len(readers) == 0 {
			s.Record.Say("no host reads the store")
			return kit.NotRun
		}
		x := readers[rand.Intn(len(readers))]
		s.Record.Say("round %d: %s, which reads the store, is stopped with SIGTERM and starts again", round, x.Name)
		x.Signal(syscall.SIGTERM)
		if !x.WaitExit(8 * time.Second) {
			x.Kill()
		}
		if s.Trouble {
			s.Store.SetAnswerTime(slowAnswer)
		}
		var wg sync.WaitGroup
		for n := range releases {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * releaseStep)
				f.release(s)
			})
		}
		time.Sleep(releaseBefore)
		if err := x.Start(); err != nil {
			s.Record.Say("%v", err)
			return kit.NotRun
		}
		time.Sleep(writeAfter[round%len(writeAfter)])
		put()
		time.Sleep(slowTime)
		s.Store.SetAnswerTime(fastAnswer)
		wg.Wait()
		f.leaving.Wait()
		time.Sleep(settle)
		if stale := check(s, version); stale > 0 {
			s.Record.Say("the store answers at once again, and nothing changes for 10 s")
			time.Sleep(10 * time.Second)
			if stale = check(s, version); stale > 0 {
				s.Record.Say("CONFIG is broken: %d hosts serve what only an older configuration allows", stale)
				return kit.Broken
			}
		}
	}
	return kit.Held
}

// fleet is the model servers, some of which are spare: they run and are not listed in the store.
type fleet struct {
	mu            sync.Mutex
	listed, spare []*kit.Server
	leaving       sync.WaitGroup
}

// release replaces a few servers one after the other: the new one starts, then the old one drains, and its entry is removed
// when it has left. A server that has left starts again later as a new one.
func (f *fleet) release(s *kit.Scene) {
	put := func(x *kit.Server, state string) {
		var entry any
		if state != "removed" {
			entry = x.Entry(state)
		}
		at := s.Store.Put("servers/"+x.ID, entry)
		s.Record.Write("store: %s is %s at revision %d", x.ID, state, at)
	}
	for range releaseServers {
		f.mu.Lock()
		old, fresh := f.listed[0], f.spare[0]
		f.listed, f.spare = append(f.listed[1:], fresh), f.spare[1:]
		f.mu.Unlock()
		put(fresh, "ready")
		time.Sleep(startTime)
		put(old, "draining")
		f.leaving.Go(func() {
			time.Sleep(drainTime)
			put(old, "removed")
			f.mu.Lock()
			defer f.mu.Unlock()
			f.spare = append(f.spare, old)
		})
		time.Sleep(releaseGap - startTime)
	}
}

// check sends requests with the key of the version before the last one and with that of the last one to each host, and
// returns how many hosts serve the former or refuse the latter.
func check(s *kit.Scene, version int) (stale int) {
	for _, h := range s.Hosts {
		old := kit.Request{ID: fmt.Sprintf("old-%d-%s-%d", version, h.Name, rand.Int31()), Method: "GET", Path: "/lookup/2f", Key: key(version - 3), DeadlineMS: 4000}
		latest := old
		latest.ID, latest.Key = "new"+old.ID[3:], key(version)
		a := kit.Call(h.Callers(), old, 4*time.Second)
		b := kit.Call(h.Callers(), latest, 4*time.Second)
		s.Record.Write("caller: %s with a key that version %d dropped: %s; run by %v", old.ID, version, a, s.Record.Runs(old.ID))
		s.Record.Write("caller: %s with a key that version %d added: %s; run by %v", latest.ID, version, b, s.Record.Runs(latest.ID))
		if a.Status == 200 || b.Status == 401 {
			s.Record.Say("%s: dropped key: status %d, run by %v; new key: status %d", h.Name, a.Status, s.Record.Runs(old.ID), b.Status)
			stale++
		}
	}
	return stale
}
