package dispatcher

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
	"github.com/rosemaryhill/rosemaryhill/transport/wire"
)

// result is an input of the loop other than a new attempt: one of the types below.
type result any

type (
	// engineEvent carries an event for the scheduler.
	engineEvent struct{ ev sched.Event }
	// cancelled reports that the gateway cancelled an attempt.
	cancelled struct{ id sched.AttemptID }
	// linkLost reports that a link is down; all its attempts are cancelled.
	linkLost struct{ peer *link.Peer }
	// tokenUnsent reports that a token could not be queued on the attempt's link.
	tokenUnsent struct{ a *attempt }
	// pendingEnd is an End frame that has yet to be queued on its link.
	pendingEnd struct {
		peer  *link.Peer
		frame *wire.End
	}
	// loopCall is a function to be run on the loop.
	loopCall struct{ run func(*loop) }
)

const (
	// housekeepingPeriod is the interval at which load is reported to membership and unsent End frames are
	// retried.
	housekeepingPeriod = 100 * time.Millisecond
	// maxPendingEnds bounds the End frames that wait for space in the send rings of their links.
	maxPendingEnds = 4096
)

// loop is the state of the goroutine that owns the scheduler.
type loop struct {
	d           *Dispatcher
	sched       *sched.Scheduler // nil until a configuration is available
	attempts    map[sched.AttemptID]*attempt
	sessions    map[sched.SessionID]*session
	engines     *engineSet
	pendingEnds []pendingEnd
	wake        *time.Timer
}

func newLoop(d *Dispatcher) *loop {
	return &loop{
		d:        d,
		attempts: map[sched.AttemptID]*attempt{},
		sessions: map[sched.SessionID]*session{},
		engines:  newEngineSet(d),
		wake:     time.NewTimer(time.Hour),
	}
}

func (l *loop) run() {
	ticker := time.NewTicker(housekeepingPeriod)
	defer ticker.Stop()
	defer l.wake.Stop()
	defer l.engines.close()
	changes := l.d.view.Subscribe()
	defer l.d.view.Unsubscribe(changes)
	l.refresh()
	for {
		select {
		case <-l.d.stop:
			l.cancelAll()
			return
		case a := <-l.d.requests.Items():
			l.admit(a)
		case r := <-l.d.results.Items():
			l.handleResult(r)
		case <-l.wake.C:
			l.step(sched.Tick{})
		case <-changes:
			l.refresh()
		case <-ticker.C:
			l.housekeep()
		}
	}
}

func (l *loop) handleResult(r result) {
	switch r := r.(type) {
	case engineEvent:
		l.step(r.ev)
	case cancelled:
		l.cancelAttempt(r.id)
	case linkLost:
		for id, a := range l.attempts {
			if a.peer == r.peer {
				l.cancelAttempt(id)
			}
		}
	case tokenUnsent:
		l.endAfterSendFailure(r.a)
	case pendingEnd:
		l.sendEnd(r)
	case loopCall:
		r.run(l)
	}
}

// admit passes a new attempt to the scheduler, or refuses it if the process is draining or not ready.
func (l *loop) admit(a *attempt) {
	if l.sched == nil {
		l.refresh()
	}
	if refusal := l.d.admit(); refusal != nil {
		l.finish(a, outcome.NotRun, refusal.Reason, refusal.RetryAfter, "dispatcher_admit", "")
		return
	}
	l.attempts[a.id] = a
	l.step(a.submitEvent())
}

// cancelAttempt cancels an attempt whose gateway no longer expects an answer.
func (l *loop) cancelAttempt(id sched.AttemptID) {
	a := l.attempts[id]
	if a == nil {
		return
	}
	l.step(sched.Cancelled{Attempt: id})
	if l.attempts[id] == a {
		l.remove(a, outcome.Cancelled)
	}
}

// endAfterSendFailure ends an attempt whose tokens could not be queued on its link.
func (l *loop) endAfterSendFailure(a *attempt) {
	if l.attempts[a.id] != a {
		return
	}
	l.finish(a, outcome.MayHaveRun, outcome.Overload, refusalRetry, "dispatcher_link", "")
	l.step(sched.Cancelled{Attempt: a.id})
	if l.attempts[a.id] == a {
		l.remove(a, outcome.Overload)
	}
}

