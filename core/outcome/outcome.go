// Package outcome defines how a request can end: the closed set of kinds and reasons, and the error that holds
// them together with the step and the peer at which the request ended.
package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind states whether a request was answered, and if not, whether it may have reached a backend server.
type Kind uint8

// Kinds.
const (
	// Answered means that the caller receives the backend server's whole answer.
	Answered Kind = iota
	// NotRun means that no part of the request reached a backend server or will reach one.
	NotRun
	// MayHaveRun means that the request reached, or may have reached, a backend server. It will
	// not be run again.
	MayHaveRun
)

// String returns the value of the Rosemaryhill-Outcome header.
func (k Kind) String() string {
	switch k {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	default:
		return "may-have-run"
	}
}

// ParseKind parses a header value. Unknown values count as MayHaveRun, the only safe assumption.
func ParseKind(s string) Kind {
	switch s {
	case "answered":
		return Answered
	case "not-run":
		return NotRun
	default:
		return MayHaveRun
	}
}

// Reason is the cause of a refusal or failure. The set is closed.
type Reason string

// Reasons.
const (
	BadRequest          Reason = "bad_request"
	UnknownModel        Reason = "unknown_model"
	UnknownTeam         Reason = "unknown_team"
	TooLarge            Reason = "too_large"
	TeamLimit           Reason = "team_limit"
	Overload            Reason = "overload"
	DeadlineUnreachable Reason = "deadline_unreachable"
	NoBackend           Reason = "no_backend"
	Draining            Reason = "draining"
	NotReady            Reason = "not_ready"
	TicketMissing       Reason = "ticket_missing"
	TicketInvalid       Reason = "ticket_invalid"
	TicketExpired       Reason = "ticket_expired"
	TicketReused        Reason = "ticket_reused"
	TicketBurned        Reason = "ticket_burned"
	ExecutorGone        Reason = "executor_gone"
	ExecutorUnreachable Reason = "executor_unreachable"
	Deadline            Reason = "deadline"
	BackendFailed       Reason = "backend_failed"
	BackendLost         Reason = "backend_lost"
	Cancelled           Reason = "cancelled"
	Internal            Reason = "internal"
	// PromptQuarantined means that servers have crashed on a part of the prompt.
	PromptQuarantined Reason = "prompt_quarantined"
)

var notRunStatus = map[Reason]int{
	BadRequest:    http.StatusBadRequest,
	UnknownTeam:   http.StatusUnauthorized,
	UnknownModel:  http.StatusNotFound,
	TooLarge:      http.StatusRequestEntityTooLarge,
	TeamLimit:     http.StatusTooManyRequests,
	TicketMissing: http.StatusConflict,
	TicketInvalid: http.StatusConflict,
	TicketExpired: http.StatusConflict,
	TicketReused:  http.StatusConflict,
	TicketBurned:  http.StatusConflict,
}

// Status returns the HTTP status for an end of the given kind and reason.
func Status(k Kind, r Reason) int {
	switch {
	case k == Answered:
		return http.StatusOK
	case k == MayHaveRun && r == Deadline:
		return http.StatusGatewayTimeout
	case k == MayHaveRun:
		return http.StatusBadGateway
	}
	if s, ok := notRunStatus[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// Error describes the end of a request that got no answer.
type Error struct {
	Kind       Kind
	Reason     Reason
	Step       string        // the step that ended the request, such as "send" or "admit"
	Peer       string        // host or backend server at which the request ended; empty for this process
	RetryAfter time.Duration // zero when a retry cannot succeed
	Detail     string
	Err        error // cause, may be nil
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s (%s)", e.Step, e.Reason, e.Kind)
	if e.Peer != "" {
		s += " peer=" + e.Peer
	}
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Refuse returns a NotRun error. Use it only if nothing has been sent to a backend server.
func Refuse(step string, r Reason, detail string) *Error {
	return &Error{Kind: NotRun, Reason: r, Step: step, Detail: detail}
}

// Fail returns a MayHaveRun error.
func Fail(step, peer string, r Reason, cause error) *Error {
	return &Error{Kind: MayHaveRun, Reason: r, Step: step, Peer: peer, Err: cause}
}

// From returns err as an *Error; any other error becomes MayHaveRun with reason Internal, because
// it is unknown whether the request reached a backend server.
func From(err error, step, peer string) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Fail(step, peer, Internal, err)
}

// Body is the JSON body of a refusal or failure, and of the final event of a broken stream.
type Body struct {
	Outcome      string `json:"outcome"`
	Step         string `json:"step,omitempty"`
	Peer         string `json:"peer,omitempty"`
	Reason       Reason `json:"reason"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	Detail       string `json:"detail,omitempty"`
}

// Body returns the JSON form of the error.
func (e *Error) Body() Body {
	return Body{
		Outcome:      e.Kind.String(),
		Step:         e.Step,
		Peer:         e.Peer,
		Reason:       e.Reason,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		Detail:       e.Detail,
	}
}
