// Package answer assembles the answer stream of one request from its attempts. Each frame holds a token or the end
// event. Tokens are numbered from 1; a stream is complete only when its end event arrives with the number of the last
// token.
package answer

// Verdict determines what the gateway does with a frame.
type Verdict uint8

// Verdicts.
const (
	Deliver     Verdict = iota // pass the token to the caller
	Complete                   // the answer is complete: send the end event
	Duplicate                  // drop: the caller already has this token
	OldAttempt                 // drop: the frame belongs to an abandoned attempt, or to another request
	Gap                        // a frame was lost: abandon the attempt and resume from ResumeFrom
	WrongCount                 // the end event's count is below the number of delivered frames: the attempts disagree, end the request
	AfterEnd                   // drop: the stream has ended
	verdictsEnd = iota
)

// Counters counts frames by verdict.
type Counters [verdictsEnd]uint64

// Stream is the answer of one request across its attempts.
type Stream struct {
	attempt   uint64
	open      bool // attempt is current and may deliver
	ended     bool
	delivered int // number of the last token delivered
	counters  Counters
}

// Start makes attempt the current one and returns the number of the last token that the caller has,
// from which the attempt resumes. Frames of all other attempts are dropped from now on.
func (s *Stream) Start(attempt uint64) (resumeFrom int) {
	s.attempt = attempt
	s.open = !s.ended
	return s.delivered
}

// Abandon drops the current attempt. Its later frames get OldAttempt.
func (s *Stream) Abandon() { s.open = false }

// Token returns the verdict for token n of an attempt.
func (s *Stream) Token(attempt uint64, n int) Verdict { return s.count(s.token(attempt, n)) }

func (s *Stream) token(attempt uint64, n int) Verdict {
	switch {
	case s.ended:
		return AfterEnd
	case !s.open || attempt != s.attempt:
		return OldAttempt
	case n <= s.delivered:
		return Duplicate
	case n > s.delivered+1:
		s.open = false
		return Gap
	}
	s.delivered = n
	return Deliver
}

// End returns the verdict for the end event of an attempt. count is the number of the last token of the whole
// answer, tokens of earlier attempts included.
func (s *Stream) End(attempt uint64, count int) Verdict { return s.count(s.end(attempt, count)) }

func (s *Stream) end(attempt uint64, count int) Verdict {
	switch {
	case s.ended:
		return AfterEnd
	case !s.open || attempt != s.attempt:
		return OldAttempt
	case count > s.delivered:
		s.open = false
		return Gap
	case count < s.delivered:
		s.open = false
		return WrongCount
	}
	s.ended = true
	s.open = false
	return Complete
}

// Close ends the stream without a complete answer. Nothing is delivered afterwards.
func (s *Stream) Close() {
	s.ended = true
	s.open = false
}

// ResumeFrom returns the number of the last token delivered.
func (s *Stream) ResumeFrom() int { return s.delivered }

// Attempt returns the current attempt; ok is false when there is none.
func (s *Stream) Attempt() (attempt uint64, ok bool) { return s.attempt, s.open }

// Over reports whether the stream has ended.
func (s *Stream) Over() bool { return s.ended }

// Counters returns the counts of frames by verdict.
func (s *Stream) Counters() Counters { return s.counters }

func (s *Stream) count(v Verdict) Verdict {
	s.counters[v]++
	return v
}
