package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached a server and was meant for it.
type arrival struct {
	id     string
	server string
	at     time.Time
}

// server is a stand-in for a plain backend server, or for a model engine if it makes tokens.
type server struct {
	id, service, zone, address string
	born                       time.Time
	coldUntil                  time.Time
	work                       time.Duration
	tokens                     int // of an answer, over the time of work
	log                        *record
	http                       *http.Server

	mu       sync.Mutex
	arrivals []arrival
}

// startServer starts a server on an address.
func startServer(id, service, zone, address string, work time.Duration, log *record) (*server, error) {
	s := &server{id: id, service: service, zone: zone, address: address, born: time.Now(), work: work, log: log}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// entry returns what the server writes of itself into the store.
func (s *server) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": 16, "state": state,
		"cold_remaining_ms": 0, "sequence": sequence, "born": s.born.UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", s.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		s.log.line("server %s turns away id=%s meant for %s", s.id, id, want)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.tokens > 0 && s.serveAdmin(w, r) {
		return
	}
	a := arrival{id, s.id, time.Now()}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.log.line("server %s runs id=%s path=%s tenant=%s", s.id, id, r.URL.Path, r.Header.Get("Tenant"))
	if s.tokens > 0 {
		s.stream(w, r, id)
		return
	}
	time.Sleep(s.work)
	body := "answer to " + id + "\n"
	w.Header().Set("Server-Seal", "seal."+id)
	w.Header().Set("Server-Load", "1,0,16")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fmt.Fprint(w, body)
}

// serveAdmin answers the calls to an engine that are no requests of consumers.
func (s *server) serveAdmin(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/healthz":
		s.mu.Lock()
		left := time.Until(s.coldUntil)
		s.mu.Unlock()
		w.Header().Set("Cold-Ms", strconv.FormatInt(max(0, left).Milliseconds(), 10))
		w.Header().Set("Server-Load", "1,0,16")
	case "/api/report":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"phase":"mixed","model_list":[{"name":"m","version":1,"adapter_list":[]}],"busy":false,"sequence":2,`+
			`"queued":0,"active":1,"kv_usage":1000,"kv_size":267750,"sessions":0}`)
	case "/api/order":
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"unused":200000}`)
	default:
		return false
	}
	return true
}

// stream writes the events of an answer, each with a token, after the last one that the caller has.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Server-Seal", "seal."+id)
	w.Header().Set("Server-Load", "1,0,16")
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	done, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for done < s.tokens {
		time.Sleep(s.work / time.Duration(s.tokens))
		done++
		fmt.Fprintf(w, "id: %d\ndata: word\n\n", done)
		if out.Flush() != nil || r.Context().Err() != nil {
			return
		}
	}
}

// since returns the requests that reached the server after a moment.
func (s *server) since(t time.Time) (out []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// startAgain begins a new lifetime of a server that has left, under the same id.
func (s *server) startAgain() {
	s.born = time.Now()
	s.log.line("server %s starts again", s.id)
}

// startAgainCold is startAgain of an engine that is cold for a time. It returns its entry.
func (s *server) startAgainCold(d time.Duration) map[string]any {
	s.startAgain()
	s.mu.Lock()
	s.coldUntil = s.born.Add(d)
	s.mu.Unlock()
	entry := s.entry("ready", 1)
	entry["cold_remaining_ms"] = d.Milliseconds()
	return entry
}
