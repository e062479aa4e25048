package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	coldTime      = 3 * time.Second // cold_start_s
	coldPerSecond = 26              // cold_per_s
	coldBound     = 44              // cold_per_s x cold_overrun + cold_slack
	// seedCount is the number of hosts that the settings name as seeds.
	seedCount = 3
	// serverAway is how long the server of a zone is away before it comes back cold.
	serverAway = 2500 * time.Millisecond
	// seedAway is how long the machines of the seeds have no power.
	seedAway = 3 * time.Second
)

// seedsAwayCase kills all hosts at once, of which those that the settings name as seeds stay away for seedAway, while the server of
// one zone has come back after serverAway and is cold.
func seedsAwayCase(s *system) (broken int, err error) {
	const rounds = 4
	const hosts = 20 // of which the seeds are less than 0.16
	servers, err := s.beginWith(engineConfig(), engines, 3, hosts)
	if err != nil {
		return 0, err
	}
	time.Sleep(stableTime + time.Second)
	l := startLoad(&system{hosts: s.hosts[seedCount:], log: s.log}, "a", apiKey, 3*time.Millisecond, "/ask/2f", http.MethodPost)
	time.Sleep(2 * time.Second)
	for round := range rounds {
		srv := servers[round%len(servers)]
		s.store.put("servers/"+srv.id, nil)
		time.Sleep(serverAway)
		var starting sync.WaitGroup
		if s.trouble {
			for i, h := range s.hosts {
				starting.Go(func() { s.killAndStart(h, i < seedCount) })
			}
		}
		s.store.put("servers/"+srv.id, srv.startAgainCold(coldTime))
		time.Sleep(coldTime)
		most := mostInASecond(srv.since(srv.born), srv.born.Add(coldTime))
		s.log.result("most requests of a second at cold server %s: %d, bound %d", srv.id, most, coldBound)
		if most > coldBound {
			broken++
		}
		starting.Wait()
		time.Sleep(stableTime + 2*time.Second)
	}
	s.log.result("answers by status: %v", countStatus(l.end()))
	return broken, nil
}

// engineConfig returns a configuration with a model service whose servers start cold, with the figures of the sheet.
func engineConfig() map[string]any {
	c := config(7, 0, apiKey)
	c["routes"] = []any{map[string]any{
		"name": "ask", "host": routeHost, "prefix": "/ask/", "type": "streaming", "service": engines, "timeout_ms": 10000,
		"aim_ms": 250, "max_attempts": 2, "priority": 0, "public": false, "resumable": true, "target_gap_ms": 250,
	}}
	c["services"] = []any{map[string]any{
		"name": engines, "cold_start_s": coldTime.Seconds(), "cold_per_s": coldPerSecond,
		"runtime": map[string]any{
			"slots": 12, "kv_capacity": 267750, "step_count": 51, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
			"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
			"usual": map[string]any{"prompt": 400, "answer": engineTokens},
		},
	}}
	return c
}

// killAndStart kills a host, and starts it again after a short delay, or after seedAway if its machine has no power.
func (s *system) killAndStart(h *host, power bool) {
	s.log.line("%s is killed", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.exited
	delay := 300*time.Millisecond + rand.N(200*time.Millisecond)
	if power {
		delay = seedAway
	}
	time.Sleep(delay)
	s.log.line("%s starts", h.name)
	if err := h.start(s.root, s.dir); err != nil {
		s.log.line("%s does not start: %v", h.name, err)
	}
}

// mostInASecond returns the largest number of arrivals in a window of a second that ends before a time.
func mostInASecond(list []arrival, end time.Time) (most int) {
	first := 0
	for i, a := range list {
		if a.at.After(end) {
			break
		}
		for a.at.Sub(list[first].at) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