func (l *loop) step(ev sched.Event) {
	if l.sched == nil {
		return // no attempt has been admitted yet
	}
	for _, action := range l.sched.Step(l.d.view.Now(), ev) {
		l.execute(action)
	}
}

func (l *loop) execute(action sched.Action) {
	switch act := action.(type) {
	case sched.Send:
		l.send(act)
	case sched.CancelSession:
		l.cancelSession(act)
	case sched.ReleaseKV:
		l.releaseKV(act)
	case sched.Queued:
		if a := l.attempts[act.Attempt]; a != nil {
			a.sendAccepted("", act.Position)
		}
	case sched.Refuse:
		l.endAttempt(act.Attempt, outcome.NotRun, act.Reason, act.RetryAfter, "")
	case sched.End:
		l.endAttempt(act.Attempt, act.Kind, act.Reason, act.RetryAfter, act.Engine)
	case sched.Wake:
		l.wake.Reset(max(0, act.At-l.d.view.Now()))
	}
}

// endAttempt ends an attempt with the outcome chosen by the scheduler.
func (l *loop) endAttempt(id sched.AttemptID, k outcome.Kind, r outcome.Reason, retry time.Duration, engine ident.BackendID) {
	a := l.attempts[id]
	if a == nil {
		return
	}
	l.finish(a, k, r, retry, "schedule", string(engine))
	l.remove(a, r)
}

// finish ends an attempt and queues its End frame.
func (l *loop) finish(a *attempt, k outcome.Kind, r outcome.Reason, retry time.Duration, step, peer string) {
	frame, ok := a.end(k, r, retry, step, peer)
	if !ok {
		return
	}
	l.d.attemptsEnded.Add(1, k.String())
	l.d.log.WithFields(fields{
		"gateway": a.peer.String(), "request": a.submit.Request, "attempt": a.id.Number, "outcome": k.String(),
		"reason": string(r), "count": frame.Count, "peer": peer,
	}).Debug("attempt ended")
	failure := ""
	if k != outcome.Answered {
		failure = string(r)
	}
	obs.EndSpan(a.span, failure)
	if l.attempts[a.id] != a {
		l.d.intake.releaseBytes(len(a.prompt))
	}
	l.sendEnd(pendingEnd{a.peer, frame})
}

// remove deletes an attempt, ending it without an End frame if it has not ended.
func (l *loop) remove(a *attempt, r outcome.Reason) {
	if frame, ok := a.end(outcome.MayHaveRun, r, 0, "dispatcher", ""); ok {
		obs.EndSpan(a.span, string(r))
		_ = frame // not sent: the gateway cancelled the attempt and expects no End frame
	}
	delete(l.attempts, a.id)
	l.d.intake.releaseBytes(len(a.prompt))
	l.d.attemptDone()
}

// sendEnd queues an End frame on its link, or keeps it for a retry if the link's send ring is full. Without
// the retry, the gateway would wait until the deadline of an attempt that has already ended.
func (l *loop) sendEnd(e pendingEnd) {
	err := e.peer.Send(e.frame)
	if err == nil || !link.ErrFull.Has(err) {
		return // sent, or the link is down and the gateway resubmits on its own
	}
	if len(l.pendingEnds) >= maxPendingEnds {
		l.d.log.WithFields(fields{"step": "deliver", "peer": e.peer.String()}).Warn("too many unsent End frames, closing link")
		e.peer.Close()
		return
	}
	l.pendingEnds = append(l.pendingEnds, e)
}

func (l *loop) housekeep() {
	waiting := l.pendingEnds
	l.pendingEnds = nil
	for _, e := range waiting {
		l.sendEnd(e)
	}
	if l.sched == nil {
		return
	}
	st := l.sched.Status()
	loads := make([]member.ModelLoad, len(st.Models))
	for i, m := range st.Models {
		loads[i] = member.ModelLoad{Model: m.Model, FreeTokens: int64(m.FreeTokens), QueueDelay: m.QueueDelay}
	}
	l.d.status.Store(&st)
	l.d.view.SetLoad(loads)
	l.engines.prune(st)
}

// cancelAll cancels the remaining attempts when the process stops, so that engines free their memory before
// the deadlines. After Kill it does nothing.
func (l *loop) cancelAll() {
	if l.d.killed.Load() {
		return
	}
	for id := range l.attempts {
		l.cancelAttempt(id)
	}
}
