package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Action is an output of Step. The types of this file implement it.
type Action interface{ action() }

// Send starts a session on an engine. The segments of a gang are sent one at a time: each is a Send of
// its own, after the segment before it has ended.
type Send struct {
	Attempt         AttemptID
	Session         SessionID
	Engine          ident.BackendID
	PromptFrom      int // first prompt token of the segment
	PromptTo        int // end of the segment, exclusive; the whole prompt unless part of a gang
	MaxOutputTokens int // 0 for a prefill-only segment
	ResumeFrom      int // number of the last token that the caller has received
	Priority        int // lower runs first
	Prefix          string
	Import          []string // KV handles of the segments before this one, in order
	Export          bool     // prefill only, then export the KV cache
	Deadline        time.Duration
	Gang            []ident.BackendID // all engines of the gang in segment order; nil for one engine
}

// CancelSession ends a session at an engine.
type CancelSession struct {
	Engine  ident.BackendID
	Session SessionID
}

// ReleaseKV drops an exported KV cache at the engine that holds it.
type ReleaseKV struct {
	Engine ident.BackendID
	Handle string
}

// Queued reports the attempt's position in the queue of its class, counted from 0.
type Queued struct {
	Attempt  AttemptID
	Position int
}

// Refuse ends an attempt that was never written to any engine (outcome "not run").
type Refuse struct {
	Attempt    AttemptID
	Reason     outcome.Reason
	RetryAfter time.Duration // zero if a retry would not help
	Detail     string
}

// End ends an attempt that was sent. Kind is Answered after the engine's end line, else MayHaveRun.
type End struct {
	Attempt    AttemptID
	Kind       outcome.Kind
	Reason     outcome.Reason // empty for Answered
	Count      int            // number of the last token
	RetryAfter time.Duration
	Engine     ident.BackendID // last engine that worked on the attempt
}

// Wake requests a Tick at the given time.
type Wake struct{ At time.Duration }

func (Send) action()          {}
func (CancelSession) action() {}
func (ReleaseKV) action()     {}
func (Queued) action()        {}
func (Refuse) action()        {}
func (End) action()           {}
func (Wake) action()          {}
