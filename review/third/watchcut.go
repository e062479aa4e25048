package main

import (
	"net/http"
	"time"
)

// watchCutCase removes servers that never say that they drain, each right after another server has written its entry and shortly
// after the store has cut the waiting watches twice.
func watchCutCase(s *system) (broken int, err error) {
	const rounds = 6
	servers, err := s.begin(4, 3, apiKey)
	if err != nil {
		return 0, err
	}
	l := startLoad(s, "a", apiKey, 5*time.Millisecond, "/lookup/2f", http.MethodGet)
	time.Sleep(stableTime + time.Second)
	for round := range rounds {
		leaving, other := servers[round%len(servers)], servers[(round+1)%len(servers)]
		if s.trouble {
			s.store.cutWatches()
			time.Sleep(500 * time.Millisecond)
			s.store.cutWatches()
		}
		time.Sleep(80 * time.Millisecond)
		s.store.put("servers/"+other.id, other.entry("ready", 100+round))
		time.Sleep(10 * time.Millisecond)
		ack := s.store.put("servers/"+leaving.id, nil)
		time.Sleep(drainTime + time.Second)
		broken += s.countLate(leaving, ack)
		s.store.put("servers/"+leaving.id, leaving.entry("ready", round+2))
		time.Sleep(stableTime)
	}
	s.log.result("answers by status: %v", countStatus(l.end()))
	return broken, nil
}
