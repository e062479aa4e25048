// Package control provides the fault settings and the HTTP and JSON helpers that all stand-ins share.
package control

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
)

// MaxBodyBytes is the maximum size of a request body. JSON escapes can double the size of a prompt of
// 4,000,000 bytes.
const MaxBodyBytes = 16 << 20

// FaultSettings holds the injected faults of a stand-in and serves them over HTTP. The zero value injects
// none.
type FaultSettings[T any] struct {
	OnSet func(T) // called after each change; must be set before use

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

// Set replaces all settings and calls OnSet.
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

// ServeHTTP serves /faults. POST replaces all settings, so that an empty object turns all faults off; all
// methods return the current settings.
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

// ReadJSON decodes a JSON body of at most MaxBodyBytes. On failure it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		http.Error(w, "invalid JSON body: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes v as JSON with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Unavailable responds with 503 and a Retry-After of one second.
func Unavailable(w http.ResponseWriter, why string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, why, http.StatusServiceUnavailable)
}

// ResetConnection closes the connection of a request with a TCP reset, without a response.
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
