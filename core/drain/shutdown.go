package drain

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// AddressTTL is how long callers may use an address after they got it.
const AddressTTL = 30 * time.Second

const (
	step           = "drain"
	retryElsewhere = 100 * time.Millisecond // a retry goes to another address at once
)

// Phase is a phase of the own process's life.
type Phase uint8

// Phases, in order.
const (
	Serving   Phase = iota // listed in the address answers
	Withdrawn              // withdrawn, accepting: callers still hold the address
	Finishing              // accepting nothing new; running requests go on
	Stopped                // nothing runs: exit 0
)

// Action is what the process must do on a change of phase.
type Action uint8

// Actions.
const (
	Withdraw Action = iota // leave the address answers, gossip leaving, issue no tickets
	Refuse                 // refuse new requests "not run", draining
	Exit                   // exit 0
)

// Shutdown is the graceful stop of the own process.
type Shutdown struct {
	keep    time.Duration
	phase   Phase
	until   time.Duration
	running int
}

// NewShutdown returns a serving process. keep is the keep time of handed out addresses; zero takes
// KeepTime.
func NewShutdown(keep time.Duration) *Shutdown {
	if keep == 0 {
		keep = AddressTTL
	}
	return &Shutdown{keep: keep}
}

// Begin starts the stop. Calling it again changes nothing, so a second signal cuts off no request.
func (s *Shutdown) Begin(now time.Duration) []Action {
	if s.phase != Serving {
		return nil
	}
	s.phase = Withdrawn
	s.until = now + s.keep
	return []Action{Withdraw}
}

// Tick advances the stop.
func (s *Shutdown) Tick(now time.Duration) []Action {
	var out []Action
	if s.phase == Withdrawn && now >= s.until {
		s.phase = Finishing
		out = append(out, Refuse)
	}
	if s.phase == Finishing && s.running == 0 {
		s.phase = Stopped
		out = append(out, Exit)
	}
	return out
}

// Admit asks to start a request. A nil return counts it as running until Done.
func (s *Shutdown) Admit() *outcome.Error {
	if s.phase >= Finishing {
		e := outcome.Refuse(step, outcome.Draining, "this process is shutting down; use another address")
		e.RetryAfter = retryElsewhere
		return e
	}
	s.running++
	return nil
}

// Done ends a request that Admit let in. Tick must follow.
func (s *Shutdown) Done() {
	if s.running > 0 {
		s.running--
	}
}

// Phase returns the phase.
func (s *Shutdown) Phase() Phase { return s.phase }

// Running returns the number of running requests.
func (s *Shutdown) Running() int { return s.running }

// NextTick returns when Tick has something to do besides the end of requests; ok is false if never.
func (s *Shutdown) NextTick() (at time.Duration, ok bool) { return s.until, s.phase == Withdrawn }
