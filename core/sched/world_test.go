package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// simulation runs a scheduler against simulated engines: they crash, hang, lose cancels and report late.
type simulation struct {
	s           *Scheduler
	now         time.Duration
	wakeAt      time.Duration
	engines     []*fakeEngine
	pending     []delivery // in order of time
	seq         int
	attempts    map[AttemptID]*trackedAttempt
	errs        []string
	lag         time.Duration // between a report's numbers and its delivery
	lostExports int           // segments that end without a handle
	lostCancels int           // cancels and releases that get no answer and have no effect
}

type delivery struct {
	at  time.Duration
	seq int
	run func()
}

type trackedAttempt struct {
	deadline       time.Duration
	ends           int
	uncertainSends int // sends without NotSent
}

type fakeEngine struct {
	cfg        Engine
	dead       bool
	leaving    bool
	hanging    bool
	generation int // incremented by every kill
	hostLosses int // counts hosts that were permanently removed
	sessions   map[SessionID]*fakeSession
	kv         map[string]*fakeSession
	report     uint64
}

type fakeSession struct {
	tokens   int
	deadline time.Duration
	issuer   string
	inc      string
}

func newSimulation(cfg Config, engines ...Engine) *simulation {
	w := &simulation{s: New(cfg), attempts: map[AttemptID]*trackedAttempt{}, wakeAt: never}
	for _, e := range engines {
		w.engines = append(w.engines, &fakeEngine{cfg: e, sessions: map[SessionID]*fakeSession{}, kv: map[string]*fakeSession{}})
	}
	w.step(EnginesChanged{Engines: engines})
	for _, e := range w.engines {
		w.reportNow(e)
	}
	w.advance(10 * time.Millisecond)
	return w
}

func (w *simulation) fail(format string, args ...any) {
	w.errs = append(w.errs, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) after(d time.Duration, run func()) {
	w.seq++
	w.pending = append(w.pending, delivery{at: w.now + d, seq: w.seq, run: run})
	slices.SortFunc(w.pending, func(a, b delivery) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
}

func (w *simulation) step(ev Event) {
	if e, ok := ev.(Submit); ok && w.attempts[e.Attempt] == nil {
		w.attempts[e.Attempt] = &trackedAttempt{deadline: e.Deadline}
	}
	if e, ok := ev.(EngineFailed); ok && e.Kind == NotSent {
		if h, ok := w.s.holds[e.Session]; ok && h.att != nil && h.state == open {
			w.attempts[h.att.Attempt].uncertainSends--
		}
	}
	for _, a := range slices.Clone(w.s.Step(w.now, ev)) {
		w.execute(a)
	}
	w.check()
}

// advance moves the clock forward and runs all deliveries and ticks on the way.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for {
		at := min(w.wakeAt, end)
		if len(w.pending) > 0 {
			at = min(at, w.pending[0].at)
		}
		w.now = max(w.now, at)
		switch {
		case len(w.pending) > 0 && w.pending[0].at <= w.now:
			next := w.pending[0]
			w.pending = w.pending[1:]
			next.run()
		case w.wakeAt <= w.now:
			w.wakeAt = never
			w.step(Tick{})
		default:
			return
		}
	}
}

// pause moves the clock forward without ticks or deliveries, like a stopped process.
func (w *simulation) pause(d time.Duration) { w.now += d }

func (w *simulation) engine(id ident.BackendID) *fakeEngine {
	for _, e := range w.engines {
		if e.cfg.ID == id {
			return e
		}
	}
	return nil
}

func (w *simulation) execute(a Action) {
	switch a := a.(type) {
	case Send:
		w.send(a)
	case CancelSession:
		w.cancel(a)
	case ReleaseKV:
		w.releaseKV(a)
	case Refuse:
		w.ended(a.Attempt)
		if t := w.attempts[a.Attempt]; t != nil && t.uncertainSends > 0 {
			w.fail("%v refused as not run after %d sends", a.Attempt, t.uncertainSends)
		}
	case End:
		w.ended(a.Attempt)
	case Wake:
		w.wakeAt = a.At
	}
}

func (w *simulation) ended(id AttemptID) {
	t := w.attempts[id]
	if t == nil {
		w.fail("%v ended but was never submitted", id)
		return
	}
	if t.ends++; t.ends > 1 {
		w.fail("%v ended %d times", id, t.ends)
	}
}

