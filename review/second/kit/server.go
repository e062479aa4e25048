package kit

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is what a server has done for a request.
type Run struct {
	Attempt string
	Server  string
	Began   time.Time
}

// Server is a sound backend server: an engine, which answers with events, or a plain server.
type Server struct {
	ID, Address string
	Service     string
	Version     string // of its software
	Zone        string
	Slots       int
	Born        int64
	// An engine makes Tokens tokens for an answer, one each TokenTime, and writes TokensPerEvent of them (1 if zero) with an
	// event. The id of an event is the number of tokens up to its end, so any engine can resume the answer after it.
	Tokens         int
	TokenTime      time.Duration
	TokensPerEvent int
	TokenBytes     int           // 5 if zero
	Work           time.Duration // of a plain answer
	// LoseAnswers is the share of the requests that run whose answer is lost: the connection is reset without it.
	LoseAnswers atomic.Uint64 // in percent

	mu   sync.Mutex
	runs map[string][]Run
	http *http.Server
}

// StartServer starts a server on a loopback address.
func StartServer(s *Server, ip string) error {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.Address, s.Born, s.runs = l.Addr().String(), time.Now().UnixMilli(), map[string][]Run{}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return nil
}

// Entry returns the entry of the server in the store.
func (s *Server) Entry(state string) map[string]any {
	return map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": s.Version, "slots": s.Slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1, "born": s.Born,
	}
}

// Runs returns how often the request has run.
func (s *Server) Runs(attempt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs[attempt])
}

// Close ends the server.
func (s *Server) Close() {
	if s.http != nil {
		_ = s.http.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Attempt-Id", attempt)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.ID {
		h.Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", s.ID)
		return
	case r.URL.Path == "/api/order":
		h.Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"unused":100000}`)
		return
	case attempt == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[attempt] = append(s.runs[attempt], Run{attempt, s.ID, time.Now()})
	s.mu.Unlock()
	h.Set("Server-Seal", "3e1b."+s.ID)
	h.Set("Server-Load", "1,0,"+strconv.Itoa(s.Slots))
	if s.Tokens == 0 {
		time.Sleep(s.Work)
		if rand.Uint64N(100) < s.LoseAnswers.Load() {
			reset(w)
			return
		}
		fmt.Fprint(w, strings.Repeat("x", 800))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	perEvent, tokenBytes := max(1, s.TokensPerEvent), s.TokenBytes
	if tokenBytes == 0 {
		tokenBytes = 5
	}
	done, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for done < s.Tokens {
		n := min(perEvent, s.Tokens-done)
		time.Sleep(time.Duration(n) * s.TokenTime)
		done += n
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", done, strings.Repeat("w", n*tokenBytes))
		if flush.Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
