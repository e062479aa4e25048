package control

import (
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/peererr"
)

// Error classes. Each error of this package has exactly one; test it with Has.
var (
	// ErrDial: the connection could not be established, so the request was not sent.
	ErrDial = errs.Class("control: dial failed")
	// ErrTooLarge: the request exceeds MaxMessage and was not sent.
	ErrTooLarge = errs.Class("control: message too large")
	// ErrTimeout: no reply before the deadline. The request may have run; a late reply is discarded.
	ErrTimeout = errs.Class("control: no reply in time")
	// ErrLost: the connection failed. The request may have run.
	ErrLost = errs.Class("control: connection lost")
	// ErrRemote: the peer answered with an error.
	ErrRemote = errs.Class("control: refused by peer")
	// ErrConfig: the settings are invalid.
	ErrConfig = errs.Class("control: bad settings")
	// ErrMessage: a message cannot be decoded.
	ErrMessage = errs.Class("control: bad message")
)

// Error holds the step and the peer of a failure. Use errors.As to get it.
type Error = peererr.Error

func wrapErr(class *errs.Class, step, peer string, cause error) error {
	return peererr.Wrap(class, step, peer, cause)
}
