package entry

import (
	"errors"
	"io"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

// relay forwards complete events in order, each exactly once.
func (st *stream) relay(s backendResponse, id ident.BackendID, placed *placement.PlacedRequest, stall *stallTimer, began time.Duration) error {
	h := st.host
	events := newEventReader(s.resp.Body)
	last := time.Duration(0)
	var early []byte // what came before the first event of this server
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			if err := httpcall.CheckStreamEnd(s.resp, last != 0); err != nil {
				return err
			}
			return st.finish(s, early)
		}
		if err != nil {
			return err
		}
		if ev.id < 0 {
			// Comments and events without an id are no progress: a server that sends only these is as good as silent.
			if last != 0 {
				err = st.write(s, ev.raw)
			} else if early = append(early, ev.raw...); len(early) > maxEvent {
				err = Error.New("more than %d bytes before the first event", maxEvent)
			}
			if err != nil {
				return err
			}
			continue
		}
		if ev.id <= st.lastID {
			continue // the caller already has this event
		}
		if st.lastID >= 0 && ev.id != st.lastID+1 {
			return Error.New("event %d follows event %d", ev.id, st.lastID)
		}
		now := h.now()
		passTime := st.recordPause(id, now, last)
		stall.extend(passTime)
		if last == 0 {
			h.metrics.recordFirstEvent(st.q, now-st.q.arrived)
			st.q.placement.firstEvent = now - began
			h.state.mu.Lock()
			h.state.health.RecordSuccess(id, now-began)
			h.state.engines.MarkStarted(placed)
			h.state.mu.Unlock()
		}
		if last != 0 {
			st.q.placement.longestPause = max(st.q.placement.longestPause, now-last)
		}
		last = now
		if err := st.write(s, append(early, ev.raw...)); err != nil {
			return err
		}
		early = nil
		st.lastID = ev.id
	}
}

// recordPause compares a pause with its prediction and returns the prediction for the next one.
func (st *stream) recordPause(id ident.BackendID, now, last time.Duration) time.Duration {
	s := st.host.state
	s.mu.Lock()
	defer s.mu.Unlock()
	passTime := s.engines.PassTime(now, id)
	if last != 0 {
		s.engines.Observe(id, passTime, now-last)
	}
	return passTime
}

// write forwards bytes of the stream. The response header of the first event's server is sent before them and applies
// to the whole stream.
func (st *stream) write(s backendResponse, raw []byte) error {
	if !st.headerWritten {
		copyHeader(st.w.Header(), s.resp.Header)
		st.w.Header().Del("Content-Length")
		st.w.WriteHeader(s.resp.StatusCode)
		st.headerWritten = true
	}
	if _, err := st.w.Write(raw); err != nil {
		return err
	}
	return st.flush.Flush()
}

// finish completes a stream that its server has ended normally, also if no event was relayed. rest is what came after
// the last event that was relayed.
func (st *stream) finish(s backendResponse, rest []byte) error {
	if len(rest) > 0 {
		return st.write(s, rest)
	}
	if st.headerWritten {
		return nil
	}
	// A stream without events: the caller already had all of them.
	copyHeader(st.w.Header(), s.resp.Header)
	st.w.WriteHeader(s.resp.StatusCode)
	st.headerWritten = true
	return nil
}
