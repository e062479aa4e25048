package control

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error classes. Each error of this package has exactly one; test with Has.
var (
	// ErrDial: no connection, so the request was not sent.
	ErrDial = errs.Class("control: dial failed")
	// ErrTooLarge: the request is above MaxMessage and was not sent.
	ErrTooLarge = errs.Class("control: message too large")
	// ErrTimeout: no reply before the deadline. The request may have run; a late reply is dropped.
	ErrTimeout = errs.Class("control: no reply in time")
	// ErrLost: the connection broke. The request may have run.
	ErrLost = errs.Class("control: connection lost")
	// ErrRemote: the peer answered with an error.
	ErrRemote = errs.Class("control: refused by peer")
	// ErrConfig: the settings are wrong.
	ErrConfig = errs.Class("control: bad settings")
	// ErrMessage: a message does not decode.
	ErrMessage = errs.Class("control: bad message")
)

// Error carries the step and the peer of a failure. Reach it with errors.As.
type Error struct {
	Step string // name of the call, or "dial", "listen", "accept"
	Peer string // TCP address
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("step=%s peer=%s: %v", e.Step, e.Peer, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func fail(class *errs.Class, step, peer string, cause error) error {
	return class.Wrap(&Error{Step: step, Peer: peer, Err: cause})
}
