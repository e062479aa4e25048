package main

import (
	"net/http"
	"time"
)

// awayTime is how long the store is away before it comes back from a copy.
const awayTime = time.Second

// copyConfigCase lets the store come back from a copy that lacks the last two configurations. The operator writes the last one
// again and then its next one, which takes away a key and gets the revision that the last one had before.
func copyConfigCase(s *system) (broken int, err error) {
	const observed = 8 * time.Second
	if _, err := s.begin(3, 3, apiKey, otherKey); err != nil {
		return 0, err
	}
	kept := startLoad(s, "k", apiKey, 30*time.Millisecond, "/lookup/2f", http.MethodGet)
	dropped := startLoad(s, "d", otherKey, 30*time.Millisecond, "/lookup/2f", http.MethodGet)
	time.Sleep(2 * time.Second)
	was := s.store.copy()
	for _, version := range []int{10, 13} {
		s.store.put("op/config", config(version, 0, apiKey, otherKey))
		time.Sleep(time.Second)
	}
	if s.trouble {
		s.store.leave()
	}
	time.Sleep(awayTime)
	if s.trouble {
		s.store.returnFrom(was)
		s.store.put("op/config", config(13, 0, apiKey, otherKey))
	}
	ack := s.store.put("op/config", config(16, 0, apiKey))
	time.Sleep(stableTime + observed)
	answers := dropped.end()
	s.log.result("answers with the kept key by status: %v", countStatus(kept.end()))
	from := ack.Add(stableTime + configTime)
	ran := 0
	for _, x := range answers {
		if x.sent.After(from) && x.status == http.StatusOK {
			s.log.line("broken: id=%s ran with the dropped key %d ms after the ack", x.id, x.sent.Sub(ack).Milliseconds())
			ran++
		}
	}
	s.log.result("requests with the dropped key, sent over %s after the ack of the version that drops it, that ran: %d", stableTime+configTime, ran)
	return ran, nil
}

// copyDrainCase lets the store come back from a copy that lacks some configurations. After the operator has written the last
// one again and the store has been stable, a server says in its entry that it drains.
func copyDrainCase(s *system) (broken int, err error) {
	servers, err := s.begin(3, 3, apiKey)
	if err != nil {
		return 0, err
	}
	l := startLoad(s, "a", apiKey, 15*time.Millisecond, "/lookup/2f", http.MethodGet)
	time.Sleep(2 * time.Second)
	was := s.store.copy()
	version := 7
	for range 3 {
		version += 3
		s.store.put("op/config", config(version, 1, apiKey))
		time.Sleep(time.Second)
	}
	if s.trouble {
		s.store.leave()
	}
	time.Sleep(awayTime)
	if s.trouble {
		s.store.returnFrom(was)
		s.store.put("op/config", config(version, 1, apiKey))
	}
	time.Sleep(stableTime + time.Second)

	calls := s.store.callCount()
	leaving := servers[0]
	ack := s.store.put("servers/"+leaving.id, leaving.entry("draining", 2))
	time.Sleep(3 * drainTime)
	s.log.result("calls to the store in %s: %d", 3*drainTime, s.store.callCount()-calls)
	s.log.result("answers by status: %v", countStatus(l.end()))
	return s.countLate(leaving, ack), nil
}

// countLate counts the requests that reached a server later than drainTime after the ack of its leaving.
func (s *system) countLate(leaving *server, ack time.Time) int {
	late := leaving.since(ack.Add(drainTime))
	last := time.Duration(0)
	for _, a := range late {
		last = a.at.Sub(ack)
		s.log.line("broken: id=%s reached %s %d ms after the ack of its leaving", a.id, a.server, last.Milliseconds())
	}
	s.log.result("requests at the leaving server later than %s after the ack: %d, the last after %d ms", drainTime, len(late), last.Milliseconds())
	return len(late)
}
