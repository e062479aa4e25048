package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// EngineStatus is the scheduler's view of one engine.
type EngineStatus struct {
	ID             ident.BackendID
	Model          ident.Model
	Owned          bool // listed by the last EnginesChanged
	Usable         bool // owned, reported recently, neither leaving nor suspected nor paused
	Leaving        bool
	MemoryTokens   int
	OwnTokens      int // reserved by this scheduler, exported KV caches included
	OthersTokens   int // held by other issuers according to the last report
	Sessions       int // own sessions that hold memory
	QueuedPrefill  int // own prefill tokens in flight
	Concurrency    int // current concurrency limit
	PrefillPerS    float64
	ContestedUntil time.Duration // free memory and limit growth are halved until then
}

// ModelLoad is the load of one model as published by gossip.
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
	Failed           uint64 // ended with the outcome "may have run"
	Resumed          uint64 // sends of an attempt whose earlier send failed
	Hangs            uint64
	CancelsSent      uint64
	ForeignCancels   uint64 // cancels of sessions that this scheduler did not send or has released
	ReleasedByAbsent uint64 // reservations released because a newer report lacked the session
	StaleReports     uint64
}

// Status returns a snapshot.
func (s *Scheduler) Status() Status {
	st := Status{Running: s.running, Counters: s.counters}
	for c := range s.queues {
		st.Queued[c] = len(s.queues[c])
	}
	for _, e := range s.enginesByID {
		es := EngineStatus{
			ID: e.id, Model: e.model, Owned: e.owned, Usable: e.usable(s), Leaving: e.leaving,
			MemoryTokens: e.memory, OwnTokens: e.ownTokens, OthersTokens: e.othersTokens,
			QueuedPrefill: e.prefillTotal(), Concurrency: e.limit.Limit(),
			PrefillPerS: e.rate(s), ContestedUntil: e.contestedUntil,
		}
		for _, h := range e.holds {
			if !h.freed {
				es.Sessions++
			}
		}
		st.Engines = append(st.Engines, es)
	}
	st.Models = s.modelLoads()
	return st
}

func (s *Scheduler) modelLoads() []ModelLoad {
	var out []ModelLoad
	for _, e := range s.enginesByID {
		if !e.usable(s) {
			continue
		}
		delay := e.predictFirstToken(s, int(ident.Interactive), 1, "")
		i := slices.IndexFunc(out, func(m ModelLoad) bool { return m.Model == e.model })
		if i < 0 {
			out = append(out, ModelLoad{Model: e.model, QueueDelay: delay})
			i = len(out) - 1
		}
		out[i].FreeTokens += e.availableTokens(s)
		out[i].QueueDelay = min(out[i].QueueDelay, delay)
	}
	slices.SortFunc(out, func(a, b ModelLoad) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return out
}