func (w *simulation) send(a Send) {
	t := w.attempts[a.Attempt]
	if t.ends > 0 {
		w.fail("%v sent after its end", a.Attempt)
	}
	if w.now >= a.Deadline {
		w.fail("%v sent past its deadline", a.Attempt)
	}
	t.uncertainSends++
	if slices.Contains(a.Import, "") {
		w.fail("%v imports a segment that was not exported", a.Attempt)
	}
	en := w.s.engines[a.Engine]
	if !en.owned || en.leaving {
		w.fail("sent to %s, owned %v, leaving %v", a.Engine, en.owned, en.leaving)
	}
	// Later segments of a gang were reserved earlier; sessions of others may have started since.
	if len(a.Import) == 0 && en.ownTokens+en.othersTokens > en.memory {
		w.fail("sent to %s with %d own and %d others of %d", a.Engine, en.ownTokens, en.othersTokens, en.memory)
	}
	e := w.engine(a.Engine)
	if e.dead {
		w.after(time.Millisecond, func() { w.step(EngineFailed{Session: a.Session, Kind: NotSent}) })
		return
	}
	hostLosses := e.hostLosses
	w.after(2*time.Millisecond, func() {
		if e.hostLosses != hostLosses { // the address that the request went to no longer exists
			w.step(EngineFailed{Session: a.Session, Kind: Broken})
			return
		}
		w.receive(e, a)
	})
}

func (w *simulation) receive(e *fakeEngine, a Send) {
	tokens := a.PromptTo - a.PromptFrom + a.MaxOutputTokens
	if e.dead {
		w.step(EngineFailed{Session: a.Session, Kind: Broken})
		return
	}
	if e.leaving {
		w.step(EngineFailed{Session: a.Session, Kind: RefusedLeaving})
		return
	}
	if e.used()+tokens > e.cfg.MemoryTokens {
		w.step(EngineFailed{Session: a.Session, Kind: Refused})
		return
	}
	host, inc, _, _ := a.Session.Parse()
	e.sessions[a.Session] = &fakeSession{tokens: tokens, deadline: a.Deadline, issuer: string(host), inc: inc.String()}
	w.step(EngineAccepted{Session: a.Session})
	generation := e.generation
	alive := func() bool { return e.generation == generation && !e.hanging && e.sessions[a.Session] != nil }
	took := time.Duration(a.PromptTo-a.PromptFrom) * time.Millisecond / 100
	if !a.Export {
		w.after(took, func() {
			if alive() {
				w.step(FirstToken{Session: a.Session, Count: a.ResumeFrom + 1})
			}
		})
		took += 300 * time.Millisecond
	}
	w.after(took, func() {
		if !alive() {
			return
		}
		delete(e.sessions, a.Session)
		end := EngineEnded{Session: a.Session, Count: a.MaxOutputTokens}
		if a.Export {
			if w.lostExports > 0 {
				w.lostExports--
			} else {
				end.KV = string(a.Session) + "/kv"
				e.kv[end.KV] = &fakeSession{tokens: tokens, deadline: a.Deadline}
			}
		}
		w.step(end)
	})
}

func (w *simulation) cancel(a CancelSession) {
	e := w.engine(a.Engine)
	lost := w.lostCancels > 0
	if lost {
		w.lostCancels--
	}
	w.after(2*time.Millisecond, func() {
		if lost || e.dead {
			w.step(CancelFailed{Session: a.Session})
			return
		}
		delete(e.sessions, a.Session)
		w.step(CancelAcked{Session: a.Session})
	})
}

func (w *simulation) releaseKV(a ReleaseKV) {
	e := w.engine(a.Engine)
	lost := w.lostCancels > 0
	if lost {
		w.lostCancels--
	}
	w.after(2*time.Millisecond, func() {
		if lost || e.dead {
			w.step(KVReleaseFailed(a))
			return
		}
		delete(e.kv, a.Handle)
		w.step(KVReleased(a))
	})
}

func (e *fakeEngine) used() int {
	n := 0
	for _, x := range e.sessions {
		n += x.tokens
	}
	for _, x := range e.kv {
		n += x.tokens
	}
	return n
}

// kill stops the engine's process: streams break and its memory is lost. Clearing dead restarts it.
func (w *simulation) kill(e *fakeEngine) {
	if e.dead {
		return
	}
	e.dead = true
	e.generation++
	for _, id := range sortedSessions(e) {
		w.after(time.Millisecond, func() { w.step(EngineFailed{Session: id, Kind: Broken}) })
	}
	e.sessions, e.kv, e.report = map[SessionID]*fakeSession{}, map[string]*fakeSession{}, 0
}

