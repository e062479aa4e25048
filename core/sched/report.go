package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// unknownIncarnationWait is the time for which a session of an incarnation that membership has not
	// told may go on: the issuer may have restarted and gossip may still be on its way.
	unknownIncarnationWait = 3 * time.Second
	// strayKVWait is the longest deadline of the caller interface. A KV cache that nobody can be named
	// for is released after it, since no attempt can still need it.
	strayKVWait = time.Hour
)

// issuer is what is known about the incarnations of an entry host.
type issuer struct {
	current ident.Incarnation
	dead    map[ident.Incarnation]bool
}

// foreign is a session in an engine's list that this scheduler did not send or has released.
type foreign struct {
	session     string
	issuer      ident.HostID
	incarnation ident.Incarnation
	firstSeen   time.Duration
	cancelAt    time.Duration
}

// strayKV is an exported KV cache that none of the own sessions claims.
type strayKV struct {
	handle    string
	firstSeen time.Duration
	releaseAt time.Duration
}

func (s *Scheduler) issuerSeen(e IssuerSeen) {
	if e.Issuer == s.cfg.Issuer || e.Incarnation == 0 {
		return
	}
	is, ok := s.issuers[e.Issuer]
	if !ok {
		is = &issuer{dead: map[ident.Incarnation]bool{}}
		s.issuers[e.Issuer] = is
	}
	if is.current == e.Incarnation || is.dead[e.Incarnation] {
		return
	}
	if is.current != 0 {
		is.dead[is.current] = true
	}
	is.current = e.Incarnation
	for _, en := range s.order {
		for i := range en.foreign {
			s.judge(&en.foreign[i], never)
		}
		s.cancelForeign(en)
		s.schedule(en)
	}
}

// report takes in an engine's report. One taken before the last one known is dropped: reports lag and
// may cross each other.
func (s *Scheduler) report(ev Report) {
	e, ok := s.engines[ev.Engine]
	if !ok {
		return
	}
	taken := ev.Requested - time.Duration(ev.Report.AgeMS)*time.Millisecond
	if taken <= e.lastTaken {
		s.counters.StaleReports++
		return
	}
	e.lastTaken = taken
	e.reported = true
	if e.suspected && taken > e.suspectAt {
		e.suspected = false
	}
	if ev.Report.MemoryTokens > 0 {
		e.memory = ev.Report.MemoryTokens
	}
	switch {
	case ev.Report.State == "leaving":
		s.left(e, taken)
	case e.saidLeaving && taken > e.leavingAt:
		e.saidLeaving = false // the next EnginesChanged decides
	}
	e.reportedRate = ev.Report.PrefillTokensPerS
	e.forget(s)
	listed := s.readSessions(e, taken, &ev.Report)
	s.releaseAbsent(e, taken, listed, ev.Report.KVHandles)
	s.readKV(e, ev.Report.KVHandles)
	s.cancelForeign(e)
	s.schedule(e)
	s.dirty = true
}

// readSessions updates what others hold and returns the set of listed sessions.
func (s *Scheduler) readSessions(e *engine, taken time.Duration, r *backendapi.Report) map[string]bool {
	listed := make(map[string]bool, len(r.Sessions))
	others, ownListed := 0, 0
	before := e.foreign
	e.foreign = nil
	for i := range r.Sessions {
		x := &r.Sessions[i]
		listed[x.Session] = true
		f := foreign{session: x.Session, issuer: ident.HostID(x.Issuer), firstSeen: s.now}
		f.incarnation, _ = ident.ParseIncarnation(x.Incarnation)
		if f.issuer == s.cfg.Issuer && f.incarnation == s.cfg.Incarnation {
			if h, ok := s.holds[SessionID(x.Session)]; ok && !(h.freed && taken > h.changedAt) {
				ownListed += x.ReservedTokens
				continue
			}
		}
		others += x.ReservedTokens
		if f.issuer != s.cfg.Issuer {
			e.contested = s.now + contestedFor
		}
		end := s.now - time.Duration(r.AgeMS-x.RemainingMS)*time.Millisecond
		s.judge(&f, end+s.cfg.Grace)
		if i := slices.IndexFunc(before, func(o foreign) bool { return o.session == f.session }); i >= 0 {
			f.firstSeen = before[i].firstSeen
			s.judge(&f, max(before[i].cancelAt, 0))
		}
		e.foreign = append(e.foreign, f)
	}
	for _, h := range e.holds {
		if (h.state == exported || h.state == releasing) && slices.Contains(r.KVHandles, h.handle) {
			ownListed += h.tokens
		}
	}
	// Memory in use that no listed session explains, such as KV caches of others, counts as held.
	e.others = max(others, r.UsedTokens-ownListed, 0)
	e.foreignQueued = 0
	if len(e.foreign) > 0 {
		e.foreignQueued = max(0, r.QueuedPrefillTokens-e.prefillTotal())
	}
	return listed
}

