// Package kit holds stand-ins for the machines around the entry hosts, and starts entry hosts as processes. All addresses are
// loopback addresses. The stand-ins follow the users' pages; where these are silent, they behave like a sound platform, server
// or client.
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

const (
	historyTime = 20 * time.Second // for which the store keeps changes
	pageItems   = 500              // of a page of items
	pageBytes   = 1 << 20          // values of a page of items
	// MaxValue is the largest value in bytes that the store takes.
	MaxValue = 1 << 20
)

// Store is the platform's store: it can be read and watched, and the test writes to it as the operator and the servers do.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []change
	revision  uint64
	compacted uint64 // changes up to this revision are no longer kept
	changed   chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease_id"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type change struct {
	item
	at time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
}

// Put writes a value as JSON and returns its size in bytes.
func (s *Store) Put(key string, value any) int {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if len(text) > MaxValue {
		panic("the store takes no value of " + strconv.Itoa(len(text)) + " bytes")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: text, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return len(text)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change and drops those that are too old. The store must be locked.
func (s *Store) record(it item) {
	now := time.Now()
	s.history = append(s.history, change{it, now})
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > historyTime {
		s.compacted = s.history[old].Revision
		old++
	}
	s.history = append([]change(nil), s.history[old:]...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.serveKey(w, q.Get("key"))
	case "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		s.serveWatch(w, r, q.Get("prefix"), after, time.Duration(min(wait, 30000))*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a reader that has gone needs no handling
}

func (s *Store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	reply(w, it)
}

func (s *Store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var all []item
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	page, bytes := []item{}, 0
	for _, it := range all {
		if len(page) == pageItems || (len(page) > 0 && bytes+len(it.Value) > pageBytes) {
			break
		}
		page, bytes = append(page, it), bytes+len(it.Value)
	}
	reply(w, map[string]any{"entries": page, "truncated": len(page) < len(all), "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		gone, at, changed := after < s.compacted, s.revision, s.changed
		events := []item{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c.item)
			}
		}
		s.mu.Unlock()
		if gone {
			http.Error(w, "this history is no longer kept", http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Serve serves the store on a loopback address.
func Serve(s *Store) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s) }() // until the process ends
	return l.Addr().String(), nil
}
