package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Guards against giving up a sound engine that is silent for a second when no other engine can take its attempt, and
// against keeping it when another one can.
func TestSilentEngineIsKeptWithoutReplacement(t *testing.T) {
	for engines, kept := range map[int]bool{1: true, 2: false} {
		c := qt.New(t)
		s := newReadyScheduler(testConfig(Predict), testEngines(engines)...)
		sent := actionsOf[Send](s.Step(0, submit(1, ident.Interactive, 1000, 100, 3800*time.Millisecond)))[0]
		s.Step(20*ms, FirstToken{sent.Session, 1})
		s.Step(40*ms, TokenProgress{sent.Session, 7})
		cancelled := 0
		for at := 100 * ms; at < 1340*ms; at += 20 * ms {
			cancelled += len(actionsOf[CancelSession](s.Step(at, Tick{})))
		}
		c.Assert(cancelled == 0, qt.Equals, kept, qt.Commentf("%d engines, %d sessions cancelled", engines, cancelled))
		ended := actionsOf[End](s.Step(1350*ms, EngineEnded{Session: sent.Session, Count: 100}))
		c.Assert(len(ended) > 0, qt.Equals, kept, qt.Commentf("%+v", ended))
	}
}
