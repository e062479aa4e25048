package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// AttemptID identifies one attempt at a request. Each gateway numbers its attempts from its own start,
// so the number alone is ambiguous between gateways and between incarnations of one gateway.
type AttemptID struct {
	Gateway     ident.HostID
	Incarnation ident.Incarnation
	Number      uint64
}

// Event is an input of Step. The types of this file implement it.
type Event interface{ event() }

// Submit submits an attempt whose prompt has arrived completely.
type Submit struct {
	Attempt         AttemptID
	Team            ident.Team
	Model           ident.Model
	Class           ident.Class
	PromptTokens    int
	MaxOutputTokens int
	Deadline        time.Duration // caller's deadline on the clock of Step
	ResumeFrom      int           // number of the last token that the caller has received
	Prefix          string        // cache key of the prompt's prefix, see PrefixKey; may be empty
}

// Cancelled reports that the gateway abandoned the attempt or that the link to the gateway is lost.
type Cancelled struct{ Attempt AttemptID }

// EngineAccepted reports that the engine answered Send with status 200.
type EngineAccepted struct{ Session SessionID }

// FirstToken reports that the first token of this session arrived. Count is its number.
type FirstToken struct {
	Session SessionID
	Count   int
}

// TokenProgress reports the number of the last token that arrived.
type TokenProgress struct {
	Session SessionID
	Count   int
}

// EngineEnded reports that the end line of the stream was read. The engine no longer holds memory for
// the session, except for the exported KV cache.
type EngineEnded struct {
	Session SessionID
	Count   int    // number of the last token
	KV      string // handle of the exported KV cache, for Send.Export
}

// FailureKind describes how much of a failed Send the engine may have executed.
type FailureKind uint8

const (
	// Broken means that the stream ended without its end line, or that nothing is known. The engine
	// may still hold the session; the scheduler cancels it.
	Broken FailureKind = iota
	// Refused means a complete answer with an error status (503 and others). The engine holds nothing.
	Refused
	// NotSent means that no byte was written: the dial failed or the deadline had passed.
	NotSent
	// RefusedLeaving means a refusal because the engine is leaving.
	RefusedLeaving
)

// EngineFailed reports that a Send ended without an end line.
type EngineFailed struct {
	Session    SessionID
	Kind       FailureKind
	RetryAfter time.Duration // of a refusal, zero if not given
}

// CancelAcked reports that the engine acknowledged the cancel, or does not know the session.
type CancelAcked struct{ Session SessionID }

// CancelFailed reports that the cancel got no answer or an error.
type CancelFailed struct{ Session SessionID }

// KVReleased reports that the engine dropped the exported KV cache, or does not know it.
type KVReleased struct {
	Engine ident.BackendID
	Handle string
}

// KVReleaseFailed reports that the release of a KV cache got no answer or an error.
type KVReleaseFailed struct {
	Engine ident.BackendID
	Handle string
}

// Report carries an engine's report. Requested is the time at which the request for it was written:
// the earliest time that the engine can have taken the numbers is Requested minus the report's age.
type Report struct {
	Engine    ident.BackendID
	Requested time.Duration
	Report    backendapi.Report
}

// CacheEvent carries one cache event of an engine. Events are hints: they may be late or missing.
type CacheEvent struct {
	Engine ident.BackendID
	Event  backendapi.CacheEvent
}

// Engine describes one owned engine as configured.
type Engine struct {
	ID           ident.BackendID
	Group        string
	Model        ident.Model
	MemoryTokens int
	Leaving      bool // from membership or the host list; a leaving engine gets no new work
}

// EnginesChanged replaces the list of owned engines. An engine that is no longer listed gets no new
// work; its running sessions continue. A newly listed one gets no work before its first report.
type EnginesChanged struct{ Engines []Engine }

// EngineGone reports that an engine was permanently removed from the configuration or the host list:
// its process and memory no longer exist. Its sessions fail and their reservations are dropped. Never
// use it for a mere change of owner.
type EngineGone struct{ Engine ident.BackendID }

// IssuerSeen reports the current incarnation of an entry host, from membership. Sessions that another
// incarnation of the host issued are cancelled as soon as a report lists them.
type IssuerSeen struct {
	Issuer      ident.HostID
	Incarnation ident.Incarnation
}

// Tick advances the clock. Send it at the time of the last Wake, and after the process was paused.
type Tick struct{}

func (Submit) event()          {}
func (Cancelled) event()       {}
func (EngineAccepted) event()  {}
func (FirstToken) event()      {}
func (TokenProgress) event()   {}
func (EngineEnded) event()     {}
func (EngineFailed) event()    {}
func (CancelAcked) event()     {}
func (CancelFailed) event()    {}
func (KVReleased) event()      {}
func (KVReleaseFailed) event() {}
func (Report) event()          {}
func (CacheEvent) event()      {}
func (EnginesChanged) event()  {}
func (EngineGone) event()      {}
func (IssuerSeen) event()      {}
func (Tick) event()            {}
