// Package catalog holds the state that an entry host reads from the platform: the current routing configuration
// and the backend servers that may take requests. The Table does no I/O and reads no clock: callers pass in
// changes and the time.
package catalog

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// RouteKind determines whether requests of a route may be repeated.
type RouteKind uint8

// Route kinds.
const (
	Idempotent    RouteKind = iota // may run more than once
	NonIdempotent                  // runs at most once
	Streaming                      // a stream of events; idempotent only when Resumable
)

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        RouteKind
	Timeout     time.Duration // longest time to the final answer
	Objective   time.Duration // latency objective: to the answer, or to the first event of a stream
	MaxPause    time.Duration // latency objective of the pauses between two events; streams only
	MaxAttempts int           // servers that one request may be sent to
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no API key
	Resumable   bool          // a stream may continue at another server after its last event
	Split       []Share       // services with their weights, at least one
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Share is the weight of a service on a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name    string
	Runtime *Runtime // set for model engines only
	Cold    Cold
}

// Cold says for how long and how far the servers of a service must be spared after a start. The zero value stands for
// servers that are never cold.
type Cold struct {
	Time      time.Duration // from the start of a server
	PerSecond float64       // requests a second that a cold server takes from all hosts together
}

// Limits reports whether cold servers take fewer requests than warm ones.
func (c Cold) Limits() bool { return c.Time > 0 && c.PerSecond > 0 }

// Runtime holds the capacity and speed of the engines of a service, as published with the configuration.
type Runtime struct {
	Slots            int     // maximum number of requests in one batch
	MemoryTokens     int     // KV cache memory, in tokens
	StepsPerPass     int     // token steps of a pass that decodes streams
	StepMS           float64 // ms of a token step
	SequenceMS       float64 // ms added to a step for each decoding request
	ContextMSPerK    float64 // ms added to a step for each 1,000 tokens of context of the decoding requests
	ReadTokensPerMS  float64 // prefill speed in tokens per ms, without attention cost
	PairMSPerMillion float64 // attention cost of prefill in ms, for a million pairs of tokens
	UsualAnswer      int     // mean tokens of an answer
}

// Team is a client team with its API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority int // overrides the route's priority; -1 when not set
}

// CallerLimits bound what a caller may send.
type CallerLimits struct {
	// Zero when not set.
	MaxBodyBytes   int64
	MaxHeaderBytes int           // of the head of a request
	HeaderTimeout  time.Duration // from the first byte of a head to its end
	IdleTimeout    time.Duration // of a connection without a request
}

// Config is one version of the routing configuration.
type Config struct {
	Version  ident.Version
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   CallerLimits
}

// ServerState is the state that a backend server publishes.
type ServerState uint8

// Server states.
const (
	Ready ServerState = iota
	Draining
)

// Server is one instance of a backend server; each start gets a new entry.
type Server struct {
	ID       ident.BackendID
	Service  string
	Address  string // ip:port
	Zone     string // availability zone
	Slots    int
	State    ServerState
	Revision ident.Revision // revision of the store at the entry's last change
	// Started is the time of the server's start in Unix ms, by which a server that starts again under its ID is told apart.
	// Zero if it is not known.
	Started int64
	// ColdFor is how much longer the server was cold when it wrote the entry.
	ColdFor time.Duration
	// Lapsed marks a server in a snapshot whose entry has been missing since an outage. The server is
	// removed after LapseGracePeriod unless its entry returns.
	Lapsed bool
}

// Change is one change of the published state. Exactly one of Config, Unreadable, Server, Removed, Evacuated and TakenBack is set.
type Change struct {
	Revision ident.Revision
	Config   *Config
	// Unreadable says why a published configuration can't be read. The one before it stays in force.
	Unreadable string
	Server     *Server
	Removed    ident.BackendID
	Evacuated  string // availability zone that takes no new work from now on
	TakenBack  string // availability zone whose evacuation has ended
	// Lapsed marks a removal that an outage of the store may have caused.
	Lapsed bool
}

// Snapshot is the whole published state. Its source is read in several calls, so it may be of several revisions: it
// contains all changes up to Revision, any of those after it up to ReadUntil, and none after that.
type Snapshot struct {
	Revision  ident.Revision
	ReadUntil ident.Revision // 0 if all of the snapshot is of Revision
	Config    *Config        // nil when none is published, or it can't be read
	// Unreadable says why the published configuration can't be read. Empty if it can.
	Unreadable string
	Servers    []Server
	// Evacuations holds the evacuated zones. Other zones are not evacuated. Hosts always send a list to each other, if an empty
	// one, so that a state without one is known to be from a build that does not know evacuations.
	Evacuations []Evacuation
}
