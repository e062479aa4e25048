package control

import (
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/peererr"
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
type Error = peererr.Error

func wrapErr(class *errs.Class, step, peer string, cause error) error {
	return peererr.Wrap(class, step, peer, cause)
}