// judge sets the time at which a foreign session is cancelled: by is the end by its deadline.
func (s *Scheduler) judge(f *foreign, by time.Duration) {
	if f.cancelAt == 0 || by != never {
		f.cancelAt = by
	}
	switch is := s.issuers[f.issuer]; {
	case f.issuer == s.cfg.Issuer: // released here, or of an incarnation before this one
		f.cancelAt = min(f.cancelAt, s.now)
	case is == nil || f.incarnation == is.current:
	case is.dead[f.incarnation]:
		f.cancelAt = min(f.cancelAt, s.now)
	default:
		f.cancelAt = min(f.cancelAt, f.firstSeen+unknownIncarnationWait)
	}
}

// cancelForeign cancels what is due. A session stays listed until a report lacks it, and is cancelled
// again after CancelRetry until then.
func (s *Scheduler) cancelForeign(e *engine) {
	if !e.owned {
		return
	}
	for i := range e.foreign {
		if f := &e.foreign[i]; f.cancelAt <= s.now {
			f.cancelAt = s.now + s.cfg.CancelRetry
			s.counters.ForeignCancels++
			s.emit(CancelSession{Engine: e.id, Session: SessionID(f.session)})
		}
	}
	for i := range e.strayKV {
		if k := &e.strayKV[i]; k.releaseAt <= s.now {
			k.releaseAt = s.now + s.cfg.CancelRetry
			s.emit(ReleaseKV{Engine: e.id, Handle: k.handle})
		}
	}
}

func (e *engine) forgetForeign(session string) {
	e.foreign = slices.DeleteFunc(e.foreign, func(f foreign) bool { return f.session == session })
}

// releaseAbsent releases reservations that a report proves to be gone. An open session counts as
// proved only if the engine had accepted it before the report was taken; before that, the request
// may still be on its way.
func (s *Scheduler) releaseAbsent(e *engine, taken time.Duration, listed map[string]bool, kv []string) {
	for _, h := range slices.Clone(e.holds) {
		switch h.state {
		case open:
			if h.acceptedAt > 0 && taken > h.acceptedAt && !listed[string(h.session)] && !h.freed {
				s.counters.ReleasedByAbsent++
				s.free(h)
			}
		case cancelling:
			if taken > h.changedAt && !listed[string(h.session)] {
				s.counters.ReleasedByAbsent++
				s.close(h)
			}
		case releasing:
			if taken > h.changedAt && !listed[string(h.session)] && !slices.Contains(kv, h.handle) {
				s.counters.ReleasedByAbsent++
				s.close(h)
			}
		case done:
			if taken > h.changedAt && !listed[string(h.session)] {
				s.drop(h)
			}
		}
	}
}

// readKV finds exported KV caches that no live session claims.
func (s *Scheduler) readKV(e *engine, handles []string) {
	before := e.strayKV
	e.strayKV = nil
	for _, handle := range handles {
		if s.claimed(e, handle) {
			continue
		}
		k := strayKV{handle: handle, firstSeen: s.now, releaseAt: s.now + strayKVWait}
		if i := slices.IndexFunc(before, func(o strayKV) bool { return o.handle == handle }); i >= 0 {
			k = before[i]
		}
		if s.deadHandle(handle) {
			k.releaseAt = min(k.releaseAt, s.now)
		}
		e.strayKV = append(e.strayKV, k)
	}
}

// claimed reports whether an own session holds the handle or may be exporting it right now: the end
// line with the handle can be on its way while a report already lists it.
func (s *Scheduler) claimed(e *engine, handle string) bool {
	for _, h := range e.holds {
		if h.handle == handle {
			return true
		}
		if (h.state == open || h.state == cancelling) && strings.Contains(handle, string(h.session)) {
			return true
		}
	}
	return false
}

// deadHandle reports whether the handle names a session of an issuer that cannot need it any more.
// Handles that contain no session id are only released after strayKVWait (*assumption*: an engine
// builds its handles from the session id, optionally followed by one of "/:#~" and more).
func (s *Scheduler) deadHandle(handle string) bool {
	text := handle
	if i := strings.IndexAny(handle, "/:#~"); i >= 0 {
		text = handle[:i]
	}
	host, inc, _, err := SessionID(text).Parse()
	if err != nil {
		return false
	}
	if host == s.cfg.Issuer {
		return true // claimed was false
	}
	is := s.issuers[host]
	return is != nil && is.dead[inc]
}
