package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// EngineStatus is the scheduler's view of one engine.
type EngineStatus struct {
	ID             ident.BackendID
	Model          ident.Model
	Owned          bool // listed by the last EnginesChanged
	Usable         bool // owned, reported recently, neither leaving nor suspect
	Leaving        bool
	MemoryTokens   int
	OwnTokens      int // reserved by this scheduler, exported KV caches included
	OthersTokens   int // held by other issuers, by the last report
	Sessions       int // own sessions that hold memory
	QueuedPrefill  int // own prefill tokens in flight
	Concurrency    int // current concurrency limit
	PrefillPerS    float64
	ContestedUntil time.Duration // growth is halved until then
}

// ModelLoad is what gossip carries for a model.
type ModelLoad struct {
	Model      ident.Model
	FreeTokens int
	QueueDelay time.Duration // predicted wait of a short prompt
}

// Status is a snapshot for the admin API and for tests.
type Status struct {
	Engines  []EngineStatus // by id
	Models   []ModelLoad    // by name
	Queued   [3]int         // by class
	Running  int            // attempts with a session
	Counters Counters
}

// Counters count since the start of the scheduler.
type Counters struct {
	Sent             uint64
	Answered         uint64
	Refused          uint64
	Failed           uint64 // ended "may have run"
	Resumed          uint64 // sessions that replaced a lost one
	Hangs            uint64
	CancelsSent      uint64
	ForeignCancels   uint64 // cancels of sessions of other issuers and of lost own ones
	ReleasedByAbsent uint64 // reservations released because a newer report lacked the session
	StaleReports     uint64
}
