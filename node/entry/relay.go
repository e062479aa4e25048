package entry

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/core/hedge"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// accept decides about an event of a running attempt and returns what is to be relayed of it, nothing if the caller has it
// already. Each event is relayed once and in order; the attempt whose event is relayed is the only one to go on.
func (st *stream) accept(x *engineAttempt, ev event) (raw []byte, err error) {
	before := st.race.Last()
	verdict, losers := st.race.Event(x.id, ev.id)
	switch verdict {
	case hedge.Drop:
		return nil, nil
	case hedge.Hold:
		x.lastProgress = st.host.now()
		return nil, x.keep(ev.raw)
	case hedge.Gap:
		return nil, errNoSuccessor.New("event %d follows event %d", ev.id, before)
	}
	st.cancelLosers(losers)
	st.emptyEnd = nil
	st.recordEvent(x)
	raw, x.early = append(x.early, ev.raw...), nil
	return raw, nil
}

// errNoSuccessor is the class of errors of an answer that does not go on right after the last event that the caller has. That
// is no evidence against the server: it may put several tokens into an event.
var errNoSuccessor = errs.Class("no successor")

// recordEvent records the time of an event that is relayed.
func (st *stream) recordEvent(x *engineAttempt) {
	h, now := st.host, st.host.now()
	pause := now - x.lastProgress
	first := x.events == 0
	x.events++
	x.lastProgress = now
	st.watch(st.recordPause(x.server.ID, now, pause, first))
	if !first {
		st.q.placement.longestPause = max(st.q.placement.longestPause, pause)
		if !x.proven && now-x.firstEvent >= answerProof {
			x.recordAnswered(now)
		}
		return
	}
	x.firstEvent = now
	st.q.placement.engine, st.q.placement.firstEvent = x.server.ID, now-x.began
	h.metrics.recordFirstEvent(st.q, now-st.q.arrived)
	h.state.mu.Lock()
	h.state.health.RecordSuccess(x.server.ID, now-x.began)
	h.state.engines.MarkStarted(x.placed)
	h.state.mu.Unlock()
}

// recordPause compares a pause with its prediction and returns the prediction for the next one.
func (st *stream) recordPause(id ident.BackendID, now, pause time.Duration, first bool) time.Duration {
	s := st.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	passTime := s.engines.PassTime(now, id)
	if !first {
		s.engines.Observe(id, passTime, pause)
	}
	return passTime
}

// write forwards bytes of the stream. The response header of the first event's server is sent before them and applies
// to the whole stream. It fails with outcome.Cancelled if the caller has left.
func (st *stream) write(s backendResponse, raw []byte) *outcome.Error {
	st.writeHeader(s)
	_, err := st.w.Write(raw)
	if err == nil {
		err = st.flush.Flush()
	}
	if err != nil {
		return outcome.Fail(stepAnswer, "", outcome.Cancelled, err)
	}
	st.q.caller.wrote(st.host.now())
	return nil
}

func (st *stream) writeHeader(s backendResponse) {
	if st.headerWritten {
		return
	}
	st.host.closeWhenStopping(st.w)
	nameServer(st.w, s.server)
	copyHeader(st.w.Header(), s.resp.Header)
	st.w.Header().Del("Content-Length")
	st.w.WriteHeader(s.resp.StatusCode)
	st.headerWritten = true
}

// finish completes a stream that its server has ended normally. If no event was relayed, the caller already had all of
// them.
func (st *stream) finish(x *engineAttempt, s backendResponse) *outcome.Error {
	if !x.proven && x.events > 0 {
		x.recordAnswered(st.host.now())
	}
	if events, leftOut := st.race.Numbers(x.id); events > 1 {
		st.host.state.mu.Lock()
		st.host.state.numberings.Record(st.q.service, x.server.ID, leftOut)
		st.host.state.mu.Unlock()
	}
	if len(x.early) > 0 {
		return st.write(s, x.early)
	}
	st.writeHeader(s)
	return nil
}
