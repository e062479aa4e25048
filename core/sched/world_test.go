package sched

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// world runs a scheduler against engines that die, hang, lose cancels and report late.
type world struct {
	s        *Scheduler
	now      time.Duration
	wakeAt   time.Duration
	engines  []*fakeEngine
	pending  []delivery // in order of time
	seq      int
	attempts map[AttemptID]*tracked
	errs     []string
	lag      time.Duration // between a report's numbers and its delivery
	loseKV   int           // segments that end without a handle
	loseNext int           // cancels and releases that get no answer and have no effect
}

type delivery struct {
	at  time.Duration
	seq int
	run func()
}

type tracked struct {
	deadline time.Duration
	ends     int
	unsure   int // sends without NotSent
}

type fakeEngine struct {
	cfg      Engine
	dead     bool
	leaving  bool
	hanging  bool
	life     int // counts restarts
	hosts    int // counts hosts that were gone for good
	sessions map[SessionID]*fakeSession
	kv       map[string]*fakeSession
	report   uint64
}

type fakeSession struct {
	tokens   int
	deadline time.Duration
	issuer   string
	inc      string
}

func newWorld(cfg Config, engines ...Engine) *world {
	w := &world{s: New(cfg), attempts: map[AttemptID]*tracked{}, wakeAt: never}
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

func (w *world) fail(format string, args ...any) {
	w.errs = append(w.errs, fmt.Sprintf("at %v: ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	w.pending = append(w.pending, delivery{at: w.now + d, seq: w.seq, run: run})
	slices.SortFunc(w.pending, func(a, b delivery) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
}

func (w *world) step(ev Event) {
	if e, ok := ev.(Submit); ok && w.attempts[e.Attempt] == nil {
		w.attempts[e.Attempt] = &tracked{deadline: e.Deadline}
	}
	if e, ok := ev.(EngineFailed); ok && e.Kind == NotSent {
		if h, ok := w.s.holds[e.Session]; ok && h.att != nil && h.state == open {
			w.attempts[h.att.Attempt].unsure--
		}
	}
	for _, a := range slices.Clone(w.s.Step(w.now, ev)) {
		w.act(a)
	}
	w.check()
}

// advance lets time pass with all deliveries and ticks in between.
func (w *world) advance(d time.Duration) {
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

// pause jumps ahead without ticks or deliveries, like a stopped process.
func (w *world) pause(d time.Duration) { w.now += d }

func (w *world) engine(id ident.BackendID) *fakeEngine {
	for _, e := range w.engines {
		if e.cfg.ID == id {
			return e
		}
	}
	return nil
}

func (w *world) act(a Action) {
	switch a := a.(type) {
	case Send:
		w.send(a)
	case CancelSession:
		w.cancel(a)
	case ReleaseKV:
		w.releaseKV(a)
	case Refuse:
		w.ended(a.Attempt)
		if t := w.attempts[a.Attempt]; t != nil && t.unsure > 0 {
			w.fail("%v refused as not run after %d sends", a.Attempt, t.unsure)
		}
	case End:
		w.ended(a.Attempt)
	case Wake:
		w.wakeAt = a.At
	}
}

func (w *world) ended(id AttemptID) {
	t := w.attempts[id]
	if t == nil {
		w.fail("%v ended but was never submitted", id)
		return
	}
	if t.ends++; t.ends > 1 {
		w.fail("%v ended %d times", id, t.ends)
	}
}

func (w *world) send(a Send) {
	t := w.attempts[a.Attempt]
	if t.ends > 0 {
		w.fail("%v sent after its end", a.Attempt)
	}
	if w.now >= a.Deadline {
		w.fail("%v sent past its deadline", a.Attempt)
	}
	t.unsure++
	if slices.Contains(a.Import, "") {
		w.fail("%v imports a segment that was not exported", a.Attempt)
	}
	en := w.s.engines[a.Engine]
	if !en.owned || en.leaving {
		w.fail("sent to %s, owned %v, leaving %v", a.Engine, en.owned, en.leaving)
	}
	// Later segments of a gang were reserved before; others may have come since.
	if len(a.Import) == 0 && en.own+en.others > en.memory {
		w.fail("sent to %s with %d own and %d others of %d", a.Engine, en.own, en.others, en.memory)
	}
	e := w.engine(a.Engine)
	if e.dead {
		w.after(time.Millisecond, func() { w.step(EngineFailed{Session: a.Session, Kind: NotSent}) })
		return
	}
	hosts := e.hosts
	w.after(2*time.Millisecond, func() {
		if e.hosts != hosts { // the address that the request went to no longer exists
			w.step(EngineFailed{Session: a.Session, Kind: Broken})
			return
		}
		w.arrive(e, a)
	})
}

func (w *world) arrive(e *fakeEngine, a Send) {
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
	life := e.life
	alive := func() bool { return e.life == life && !e.hanging && e.sessions[a.Session] != nil }
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
			if w.loseKV > 0 {
				w.loseKV--
			} else {
				end.KV = string(a.Session) + "/kv"
				e.kv[end.KV] = &fakeSession{tokens: tokens, deadline: a.Deadline}
			}
		}
		w.step(end)
	})
}

func (w *world) cancel(a CancelSession) {
	e := w.engine(a.Engine)
	lost := w.loseNext > 0
	if lost {
		w.loseNext--
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

func (w *world) releaseKV(a ReleaseKV) {
	e := w.engine(a.Engine)
	lost := w.loseNext > 0
	if lost {
		w.loseNext--
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

// kill ends the engine's process: streams break and memory is lost. It comes back by restart.
func (w *world) kill(e *fakeEngine) {
	if e.dead {
		return
	}
	e.dead = true
	e.life++
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
func (w *world) reportNow(e *fakeEngine) {
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

// check looks at the invariants that hold after every step.
func (w *world) check() {
	for _, e := range w.s.order {
		sum := 0
		for _, h := range e.holds {
			if !h.freed {
				sum += h.tokens
			}
		}
		if sum != e.own || e.own < 0 || e.own > e.memory || e.ownBatch < 0 {
			w.fail("%s accounts %d of %d tokens, its holds sum to %d", e.id, e.own, e.memory, sum)
		}
		if e.prefillTotal() < 0 || e.longs < 0 {
			w.fail("%s has %d prefill tokens and %d long prompts", e.id, e.prefillTotal(), e.longs)
		}
	}
	for _, e := range w.engines {
		w.checkReal(e)
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
				w.fail("%v works with a hold in state %d", id, h.state)
			}
		}
	}
}

// checkReal compares the account with what the engine really holds: memory that the engine has not
// given back must not count as free. After deadline and grace, the engine's owner clears up.
func (w *world) checkReal(e *fakeEngine) {
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

// quiesce heals everything and lets all deadlines pass, with reports twice a second.
func (w *world) quiesce(d time.Duration) {
	w.lag, w.loseNext = 0, 0
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
	for _, e := range w.s.order {
		if e.own != 0 || e.prefillTotal() != 0 || e.longs != 0 {
			w.fail("%s still accounts %d tokens, %d prefill", e.id, e.own, e.prefillTotal())
		}
	}
	for _, e := range w.engines {
		if e.used() != 0 {
			w.fail("%s leaks %d tokens: %v %v", e.cfg.ID, e.used(), sortedSessions(e), e.kv)
		}
	}
}

func (w *world) report() string { return strings.Join(w.errs[:min(len(w.errs), 5)], "\n") }
