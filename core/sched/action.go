package sched

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Action is an output of Step. The types of this file implement it.
type Action interface{ action() }

// Send starts a session at an engine. A gang's segments come one after the other, each as a Send of
// its own once the one before it ended.
type Send struct {
	Attempt         AttemptID
	Session         SessionID
	Engine          ident.BackendID
	PromptFrom      int // first prompt token of the segment
	PromptTo        int // end of the segment, exclusive; the whole prompt unless part of a gang
	MaxOutputTokens int // 0 for a segment that only prefills
	ResumeFrom      int // last token number that the caller has
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

// Queued tells that the attempt waits at the given position of its class, from 0.
type Queued struct {
	Attempt  AttemptID
	Position int
}

// Refuse ends an attempt of which nothing was written to any engine ("not run").
type Refuse struct {
	Attempt    AttemptID
	Reason     outcome.Reason
	RetryAfter time.Duration // zero when a retry is of no use
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

// Wake asks for a Tick at the given time.
type Wake struct{ At time.Duration }

func (Send) action()          {}
func (CancelSession) action() {}
func (ReleaseKV) action()     {}
func (Queued) action()        {}
func (Refuse) action()        {}
func (End) action()           {}
func (Wake) action()          {}
