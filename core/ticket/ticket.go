// Package ticket makes non-idempotent calls run at most once. A ticket names the only process that
// may send its call; that process, the executor, keeps the ticket's state in a Table. Every other
// gateway calls Route to decide where the call goes.
//
// Invariant: "not run" is returned only for a ticket that was burned before. It is never returned for
// a ticket whose call ran or may still run.
package ticket

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

const step = "ticket"

// Defaults of Config.
const (
	Lifetime      = 120 * time.Second
	Retention     = 300 * time.Second
	MaxRecords    = 65_536
	MaxBodyBytes  = 64 << 10
	MaxTotalBytes = 32 << 20
	// MaxTicketsPerRequest bounds the tickets of one request for addresses.
	MaxTicketsPerRequest = 16
)

// Config sets up a Table. Zero fields take the package's defaults.
type Config struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Key signs tickets. It must be random, at least 16 bytes, and never leave the process.
	Key []byte
	// StartUnixMS is the wall-clock time at monotonic time zero, in milliseconds since 1970. It is used
	// only for the expiry in the ticket text; decisions use the monotonic clock.
	StartUnixMS int64
	// Lifetime is the time in which a ticket can be used. A longer lifetime lets callers hold tickets
	// longer, but unused tickets take up the table for longer.
	Lifetime time.Duration
	// Retention is the time after expiry for which an outcome is kept. With a shorter retention, more
	// late retries end "may have run".
	Retention time.Duration
	// MaxRecords bounds the records in the table. At the limit no ticket is issued.
	MaxRecords int
	// MaxBodyBytes bounds the body of one recorded response, MaxTotalBytes the sum of all of them. A
	// retry of a call whose response isn't held ends "may have run".
	MaxBodyBytes  int
	MaxTotalBytes int
}

// Call identifies the call that a ticket is bound to on first use.
type Call struct {
	Team       ident.Team
	Service    string
	Path       string
	BodyDigest [32]byte // SHA-256 of the body
}

// Response is the recorded response of a service. The table owns Body; callers must not change it.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// State is a step in the life cycle of a ticket.
type State uint8

// States. Done, Unknown and Burned are final.
const (
	Issued  State = iota // not used yet
	Sending              // claimed; set before anything may be sent to the service
	Done                 // the service responded
	Unknown              // sent, but no response arrived
	Burned               // nothing was sent, and nothing will be
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"issued", "sending", "done", "unknown", "burned"}[s]
}

// Action tells the executor what to do with a call.
type Action uint8

// Actions.
const (
	Run    Action = iota // send the call once; report Finish, Fail or Burn
	Wait                 // the call is running: call Begin again when it ends or at the caller's deadline
	Replay               // return Decision.Response
	Refuse               // return Decision.Err
)

// Decision is the result of Begin. Sequence identifies the ticket in later calls.
type Decision struct {
	Action   Action
	Sequence uint64
	Response Response
	Err      *outcome.Error
}

// mayHaveRun returns an error that leaves open whether the call ran.
func mayHaveRun(r outcome.Reason, detail string) *outcome.Error {
	return &outcome.Error{Kind: outcome.MayHaveRun, Reason: r, Step: step, Detail: detail}
}

func refuse(e *outcome.Error) Decision { return Decision{Action: Refuse, Err: e} }
