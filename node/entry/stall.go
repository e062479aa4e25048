package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
)

const (
	// minStall and maxStall bound the time beyond the prediction after which an engine counts as silent and another one is
	// tried beside it. Between them it is twice the objective. Callers of short requests abandon a stream after 2 s without
	// an event, those of long ones after 6 s or more. If a sound engine is taken for silent, another one repeats the
	// prefill, which is costly for a long prompt.
	minStall = 900 * time.Millisecond
	maxStall = 3 * time.Second
	// stallFactor adds a share of the predicted time, since predictions are less accurate for long waits.
	stallFactor = 0.5
)

// What a host does about a silent server, as named in logs and metrics.
const (
	silentHedged   = "hedged"    // another server is tried beside it
	silentNoServer = "no_server" // no other server can take the request
	silentNoRetry  = "no_retry"  // the route, the time left or the retry budget allows no other server
)

// errStalled is the reason for excluding a server that has been silent for too long.
var errStalled = Error.New("no event within the time that the engine's load explains")

// watch starts the time after which the running attempts count as silent. Streams that may not be repeated are not
// watched, since no other server may get them.
func (st *stream) watch(predicted time.Duration) {
	if !st.q.route.Repeatable() {
		return
	}
	slack := min(maxStall, max(minStall, 2*st.q.route.Objective))
	st.patience = slack + predicted + time.Duration(stallFactor*float64(predicted))
	st.silence.Reset(st.patience)
}

// hedgeSilent starts an attempt at another engine beside the silent one, which may only be silent for a while: the one that
// continues the stream first goes on.
func (st *stream) hedgeSilent() {
	h, now := st.host, st.host.now()
	a, taken := st.placeBeside(now)
	for _, x := range st.running {
		h.recordSilent(st.q, string(x.server.ID), now-x.lastProgress, taken)
		h.excludeServer(x.server.ID, stepAnswer, errStalled)
	}
	st.watch(0)
	if taken == silentHedged {
		st.start(a)
	}
}

// placeBeside places an attempt beside the running one, on an engine that nothing speaks against.
func (st *stream) placeBeside(now time.Duration) (a attempt, taken string) {
	q, s := st.q, st.host.state
	if !st.race.MayHedge() || q.timeLeft(now) < minResumeTime {
		return attempt{}, silentNoRetry
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.checkParts(now) != nil {
		return attempt{}, silentNoRetry
	}
	tried := func(id ident.BackendID) bool { return st.failed[id] || st.runsOn(id) }
	a, e := st.chooseAmong(now, s.eligibleFor(now, true, tried))
	switch {
	case e != nil:
		return attempt{}, silentNoServer
	case !s.allowRetry(now, q.service):
		return attempt{}, silentNoRetry
	}
	a.placed = st.host.place(now, a.choice)
	st.host.requestReport()
	return a, silentHedged
}

// runsOn reports whether an attempt is running on an engine.
func (st *stream) runsOn(id ident.BackendID) bool {
	for _, x := range st.running {
		if x.server.ID == id {
			return true
		}
	}
	return false
}

// endPlacement removes the load of an attempt that has ended.
func (h *Host) endPlacement(placed *placement.PlacedRequest) {
	h.state.mu.Lock()
	h.state.engines.End(h.now(), placed)
	h.state.mu.Unlock()
	h.requestReport()
}
