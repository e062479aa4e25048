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

func (s *silentEngine) Reserve(context.Context, *http.Client, Engine, Reservation) (n Notice, err error) {
	if t := time.Since(s.created); t >= s.from && t < s.until {
		return n, errSilent
	}
	return n, nil
}

// Guards against a running request that is given up because a helper engine was silent for a part of its lease, and
// against one that goes on after its lease may have ended.
func TestSilentHelperKeepsItsLease(t *testing.T) {
	const lease = 3 * time.Second
	for _, test := range []struct {
		name        string
		silentUntil time.Duration
		cancelled   bool
	}{{"for a part", lease * 7 / 10, false}, {"for good", time.Hour, true}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			h := testHost()
			h.cfg.Dialect = &silentEngine{created: time.Now(), from: lease / 10, until: test.silentUntil}
			r := &reservations{host: h, lease: lease, held: []heldReservation{{engine: Engine{ID: "i-1"}}}}
			ctx, stop := context.WithCancel(context.Background())
			defer r.renewal.Wait()
			defer stop()
			attempt, cancelAttempt := context.WithCancel(ctx)
			start := h.now()
			r.renewal.Add(1)
			go r.renew(ctx, start, cancelAttempt)
			select {
			case <-attempt.Done():
				c.Assert(test.cancelled, qt.IsTrue, qt.Commentf("cancelled after %v", h.now()-start))
				c.Assert(h.now()-start < lease, qt.IsTrue)
			case <-time.After(lease + lease/4):
				c.Assert(test.cancelled, qt.IsFalse, qt.Commentf("not cancelled"))
			}
		})
	}
}
