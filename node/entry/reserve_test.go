package entry

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silentEngine is a dialect whose engines accept reservations except between two times after its creation.
type silentEngine struct {
	Dialect
	created     time.Time
	from, until time.Duration
}

var errSilent = errors.New("no answer")

func (s *silentEngine) Reserve(context.Context, *http.Client, string, Reservation) error {
	if t := time.Since(s.created); t >= s.from && t < s.until {
		return errSilent
	}
	return nil
}

// Guards against a running request that is given up because a helper engine was silent for a part of its lease, and
// against one that goes on after its lease may have ended.
func TestSilentHelperKeepsItsLease(t *testing.T) {
	c := qt.New(t)
	const lease = 2 * time.Second
	for _, test := range []struct {
		silentUntil time.Duration
		cancelled   bool
	}{{lease * 3 / 4, false}, {time.Hour, true}} {
		h := testHost()
		engine := &silentEngine{created: time.Now(), from: lease / 10, until: test.silentUntil}
		h.cfg.Dialect = engine
		r := &reservations{host: h, lease: lease, held: []heldReservation{{engine: "i-1"}}}
		ctx, stop := context.WithCancel(context.Background())
		attempt, cancelAttempt := context.WithCancel(ctx)
		r.renewal.Add(1)
		start := h.now()
		go r.renew(ctx, start, cancelAttempt)
		select {
		case <-attempt.Done():
			c.Assert(test.cancelled, qt.IsTrue, qt.Commentf("cancelled after %v", h.now()-start))
			c.Assert(h.now()-start < lease, qt.IsTrue)
		case <-time.After(lease + lease/4):
			c.Assert(test.cancelled, qt.IsFalse, qt.Commentf("not cancelled"))
		}
		stop()
		r.renewal.Wait()
		cancelAttempt()
	}
}
