package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it was written last.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeCopy is the state of a store at a moment.
type storeCopy struct {
	items    map[string]item
	history  []item
	revision uint64
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	now      storeCopy
	era      int
	away     bool          // connections are closed without an answer
	changed  chan struct{} // closed at each change
	cut      chan struct{} // closed when the waiting watches are cut
	cutAfter time.Duration // watches that have waited for so long are cut; zero for none
	calls    int
	log      *record
}

func newStore(log *record) *store {
	return &store{
		now: storeCopy{items: map[string]item{}, revision: 1000}, era: 1, log: log,
		changed: make(chan struct{}), cut: make(chan struct{}),
	}
}

// put writes a value and returns when the store has acknowledged it. A nil value deletes the key.
func (s *store) put(key string, value any) (ack time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now.revision++
	it := item{Key: key, Revision: s.now.revision, Created: s.now.revision}
	if old, ok := s.now.items[key]; ok {
		it.Created = old.Created
	}
	if value == nil {
		it.Deleted = true
		delete(s.now.items, key)
	} else {
		it.Value, _ = json.Marshal(value) // the values of the cases always marshal
		s.now.items[key] = it
	}
	s.now.history = append(s.now.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	s.log.line("store acks key=%s revision=%d deleted=%t", key, it.Revision, it.Deleted)
	return time.Now()
}

// copy returns the present state.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("store is copied at revision %d", s.now.revision)
	return storeCopy{maps.Clone(s.now.items), append([]item(nil), s.now.history...), s.now.revision}
}

// leave makes the store unreachable.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("store is away at revision %d", s.now.revision)
	s.away = true
	s.cutLocked()
}

// returnFrom makes the store reachable again, with the state of a copy and the next era.
func (s *store) returnFrom(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now, s.away = c, false
	s.era++
	s.log.line("store is back at revision %d, era %d", s.now.revision, s.era)
}

// cutWatchesAfter makes the store close the connection of each watch that has waited for a time.
func (s *store) cutWatchesAfter(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.line("store cuts watches that wait for %s", d)
	s.cutAfter = d
}

// waitLimit returns a channel that receives when a watch has waited for too long, nil if watches may wait as they ask.
func (s *store) waitLimit() <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutAfter == 0 {
		return nil
	}
	return time.After(s.cutAfter)
}

func (s *store) cutLocked() {
	close(s.cut)
	s.cut = make(chan struct{})
}

// callCount returns the number of calls so far.
func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.now.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(it) // a client that has left needs no handling
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, it := range s.now.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"entries": list, "truncated": false, "at": s.now.revision})
}

// serveWatch answers 410 to a watch from a revision that the store does not have.
func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end, tooLong := time.After(wait), s.waitLimit()
	for {
		s.mu.Lock()
		at, changed, cut := s.now.revision, s.changed, s.cut
		events := []item{}
		for _, it := range s.now.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if after > at {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || wait == 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-tooLong:
			s.log.line("store cuts a waiting watch")
			panic(http.ErrAbortHandler)
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}
