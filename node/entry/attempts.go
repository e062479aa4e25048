package entry

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Causes of failed attempts, as named in logs and metrics.
const (
	causeUnreachable = "unreachable" // no connection
	causeRefused     = "refused"     // the server states that it did not run the request
	causeSilent      = "silent"      // given up because the server sent nothing for too long
	causeCancelled   = "cancelled"   // the caller left, the time was over, or a lease was lost
	causeBroken      = "broken"      // the server broke off or sent something else than an answer
)

// attemptCause returns the cause of a failed attempt. silent reports whether the host gave the server up, and ended whether
// the context of the attempt had ended for another reason.
func attemptCause(e *outcome.Error, silent, ended bool) string {
	switch {
	case silent:
		return causeSilent
	case e.Step == stepDial:
		return causeUnreachable
	case e.Kind == outcome.NotRun:
		return causeRefused
	case ended:
		return causeCancelled
	}
	return causeBroken
}

// recordFailedAttempt logs and counts an attempt at a server that gave no complete answer. silence is the time since the
// server was sent the request or sent its last event.
func (h *Host) recordFailedAttempt(q *request, e *outcome.Error, cause string, events int, silence time.Duration) {
	h.metrics.attemptsFailed.Add(1, cause)
	h.decisions.write(fields{
		"request": q.call.ID, "server": e.Peer, "step": e.Step, "cause": cause, "events": events,
		"silent_ms": silence.Milliseconds(), "attempts": q.attempts, "config": uint64(q.config), "error": e.Error(),
	}, "attempt failed")
}
