// Package kit holds the stand-ins of the review's scripts: the platform's store, backend servers, callers, and the entry
// hosts that run as processes of the project's own program.
package kit

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store with its value.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       uint64 `json:"at,omitempty"`
}

// pageSize is the number of items on a page of a range.
const pageSize = 500

// Store is a store that speaks the platform's protocol for reading. It can be slow.
type Store struct {
	mu       sync.Mutex
	items    map[string]Item
	history  []Item
	revision uint64
	changed  chan struct{}
	answer   time.Duration // time of an answer
	onCall   func(host, path string)
	servers  []*http.Server
}

// NewStore returns a store whose answers take the given time.
func NewStore(answer time.Duration) *Store {
	return &Store{items: map[string]Item{}, revision: 1, changed: make(chan struct{}), answer: answer}
}

// SetAnswerTime sets how long each further answer takes.
func (s *Store) SetAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = d
}

// OnCall sets a function that is called when a call arrives, with the entry host that made it.
func (s *Store) OnCall(f func(host, path string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onCall = f
}

// Put writes a value and returns its revision, which is the acknowledgement. A nil value deletes the key.
func (s *Store) Put(key string, value any) uint64 {
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value) // the values of the scripts always marshal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: text, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if old, known := s.items[key]; known {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(s.items, key)
	} else {
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Serve serves the store to one entry host at an address of its own.
func (s *Store) Serve(host, address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, host) })}
	s.mu.Lock()
	s.servers = append(s.servers, x)
	s.mu.Unlock()
	go func() { _ = x.Serve(ln) }()
	return nil
}

// Close ends the store.
func (s *Store) Close() {
	for _, x := range s.servers {
		_ = x.Close()
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, host string) {
	s.mu.Lock()
	onCall := s.onCall
	s.mu.Unlock()
	if onCall != nil {
		onCall(host, r.URL.Path)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.delay()
		s.mu.Lock()
		it, known := s.items[q.Get("key")]
		it.At = s.revision
		s.mu.Unlock()
		if !known {
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		reply(w, it)
	case "/api/kv-range":
		s.delay()
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

// delay waits for the time of an answer, which is computed at its end.
func (s *Store) delay() {
	s.mu.Lock()
	d := s.answer
	s.mu.Unlock()
	time.Sleep(d)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	list := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	truncated := len(list) > pageSize
	if truncated {
		list = list[:pageSize]
	}
	reply(w, map[string]any{"entries": list, "truncated": truncated, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		at, changed := s.revision, s.changed
		events := []Item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			s.delay()
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
