package sched

import (
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// unknownIncarnationWait is how long a session of an incarnation that membership has not reported
	// may continue: the issuer may have restarted and the gossip about it may not have arrived yet.
	unknownIncarnationWait = 3 * time.Second
	// strayKVTimeout is the longest deadline that the caller interface accepts. A KV cache with an
	// unknown owner is released after it, since no attempt can still need it.
	strayKVTimeout = time.Hour
)

// issuerState holds the known incarnations of an entry host.
type issuerState struct {
	current    ident.Incarnation
	superseded map[ident.Incarnation]bool
}

// foreignSession is a session in an engine's list that this scheduler did not send or has released.
type foreignSession struct {
	session     string
	issuer      ident.HostID
	incarnation ident.Incarnation
	firstSeen   time.Duration
	cancelAt    time.Duration
}

// strayKV is an exported KV cache that no session of this scheduler owns.
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
		is = &issuerState{superseded: map[ident.Incarnation]bool{}}
		s.issuers[e.Issuer] = is
	}
	if is.current == e.Incarnation || is.superseded[e.Incarnation] {
		return
	}
	if is.current != 0 {
		is.superseded[is.current] = true
	}
	is.current = e.Incarnation
	for _, en := range s.enginesByID {
		for i := range en.foreign {
			s.setForeignCancelTime(&en.foreign[i], never)
		}
		s.cancelForeign(en)
		s.schedule(en)
	}
}

// report applies an engine's report. One taken before the last one applied is dropped: reports may
// arrive late and out of order.
func (s *Scheduler) report(ev Report) {
	e, ok := s.engines[ev.Engine]
	if !ok {
		return
	}
	taken := ev.Requested - time.Duration(ev.Report.AgeMS)*time.Millisecond
	if taken <= e.lastReportTaken {
		s.counters.StaleReports++
		return
	}
	e.lastReportTaken = taken
	e.hasReport = true
	if e.suspected && taken > e.suspectSince {
		e.suspected = false
	}
	if ev.Report.MemoryTokens > 0 {
		e.memory = ev.Report.MemoryTokens
	}
	switch {
	case ev.Report.State == "leaving":
		s.markLeaving(e, taken)
	case e.selfReportedLeaving && taken > e.leavingAt:
		e.selfReportedLeaving = false // the next EnginesChanged decides
	}
	e.reportedRate = ev.Report.PrefillTokensPerS
	e.decayEstimates(s)
	listed := s.readSessions(e, taken, &ev.Report)
	s.releaseAbsent(e, taken, listed, ev.Report.KVHandles)
	s.updateStrayKV(e, ev.Report.KVHandles)
	s.cancelForeign(e)
	s.schedule(e)
	s.needsDispatch = true
}

// readSessions updates the memory held by others and returns the set of listed sessions.
func (s *Scheduler) readSessions(e *engine, taken time.Duration, r *backendapi.Report) map[string]bool {
	listed := make(map[string]bool, len(r.Sessions))
	others, ownListed := 0, 0
	before := e.foreign
	e.foreign = nil
	for i := range r.Sessions {
		x := &r.Sessions[i]
		listed[x.Session] = true
		f := foreignSession{session: x.Session, issuer: ident.HostID(x.Issuer), firstSeen: s.now}
		f.incarnation, _ = ident.ParseIncarnation(x.Incarnation)
		if f.issuer == s.cfg.Issuer && f.incarnation == s.cfg.Incarnation {
			if h, ok := s.holds[SessionID(x.Session)]; ok && !(h.freed && taken > h.stateChangedAt) {
				ownListed += x.ReservedTokens
				continue
			}
		}
		others += x.ReservedTokens
		if f.issuer != s.cfg.Issuer {
			e.contestedUntil = s.now + contestedDuration
		}
		end := s.now - time.Duration(r.AgeMS-x.RemainingMS)*time.Millisecond
		s.setForeignCancelTime(&f, end+s.cfg.Grace)
		if i := slices.IndexFunc(before, func(o foreignSession) bool { return o.session == f.session }); i >= 0 {
			f.firstSeen = before[i].firstSeen
			s.setForeignCancelTime(&f, max(before[i].cancelAt, 0))
		}
		e.foreign = append(e.foreign, f)
	}
	for _, h := range e.holds {
		if (h.state == exported || h.state == releasing) && slices.Contains(r.KVHandles, h.kvHandle) {
			ownListed += h.tokens
		}
	}
	// Used memory that no listed session accounts for, such as KV caches of others, counts as held by
	// others.
	e.othersTokens = max(others, r.UsedTokens-ownListed, 0)
	e.foreignPrefill = 0
	if len(e.foreign) > 0 {
		e.foreignPrefill = max(0, r.QueuedPrefillTokens-e.prefillTotal())
	}
	return listed
}

