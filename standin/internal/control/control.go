// Package control holds the fault switches and JSON helpers that all stand-ins share.
package control

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// MaxBodyBytes bounds every request body: a prompt of 4,000,000 bytes may double by JSON escapes.
const MaxBodyBytes = 16 << 20

// FaultSettings holds the fault settings of a stand-in. The zero value has all faults off.
type FaultSettings[T any] struct {
	OnSet func(T) // runs after each change; set it before use

	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// Get returns the settings and a channel that is closed when they change.
func (s *FaultSettings[T]) Get() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.value, s.changed
}

// Set replaces all settings.
func (s *FaultSettings[T]) Set(v T) {
	s.mu.Lock()
	s.value = v
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if s.OnSet != nil {
		s.OnSet(v)
	}
}

// ServeHTTP serves /faults: POST replaces all settings (an empty object turns all faults off), and both
// GET and POST return them.
func (s *FaultSettings[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var v T
		if !ReadJSON(w, r, &v) {
			return
		}
		s.Set(v)
	}
	v, _ := s.Get()
	WriteJSON(w, http.StatusOK, v)
}

// ReadJSON reads a bounded JSON body; on failure it answers 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, "invalid JSON body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes v with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Unavailable answers 503 with Retry-After of one second.
func Unavailable(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// ResetConnection closes the connection of a request with a TCP reset, without an answer.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	conn.Close()
}
