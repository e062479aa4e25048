package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

const (
	// closedGrace is how long work for a request goes on after its caller has closed the connection, or only the direction
	// to this host, which looks the same: answers that come within it reach a caller that still reads. Only a failed write
	// tells the two apart.
	closedGrace = 300 * time.Millisecond
	// minReadTime is the minimum time between two successful writes that show that the caller reads: the first write to a
	// closed connection succeeds, and the reset that it causes makes the next one fail.
	minReadTime = 20 * time.Millisecond
)

// callerState is what is known of the caller's side of a request's connection. Times are in ns on the clock of Host.now, zero
// if there is none.
type callerState struct {
	closedAt              atomic.Int64
	firstWrite, lastWrite atomic.Int64 // successful writes after closedAt
	gone                  atomic.Bool  // it has been closed for closedGrace, and nothing shows that the caller reads
	cancelled             atomic.Bool  // the request was cancelled for that
}

// watchCaller cancels a stream, or a request that may be repeated, some time after its caller has closed the connection. Any
// other one goes on, so that its outcome is known, but is not sent again. The returned function ends the watch.
func (h *Host) watchCaller(q *request, cancel context.CancelFunc) (stop func()) {
	stopped := context.AfterFunc(q.http.Context(), func() {
		q.caller.closedAt.Store(int64(h.now()))
		grace := closedGrace
		if q.handover != nil { // the host that has handed it on closes the connection when it is no longer wanted
			grace = 0
		}
		time.AfterFunc(grace, func() {
			if q.caller.reads() {
				return
			}
			q.caller.gone.Store(true)
			if q.route.Repeatable() || q.route.Kind == catalog.Streaming {
				q.caller.cancelled.Store(true)
				cancel()
			}
		})
	})
	return func() { stopped() }
}

// wrote records a successful write to the caller.
func (x *callerState) wrote(now time.Duration) {
	if x.closedAt.Load() == 0 {
		return
	}
	x.firstWrite.CompareAndSwap(0, int64(now))
	x.lastWrite.Store(int64(now))
}

// reads reports whether writes show that the caller reads although it has closed its side.
func (x *callerState) reads() bool {
	return time.Duration(x.lastWrite.Load()-x.firstWrite.Load()) >= minReadTime
}
