package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Call is what a caller's header says of its request.
type Call struct {
	ID           string        // of this request; a retry of the caller has another one
	Key          string        // API key, empty when none was sent
	Timeout      time.Duration // that the caller waits; zero when not said
	ResumeAfter  string        // last event that the caller holds of an earlier stream
	PromptTokens int           // zero for requests to plain services
	OutputTokens int           // at most
}

// Helper is an engine that reads a part of a prompt.
type Helper struct {
	Address     string
	Reservation string // memory reserved there for the prompt, empty for none
}

// Forward is what the system tells a backend server beside the caller's own header.
type Forward struct {
	TimeLeft    time.Duration   // until the deadline, at the moment of sending
	Server      ident.BackendID // any other server refuses the request
	Team        string          // empty on public routes
	Urgency     int             // 0 to 9, where 0 is first; engines only
	Engine      bool            // whether the server is a model engine
	Helpers     []Helper
	ResumeAfter string // continue a stream after this event
}

// Reply is what the head of a backend server's answer says.
type Reply struct {
	ID     string // of the request that is answered
	Signed bool   // carries the server's signature
	NotRun bool   // the server says that it did not run the request
	// AtFault names the server whose state made this one refuse or break off, where it says so.
	AtFault string
	Load    *ServerLoad
}

// ServerLoad is the load that a plain server reports with an answer.
type ServerLoad struct{ Running, Waiting, Slots int }

// Reservation is a piece of an engine's memory.
type Reservation struct {
	ID     string
	Tokens int
	Lease  time.Duration // lease, from arrival
}

// Dialect translates between HTTP messages of the deployment and the types of this package.
type Dialect interface {
	// Call decodes a caller's header. Missing and unreadable values are zero.
	Call(r *http.Request) Call
	// Forward turns a copy of the caller's header into that of a request to a backend server. It removes
	// what only the system may set.
	Forward(h http.Header, f Forward)
	// Reply decodes the head of a backend server's answer.
	Reply(resp *http.Response) Reply
	// Reserve reserves memory on the engine at an address, and Release gives it back.
	Reserve(ctx context.Context, client *http.Client, address string, r Reservation) error
	Release(ctx context.Context, client *http.Client, address, id string) error
	// Directory serves callers that ask for addresses, and Readiness the platform's check.
	Directory(addresses func() []string, ttl time.Duration) http.Handler
	Readiness(ready func() bool) http.Handler
}

// Store reads the platform's store.
type Store interface {
	// Snapshot reads the whole published state.
	Snapshot(ctx context.Context) (catalog.Snapshot, error)
	// Changes waits for changes after a revision. It returns none when the wait ends without any, and
	// an error of class ErrHistory when the store no longer holds the changes since then.
	Changes(ctx context.Context, after uint64, wait time.Duration) (changes []catalog.Change, at uint64, err error)
}