func sortedSessions(e *fakeEngine) []SessionID {
	var ids []SessionID
	for id := range e.sessions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// reportNow takes the engine's numbers now and delivers them after the lag.
func (w *simulation) reportNow(e *fakeEngine) {
	if e.dead {
		return
	}
	e.report++
	r := backendapi.Report{
		Report: e.report, MemoryTokens: e.cfg.MemoryTokens, UsedTokens: e.used(), State: "live",
		PrefillTokensPerS: 100_000,
	}
	if e.leaving {
		r.State = "leaving"
	}
	for _, id := range sortedSessions(e) {
		x := e.sessions[id]
		r.Sessions = append(r.Sessions, backendapi.Session{
			Session: string(id), Issuer: x.issuer, Incarnation: x.inc,
			ReservedTokens: x.tokens, RemainingMS: (x.deadline - w.now).Milliseconds(),
		})
	}
	for h := range e.kv {
		r.KVHandles = append(r.KVHandles, h)
	}
	slices.Sort(r.KVHandles)
	taken, lag := w.now, w.lag
	w.after(lag+time.Millisecond, func() {
		r.AgeMS = lag.Milliseconds()
		w.step(Report{Engine: e.cfg.ID, Requested: taken + lag, Report: r})
	})
}

// check verifies the invariants that hold after every step.
func (w *simulation) check() {
	for _, e := range w.s.enginesByID {
		sum := 0
		for _, h := range e.holds {
			if !h.freed {
				sum += h.tokens
			}
		}
		if sum != e.ownTokens || e.ownTokens < 0 || e.ownTokens > e.memory || e.ownBatchTokens < 0 {
			w.fail("%s has %d of %d tokens reserved, its holds sum to %d", e.id, e.ownTokens, e.memory, sum)
		}
		if e.prefillTotal() < 0 || e.longPrompts < 0 {
			w.fail("%s has %d prefill tokens and %d long prompts", e.id, e.prefillTotal(), e.longPrompts)
		}
	}
	for _, e := range w.engines {
		w.checkEngine(e)
	}
	for id, t := range w.attempts {
		if w.now >= t.deadline && t.ends == 0 {
			w.fail("%v has not ended at its deadline %v", id, t.deadline)
		}
		a := w.s.attempts[id]
		if a == nil {
			continue
		}
		if (a.state == running) != (len(a.holds) > 0) {
			w.fail("%v in state %d has %d holds", id, a.state, len(a.holds))
		}
		for _, h := range a.holds {
			if h.att != a || h.state == cancelling || h.state == releasing || h.state == done {
				w.fail("%v is running with a hold in state %d", id, h.state)
			}
		}
	}
}

// checkEngine compares the reservations of the scheduler with the memory in use at the engine: memory
// that the engine has not released must not count as free. After the deadline and the grace period, the
// engine's owner releases it.
func (w *simulation) checkEngine(e *fakeEngine) {
	for id, x := range e.sessions {
		if h := w.s.holds[id]; x.inc == w.s.cfg.Incarnation.String() && w.now < x.deadline+w.s.cfg.Grace && (h == nil || h.freed) {
			w.fail("%s still runs %s, which counts as released", e.cfg.ID, id)
		}
	}
	for handle, x := range e.kv {
		id := SessionID(strings.TrimSuffix(handle, "/kv"))
		if h := w.s.holds[id]; w.now < x.deadline+w.s.cfg.Grace && (h == nil || h.freed) {
			w.fail("%s still holds %s, which counts as released", e.cfg.ID, handle)
		}
	}
}

// quiesce clears all faults and advances past all deadlines, with reports twice a second.
func (w *simulation) quiesce(d time.Duration) {
	w.lag, w.lostCancels = 0, 0
	for _, e := range w.engines {
		e.dead, e.hanging, e.leaving = false, false, false
	}
	w.step(Tick{})
	for end := w.now + d; w.now < end; {
		for _, e := range w.engines {
			w.reportNow(e)
		}
		w.advance(500 * time.Millisecond)
	}
	for _, e := range w.s.enginesByID {
		if e.ownTokens != 0 || e.prefillTotal() != 0 || e.longPrompts != 0 {
			w.fail("%s still has %d tokens reserved, %d prefill tokens in flight", e.id, e.ownTokens, e.prefillTotal())
		}
	}
	for _, e := range w.engines {
		if e.used() != 0 {
			w.fail("%s leaks %d tokens: %v %v", e.cfg.ID, e.used(), sortedSessions(e), e.kv)
		}
	}
}

func (w *simulation) errorSummary() string { return strings.Join(w.errs[:min(len(w.errs), 5)], "\n") }
