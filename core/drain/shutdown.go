package drain

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// AddressTTL is the time for which callers may use an address after they received it.
const AddressTTL = 30 * time.Second

const (
	step           = "drain"
	retryElsewhere = 100 * time.Millisecond // short, because a retry goes to another address
)

// Phase is a stage in the lifecycle of the process.
type Phase uint8

// Phases, in order.
const (
	Serving   Phase = iota // listed in the address answers
	Withdrawn              // no longer listed, but accepting: callers may still use the address
	Finishing              // refusing new requests; running ones continue
	Stopped                // no requests are running: exit 0
)

// Action is what the process must do on a change of phase.
type Action uint8

// Actions.
const (
	Withdraw Action = iota // remove the address from answers, gossip that the process is leaving, issue no tickets
	Refuse                 // refuse new requests with outcome NotRun and reason Draining
	Exit                   // exit 0
)

// Shutdown controls the graceful shutdown of the process.
type Shutdown struct {
	addressTTL time.Duration
	phase      Phase
	until      time.Duration
	running    int
}

// NewShutdown returns a Shutdown in the phase Serving. keep is the time for which addresses stay valid; zero
// selects AddressTTL.
func NewShutdown(addressTTL time.Duration) *Shutdown {
	if addressTTL == 0 {
		addressTTL = AddressTTL
	}
	return &Shutdown{addressTTL: addressTTL}
}

// Begin starts the shutdown. It is idempotent, so a second signal interrupts no request.
func (s *Shutdown) Begin(now time.Duration) []Action {
	if s.phase != Serving {
		return nil
	}
	s.phase = Withdrawn
	s.until = now + s.addressTTL
	return []Action{Withdraw}
}

// Tick advances the phase and returns the actions that follow.
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

// Admit refuses a request during shutdown. If it returns nil, the request counts as running until Done.
func (s *Shutdown) Admit() *outcome.Error {
	if s.phase >= Finishing {
		e := outcome.Refuse(step, outcome.Draining, "this process is shutting down; use another address")
		e.RetryAfter = retryElsewhere
		return e
	}
	s.running++
	return nil
}

// Done ends a request that Admit accepted. The caller must call Tick afterwards.
func (s *Shutdown) Done() {
	if s.running > 0 {
		s.running--
	}
}

// Phase returns the phase.
func (s *Shutdown) Phase() Phase { return s.phase }

// Running returns the number of running requests.
func (s *Shutdown) Running() int { return s.running }

// NextTick returns the time at which Tick must be called in addition to the calls after Done; ok is false if there
// is none.
func (s *Shutdown) NextTick() (at time.Duration, ok bool) { return s.until, s.phase == Withdrawn }
