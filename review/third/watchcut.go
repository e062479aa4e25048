package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// cutTime is how long a watch may wait in a store that cuts waiting watches.
	cutTime = 300 * time.Millisecond
	// backTime and backSpread are the least time and the spread of the time between the new start of a server and the leaving of the next one.
	backTime   = time.Second
	backSpread = time.Second
)

// watchCutCase removes the entries of servers that never say that they drain, one after the other, while the store cuts each watch
// that has waited for cutTime.
func watchCutCase(s *system) (broken int, err error) {
	const rounds = 20
	servers, err := s.begin(4, 3, apiKey)
	if err != nil {
		return 0, err
	}
	if s.trouble {
		s.store.cutWatchesAfter(cutTime)
	}
	l := startLoad(s, "a", apiKey, 4*time.Millisecond, "/lookup/2f", http.MethodGet)
	time.Sleep(stableTime + time.Second)
	for round := range rounds {
		leaving := servers[round%len(servers)]
		ack := s.store.put("servers/"+leaving.id, nil)
		time.Sleep(drainTime + 500*time.Millisecond)
		broken += s.countLate(leaving, ack)
		leaving.startAgain()
		s.store.put("servers/"+leaving.id, leaving.entry("ready", 1))
		time.Sleep(backTime + rand.N(backSpread))
	}
	s.log.result("answers by status: %v", countStatus(l.end()))
	return broken, nil
}
