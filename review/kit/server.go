package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is a sound backend server: a model engine for requests with a Token-Usage header, a plain server for others.
type Server struct {
	ID, Service, Address string
	// WorkTime is the time that a plain request takes.
	WorkTime time.Duration
	// EventTime is the time between two events of a stream.
	EventTime time.Duration
	// EventID returns the id of the nth event of a stream, from 0. A nil function counts from 0.
	EventID func(n int) int64

	record *Record
	http   *http.Server
	mu     sync.Mutex
	leases map[string]time.Time
	active int
}

// NewServer starts a server.
func NewServer(rec *Record, id, service, address string) (*Server, error) {
	s := &Server{ID: id, Service: service, Address: address, WorkTime: 60 * time.Millisecond, EventTime: 50 * time.Millisecond, record: rec, leases: map[string]time.Time{}}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// Close ends the server.
func (s *Server) Close() { _ = s.http.Close() }

// Entry returns the server's entry in the store.
func (s *Server) Entry(state string) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": "zone-a", "version": 1, "slots": 16, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

// EventsHeader tells the stand-in engine how many events the answer to a request has.
const EventsHeader = "X-Events"

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/api/order":
		s.serveOrder(w, body)
		return
	case "/api/report":
		s.serveReport(w)
		return
	case "/healthz":
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", s.ID)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		s.record.Write("server %s: refused %s, which is for %s", s.ID, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	s.active++
	active := s.active
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	s.record.Ran(id, s.ID, r.Header.Get("Tenant"), r.URL.Path)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,16", active))
	w.Header().Set("Server-Seal", "seal."+id+"."+s.ID)
	if r.Header.Get("Token-Usage") != "" {
		s.serveStream(w, r, id)
		return
	}
	select {
	case <-time.After(s.WorkTime):
	case <-r.Context().Done():
		s.record.Write("server %s: %s was closed before its answer", s.ID, id)
		return
	}
	_, _ = io.WriteString(w, Answer(id))
}

// Answer returns the body of a plain server's answer.
func Answer(id string) string { return "answer to " + id + "\n" }

func (s *Server) serveStream(w http.ResponseWriter, r *http.Request, id string) {
	events, _ := strconv.Atoi(r.Header.Get(EventsHeader))
	if events == 0 {
		events = 5
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	after := int64(-1)
	if n, err := strconv.ParseInt(r.Header.Get("Last-Event-Id"), 10, 64); err == nil {
		after = n
	}
	for n := range events {
		event := s.eventID(n)
		if event <= after {
			continue
		}
		select {
		case <-time.After(s.EventTime):
		case <-r.Context().Done():
			s.record.Write("server %s: stream %s was closed after %d of %d events", s.ID, id, n, events)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", event, n, id)
		_ = flush.Flush()
	}
	s.record.Write("server %s: stream %s sent whole", s.ID, id)
}

func (s *Server) eventID(n int) int64 {
	if s.EventID == nil {
		return int64(n)
	}
	return s.EventID(n)
}

func (s *Server) serveReport(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, map[string]any{
		"phase": "mixed", "model_list": []any{}, "busy": false, "sequence": 0, "queued": 0, "active": s.active,
		"kv_usage": 0, "kv_size": 315000, "sessions": 0, "pace": 1,
	})
}

func (s *Server) serveOrder(w http.ResponseWriter, body []byte) {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		HoldMS    int    `json:"hold_ms"`
	}
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch strings.ToLower(o.Operation) {
	case "reserve":
		s.leases[o.ID] = time.Now().Add(time.Duration(o.HoldMS) * time.Millisecond)
	case "release":
		delete(s.leases, o.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	reply(w, map[string]any{"unused": 0})
}
