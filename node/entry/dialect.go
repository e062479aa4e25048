package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
)

// Call is the information in a caller's request header.
type Call struct {
	ID           string        // unique to this request; a retry by the caller has another one
	Key          string        // API key, empty when none was sent
	Timeout      time.Duration // how long the caller waits; zero if not given
	ResumeAfter  string        // last event that the caller has received of an earlier stream
	PromptTokens int           // zero for requests to plain services
	OutputTokens int           // maximum number
	// SharedParts are the IDs of the prompt's parts that other requests may share, in order.
	SharedParts []PromptPart
}

// PromptPart identifies a part of a prompt. It is printed in hexadecimal.
type PromptPart uint64

// String implements fmt.Stringer.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// Helper is an engine that processes part of a prompt.
type Helper struct {
	Address     string
	Reservation string // ID of the memory reservation for the prompt; empty if there is none

	id ident.BackendID
}

// Forward is the information sent to a backend server in addition to the caller's header.
type Forward struct {
	TimeLeft    time.Duration   // until the deadline, at the time of sending
	Server      ident.BackendID // the intended server; any other one refuses the request
	Team        string          // empty on public routes
	Urgency     int             // 0 to 9, where 0 is first; engines only
	Engine      bool            // whether the server is a model engine
	Helpers     []Helper
	ResumeAfter string // resume a stream after this event
}

// Reply is the information in the header of a backend server's response.
type Reply struct {
	ID     string // of the request that the response belongs to
	Signed bool   // the response carries the server's signature
	NotRun bool   // the server states that it did not run the request
	// AtFault names the server that caused a refusal or an aborted response, if this one names it.
	AtFault string
	Load    *ServerLoad
	Notice  Notice
}

// Notice is what a server says about itself with any of its responses.
type Notice struct {
	Leaving bool                   // it takes no new work until it starts again
	Pause   time.Duration          // it wants no requests from this host for so long; zero for none
	Limit   *serverlimit.Statement // nil if the response does not tell
	Cold    time.Duration          // for how much longer the server is cold; zero if the response does not tell
}

// ServerLoad is the load that a plain server reports with a response.
type ServerLoad struct{ Running, Waiting, Slots int }

// Engine identifies an engine that gets an order.
type Engine struct {
	ID      ident.BackendID
	Address string
}

// Reservation is a lease on a part of an engine's memory.
type Reservation struct {
	ID     string
	Tokens int
	Lease  time.Duration // from the arrival of the order
}

// Dialect translates between the HTTP messages of a deployment and the types of this package.
type Dialect interface {
	// Call decodes a caller's request header. Missing and malformed values are zero.
	Call(r *http.Request) Call
	// Forward turns a copy of the caller's header into the header of a request to a backend server. It removes
	// the headers that only the system may set.
	Forward(h http.Header, f Forward)
	// Reply decodes the header of a backend server's response.
	Reply(resp *http.Response) Reply
	// Reserve reserves memory on an engine, and Release releases it. The notice is that of the engine's response, if there
	// was one.
	Reserve(ctx context.Context, client *http.Client, engine Engine, r Reservation) (Notice, error)
	Release(ctx context.Context, client *http.Client, engine Engine, id string) (Notice, error)
	// Probe asks a server for any answer, which shows that it can be reached, without a request that it runs.
	Probe(ctx context.Context, client *http.Client, server Engine) error
	// Directory serves the addresses of entry hosts to callers, and Readiness serves the platform's readiness
	// check.
	Directory(addresses func() []string, ttl time.Duration) http.Handler
	Readiness(ready func() bool) http.Handler
}

// Store is a client of the platform's store.
type Store interface {
	// Snapshot reads the complete published state. It bounds the time that it waits for the store itself.
	Snapshot(ctx context.Context) (catalog.Snapshot, error)
	// Changes waits for changes after a revision. It returns none if the wait ends without any, an error of class ErrCompacted
	// if the store no longer holds the changes since that revision, and one of class ErrRestored if it is in a later era.
	Changes(ctx context.Context, after ident.Revision, wait time.Duration) (changes []catalog.Change, at ident.Revision, err error)
}
