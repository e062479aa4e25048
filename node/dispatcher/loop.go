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

// result is an input of the loop other than a new attempt: engineEvent, cancelled, linkLost, pendingEnd or
// a function to run on the loop.
type result any

type (
	// engineEvent carries an event of the scheduler.
	engineEvent struct{ ev sched.Event }
	// cancelled tells that the gateway gave an attempt up.
	cancelled struct{ id sched.AttemptID }
	// linkLost tells that a link ended; it cancels all attempts of the link.
	linkLost struct{ peer *link.Peer }
	// noRoom tells that a token could not be queued on the attempt's link.
	noRoom struct{ a *attempt }
	// pendingEnd is a final frame that must still be queued on a link.
	pendingEnd struct {
		peer  *link.Peer
		frame *wire.End
	}
	// query runs on the loop.
	query struct{ run func(*loop) }
)

const (
	// housekeeping is the period of load reports to membership and of the retry of unsent final frames.
	housekeeping = 100 * time.Millisecond
	// maxPendingEnds bounds the final frames that wait for room on their links.
	maxPendingEnds = 4096
)

// loop is the goroutine that owns the scheduler.
type loop struct {
	d           *Dispatcher
	sched       *sched.Scheduler // nil until the configuration is known
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
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	defer l.wake.Stop()
	defer l.engines.close()
	changes := l.d.view.Subscribe()
	defer l.d.view.Unsubscribe(changes)
	l.refresh()
	for {
		select {
		case <-l.d.stop:
			l.abandon()
			return
		case a := <-l.d.requests.Items():
			l.admit(a)
		case r := <-l.d.results.Items():
			l.take(r)
		case <-l.wake.C:
			l.step(sched.Tick{})
		case <-changes:
			l.refresh()
		case <-ticker.C:
			l.keepHouse()
		}
	}
}

func (l *loop) take(r result) {
	switch r := r.(type) {
	case engineEvent:
		l.step(r.ev)
	case cancelled:
		l.giveUp(r.id)
	case linkLost:
		for id, a := range l.attempts {
			if a.peer == r.peer {
				l.giveUp(id)
			}
		}
	case noRoom:
		l.overrun(r.a)
	case pendingEnd:
		l.deliver(r)
	case query:
		r.run(l)
	}
}

// admit takes a new attempt in, or refuses it while the process drains.
func (l *loop) admit(a *attempt) {
	if l.sched == nil {
		l.refresh()
	}
	if refusal := l.d.admit(); refusal != nil {
		l.finish(a, outcome.NotRun, refusal.Reason, refusal.RetryAfter, "dispatcher_admit", "")
		return
	}
	l.attempts[a.id] = a
	l.step(a.event())
}

// giveUp cancels an attempt whose gateway no longer reads it.
func (l *loop) giveUp(id sched.AttemptID) {
	a := l.attempts[id]
	if a == nil {
		return
	}
	l.step(sched.Cancelled{Attempt: id})
	if l.attempts[id] == a {
		l.drop(a, outcome.Cancelled)
	}
}

// overrun ends an attempt whose link has no room for its tokens.
func (l *loop) overrun(a *attempt) {
	if l.attempts[a.id] != a {
		return
	}
	l.finish(a, outcome.MayHaveRun, outcome.Overload, refusalRetry, "dispatcher_link", "")
	l.step(sched.Cancelled{Attempt: a.id})
	if l.attempts[a.id] == a {
		l.drop(a, outcome.Overload)
	}
}

func (l *loop) step(ev sched.Event) {
	if l.sched == nil {
		return // no attempt was admitted yet
	}
	for _, action := range l.sched.Step(l.d.view.Now(), ev) {
		l.do(action)
	}
}

func (l *loop) do(action sched.Action) {
	switch act := action.(type) {
	case sched.Send:
		l.send(act)
	case sched.CancelSession:
		l.cancelSession(act)
	case sched.ReleaseKV:
		l.releaseKV(act)
	case sched.Queued:
		if a := l.attempts[act.Attempt]; a != nil {
			a.accepted("", act.Position)
		}
	case sched.Refuse:
		l.close(act.Attempt, outcome.NotRun, act.Reason, act.RetryAfter, "")
	case sched.End:
		l.close(act.Attempt, act.Kind, act.Reason, act.RetryAfter, act.Engine)
	case sched.Wake:
		l.wake.Reset(max(0, act.At-l.d.view.Now()))
	}
}

// close ends an attempt as the scheduler decided.
func (l *loop) close(id sched.AttemptID, k outcome.Kind, r outcome.Reason, retry time.Duration, engine ident.BackendID) {
	a := l.attempts[id]
	if a == nil {
		return
	}
	l.finish(a, k, r, retry, "schedule", string(engine))
	l.drop(a, r)
}

// finish queues the final frame of an attempt.
func (l *loop) finish(a *attempt, k outcome.Kind, r outcome.Reason, retry time.Duration, step, peer string) {
	frame, ok := a.end(k, r, retry, step, peer)
	if !ok {
		return
	}
	l.d.ended.Add(1, k.String())
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
		l.d.intake.release(len(a.prompt))
	}
	l.deliver(pendingEnd{a.peer, frame})
}

// drop forgets an attempt that has ended.
func (l *loop) drop(a *attempt, r outcome.Reason) {
	if frame, ok := a.end(outcome.MayHaveRun, r, 0, "dispatcher", ""); ok {
		obs.EndSpan(a.span, string(r))
		_ = frame // the gateway gave the attempt up and expects no end
	}
	delete(l.attempts, a.id)
	l.d.intake.release(len(a.prompt))
	l.d.done()
}

// deliver queues a final frame, or keeps it until the link has room. Without this a gateway would wait
// for the deadline of an attempt that has ended.
func (l *loop) deliver(o pendingEnd) {
	err := o.peer.Send(o.frame)
	if err == nil || !link.ErrFull.Has(err) {
		return // sent, or the link is down and the gateway resubmits by itself
	}
	if len(l.pendingEnds) >= maxPendingEnds {
		l.d.log.WithFields(fields{"step": "deliver", "peer": o.peer.String()}).Warn("too many unsent final frames, link closed")
		o.peer.Close()
		return
	}
	l.pendingEnds = append(l.pendingEnds, o)
}

func (l *loop) keepHouse() {
	waiting := l.pendingEnds
	l.pendingEnds = nil
	for _, o := range waiting {
		l.deliver(o)
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

// abandon ends what still runs when the process stops. Sessions are cancelled so that engines get
// their memory back before the deadline.
func (l *loop) abandon() {
	if l.d.killed.Load() {
		return
	}
	for id := range l.attempts {
		l.giveUp(id)
	}
}
