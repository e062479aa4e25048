package entry

import (
	"encoding/binary"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpcall"
)

const (
	// answerProof is how long an answer must go on after its first event to show that no part of its prompt crashes the
	// server. A server that crashes on a part does so in the first pass in which it writes.
	answerProof = 250 * time.Millisecond
	// evaluationDelay is the time from a crash to the evaluation of the evidence: a little longer than core/quarantine
	// waits for the evidence of other hosts.
	evaluationDelay = 220 * time.Millisecond
	// maxPartNames bounds the parts whose IDs are kept for the log.
	maxPartNames = 4096
)

// partKeys returns the keys under which the shared parts of a prompt are known to the quarantine.
func partKeys(service string, parts []PromptPart) []quarantine.Part {
	if len(parts) == 0 {
		return nil
	}
	keys := make([]quarantine.Part, len(parts))
	key := append([]byte(service), make([]byte, 8)...)
	for i, p := range parts {
		binary.BigEndian.PutUint64(key[len(service):], uint64(p))
		keys[i] = quarantine.Part(xxhash.Sum64(key))
	}
	return keys
}

// lifetime returns the server as the quarantine knows it. A server that starts again under its ID is another one.
func lifetime(srv catalog.Server) quarantine.Server {
	return quarantine.Server{
		Service:  quarantine.Service(xxhash.Sum64String(srv.Service)),
		Lifetime: quarantine.Lifetime(xxhash.Sum64String(string(srv.ID)) ^ uint64(srv.Started)),
	}
}

// checkParts refuses a request with a part in its prompt that servers crash on. The state must be locked.
func (st *stream) checkParts(now time.Duration) *outcome.Error {
	q, s := st.q, st.host.state
	v := s.quarantine.Check(now, q.parts, func(p quarantine.Part, n int) bool { return s.isTester(now, p, n) })
	st.testsParts = st.testsParts || v.Test
	if v.Admit || st.testsParts {
		return nil
	}
	e := outcome.Refuse(stepQuarantine, outcome.PromptQuarantined, "servers crash on part "+q.partName(v.Part)+" of the prompt")
	e.RetryAfter = v.RetryAfter
	return e
}

// isTester reports whether this host is among the n live hosts that rank first for a part. The state must be locked.
func (s *state) isTester(now time.Duration, part quarantine.Part, n int) bool {
	rank := func(addr member.Addr) uint64 {
		return xxhash.Sum64String(string(addr) + "/" + PromptPart(part).String())
	}
	return s.peers.CountHigherRanked(now, rank, func(*peers.Peer) bool { return true }) < n
}

// partName returns the ID of a part of the request's prompt.
func (q *request) partName(p quarantine.Part) string {
	for i, key := range q.parts {
		if key == p {
			return q.call.SharedParts[i].String()
		}
	}
	return ""
}

// endTest ends the test of the prompt's parts, if this request was one.
func (st *stream) endTest() {
	if !st.testsParts {
		return
	}
	s := st.host.state
	s.mu.Lock()
	s.quarantine.EndTest(st.q.parts)
	s.mu.Unlock()
}

// recordAnswered records that the server of an attempt has gone on after it began to answer.
func (x *engineAttempt) recordAnswered(now time.Duration) {
	x.proven = true
	h := x.stream.host
	h.state.mu.Lock()
	h.state.quarantine.RecordAnswer(now, lifetime(x.server), x.stream.q.parts)
	h.state.mu.Unlock()
}

// recordCrash records that the connection to the server of an attempt broke. The parts of the prompt are suspects unless
// the server had gone on after it began to answer. A break that a failed helper explains is no crash of the server.
func (x *engineAttempt) recordCrash(now time.Duration) {
	h, q := x.stream.host, x.stream.q
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, helper := range x.choice.Helpers {
		if s.health.Excluded(now, helper) {
			return
		}
	}
	var suspects []quarantine.Part
	if !x.proven {
		suspects = q.parts
		s.namePartsLocked(q)
	}
	s.quarantine.RecordCrash(now, lifetime(x.server), suspects)
	h.requestReport()
	time.AfterFunc(evaluationDelay, h.evaluateQuarantine)
}

// isBreak reports whether an error means that a connection has been closed or reset.
func isBreak(err error) bool {
	return errors.Is(err, httpcall.ErrNoEvent) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// namePartsLocked keeps the IDs of a prompt's parts for the log. The state must be locked.
func (s *state) namePartsLocked(q *request) {
	if len(s.partNames) >= maxPartNames {
		clear(s.partNames)
	}
	for i, key := range q.parts {
		s.partNames[key] = q.call.SharedParts[i]
	}
}

// evaluateQuarantine evaluates the evidence on prompt parts and logs what has changed.
func (h *Host) evaluateQuarantine() {
	now := h.now()
	s := h.state
	s.mu.Lock()
	changes := s.quarantine.Tick(now)
	urgent := s.quarantine.Urgent(now)
	names := make([]PromptPart, len(changes))
	for i, c := range changes {
		names[i] = s.partNames[c.Part]
	}
	s.mu.Unlock()
	if urgent {
		h.requestReport()
	}
	for i, c := range changes {
		h.metrics.quarantines.Add(1, string(c.Kind))
		h.log.WithFields(fields{
			"part": names[i], "key": PromptPart(c.Part), "change": string(c.Kind), "strikes": c.Strikes,
			"hold_ms": c.Hold.Milliseconds(), "crashes": len(c.Evidence),
		}).Warn("prompt part")
	}
}

// OnEvidence implements gossip.EvidenceHandler.
func (g *gossipHandler) OnEvidence(_ member.Addr, u quarantine.Update) {
	h := (*Host)(g)
	now := h.now()
	h.state.mu.Lock()
	h.state.quarantine.Apply(now, u)
	urgent := h.state.quarantine.Urgent(now)
	h.state.mu.Unlock()
	if urgent {
		h.requestReport()
		time.AfterFunc(evaluationDelay, h.evaluateQuarantine)
	}
}
