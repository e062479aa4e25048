// Package ticket makes non-idempotent calls run at most once. A ticket names the only process that
// may send its call; that process, the executor, keeps the ticket's state in a Table. Every other
// gateway asks Route what to do.
//
// The rule behind every answer: "not run" is only said for a ticket that was burned first, so a key
// that ran or may still run never gets it.
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
	// StartUnixMS is the wall clock at monotonic time zero. It only fills the expiry in the text;
	// decisions use the monotonic clock.
	StartUnixMS int64
	// Lifetime is the time in which a ticket can be used. Longer lets callers hold tickets longer
	// and fills the table with unused ones.
	Lifetime time.Duration
	// Retention is the time after expiry for which an outcome is kept. Shorter turns late retries
	// into "may have run".
	Retention time.Duration
	// MaxRecords bounds the table. At the limit no ticket is issued.
	MaxRecords int
	// MaxBodyBytes bounds one recorded response, MaxTotalBytes all of them. A retry of a call whose
	// response isn't held ends "may have run".
	MaxBodyBytes  int
	MaxTotalBytes int
}

// Call is what a ticket is bound to by its first use.
type Call struct {
	Team       ident.Team
	Service    string
	Path       string
	BodyDigest [32]byte // SHA-256 of the body
}

// Response is the recorded answer of a service. Its Body belongs to the table.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// State is the state of one ticket.
type State uint8

// States. Done, Unknown and Burned are final.
const (
	Issued  State = iota // may be used once
	Sending              // claimed; set before anything may leave for the service
	Done                 // the service answered
	Unknown              // sent, and no answer came
	Burned               // nothing left, and nothing will
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
	Wait                 // the call is running: ask Begin again when it ends or at the own deadline
	Replay               // answer with Decision.Response
	Refuse               // answer with Decision.Err
)

// Decision is the answer of Begin. Sequence names the ticket in later calls.
type Decision struct {
	Action   Action
	Sequence uint64
	Response Response
	Err      *outcome.Error
}

// mayHaveRun returns an end that claims nothing about whether the call ran.
func mayHaveRun(r outcome.Reason, detail string) *outcome.Error {
	return &outcome.Error{Kind: outcome.MayHaveRun, Reason: r, Step: step, Detail: detail}
}

func refuse(e *outcome.Error) Decision { return Decision{Action: Refuse, Err: e} }
