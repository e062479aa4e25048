package entry

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// minStall and maxStall bound the time beyond the prediction after which a silent engine counts as lost.
	// Between them it is twice the objective. Callers of short requests abandon a stream after 2 s without an
	// event, those of long ones after 6 s or more. If an engine is wrongly taken for lost, another one repeats
	// the prefill, which is costly for a long prompt.
	minStall = 900 * time.Millisecond
	maxStall = 3 * time.Second
	// stallFactor adds a share of the predicted time, since predictions are less accurate for long waits.
	stallFactor = 0.5
)

// stallTimer cancels an attempt whose engine sends no event for too long.
type stallTimer struct {
	timer   *time.Timer
	active  bool
	slack   time.Duration
	stalled atomic.Bool
}

// errStalled replaces the error of an attempt that a stallTimer has cancelled.
var errStalled = Error.New("no event within the time that the engine's load explains")

// newStallTimer starts a timer for the first event. For streams that may not be retried it never cancels, since
// they have no other server to go to.
func (st *stream) newStallTimer(cancel context.CancelFunc, predicted time.Duration) *stallTimer {
	g := &stallTimer{
		active: st.q.route.Repeatable() && st.q.attempts+1 < st.q.route.MaxAttempts,
		slack:  min(maxStall, max(minStall, 2*st.q.route.Objective)),
	}
	g.timer = time.AfterFunc(g.timeout(predicted), func() {
		if g.active {
			g.stalled.Store(true)
			cancel()
		}
	})
	return g
}

func (g *stallTimer) timeout(predicted time.Duration) time.Duration {
	return g.slack + predicted + time.Duration(stallFactor*float64(predicted))
}

func (g *stallTimer) extend(predicted time.Duration) { g.timer.Reset(g.timeout(predicted)) }
func (g *stallTimer) stop()                          { g.timer.Stop() }
func (g *stallTimer) fired() bool                    { return g.stalled.Load() }

func (g *stallTimer) cause(err error) error {
	if g.fired() {
		return errStalled
	}
	return err
}