// setForeignCancelTime sets the time at which a foreign session is cancelled. cancelBy is the time
// that follows from its deadline; never keeps the time that is already set.
func (s *Scheduler) setForeignCancelTime(f *foreignSession, cancelBy time.Duration) {
	if f.cancelAt == 0 || cancelBy != never {
		f.cancelAt = cancelBy
	}
	switch is := s.issuers[f.issuer]; {
	case f.issuer == s.cfg.Issuer: // released here, or issued by an earlier incarnation of this host
		f.cancelAt = min(f.cancelAt, s.now)
	case is == nil || f.incarnation == is.current:
	case is.superseded[f.incarnation]:
		f.cancelAt = min(f.cancelAt, s.now)
	default:
		f.cancelAt = min(f.cancelAt, f.firstSeen+unknownIncarnationWait)
	}
}

// cancelForeign cancels foreign sessions and releases stray KV caches that are due. It repeats this
// every CancelRetry until an acknowledgement arrives or a report no longer lists them.
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

func (e *engine) removeForeign(session string) {
	e.foreign = slices.DeleteFunc(e.foreign, func(f foreignSession) bool { return f.session == session })
}

// releaseAbsent releases reservations that, according to a report, no longer exist at the engine. An
// open session counts as gone only if the engine had accepted it before the report was taken; before
// that, the request may still be in flight.
func (s *Scheduler) releaseAbsent(e *engine, taken time.Duration, listed map[string]bool, kv []string) {
	for _, h := range slices.Clone(e.holds) {
		switch h.state {
		case open:
			if h.acceptedAt > 0 && taken > h.acceptedAt && !listed[string(h.session)] && !h.freed {
				s.counters.ReleasedByAbsent++
				s.free(h)
			}
		case cancelling:
			if taken > h.stateChangedAt && !listed[string(h.session)] {
				s.counters.ReleasedByAbsent++
				s.close(h)
			}
		case releasing:
			if taken > h.stateChangedAt && !listed[string(h.session)] && !slices.Contains(kv, h.kvHandle) {
				s.counters.ReleasedByAbsent++
				s.close(h)
			}
		case done:
			if taken > h.stateChangedAt && !listed[string(h.session)] {
				s.drop(h)
			}
		}
	}
}

// updateStrayKV records the exported KV caches that no live session owns.
func (s *Scheduler) updateStrayKV(e *engine, handles []string) {
	before := e.strayKV
	e.strayKV = nil
	for _, handle := range handles {
		if s.ownsHandle(e, handle) {
			continue
		}
		k := strayKV{handle: handle, firstSeen: s.now, releaseAt: s.now + strayKVTimeout}
		if i := slices.IndexFunc(before, func(o strayKV) bool { return o.handle == handle }); i >= 0 {
			k = before[i]
		}
		if s.handleOrphaned(handle) {
			k.releaseAt = min(k.releaseAt, s.now)
		}
		e.strayKV = append(e.strayKV, k)
	}
}

// ownsHandle reports whether a session of this scheduler holds the handle or may be exporting it now: a
// report can list the handle before the end line that carries it arrives.
func (s *Scheduler) ownsHandle(e *engine, handle string) bool {
	for _, h := range e.holds {
		if h.kvHandle == handle {
			return true
		}
		if (h.state == open || h.state == cancelling) && strings.Contains(handle, string(h.session)) {
			return true
		}
	}
	return false
}

// handleOrphaned reports whether the handle names a session of an issuer that can no longer need it.
// Handles that contain no session id are only released after strayKVTimeout. This assumes that an
// engine builds its handles from the session id, optionally followed by one of "/:#~" and more text.
func (s *Scheduler) handleOrphaned(handle string) bool {
	text := handle
	if i := strings.IndexAny(handle, "/:#~"); i >= 0 {
		text = handle[:i]
	}
	host, inc, _, err := SessionID(text).Parse()
	if err != nil {
		return false
	}
	if host == s.cfg.Issuer {
		return true // the caller has checked ownsHandle
	}
	is := s.issuers[host]
	return is != nil && is.superseded[inc]
}
