package link

import (
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/peererr"
)

// Error classes. Each error of this package has exactly one; test it with Has.
var (
	// ErrFull: the outbound ring of the peer is full and the message was not queued.
	ErrFull = errs.Class("link: ring full")
	// ErrClosed: the link was closed between two frames, by either side.
	ErrClosed = errs.Class("link: closed")
	// ErrLost: the connection failed.
	ErrLost = errs.Class("link: connection lost")
	// ErrDead: nothing was received from the peer for longer than Config.DeadAfter.
	ErrDead = errs.Class("link: peer silent")
	// ErrFrame: a frame from the peer cannot be decoded, or a message to it cannot be encoded.
	ErrFrame = errs.Class("link: bad frame")
	// ErrSequence: a frame was missing, repeated or reordered, or its sender changed.
	ErrSequence = errs.Class("link: bad sequence")
	// ErrHandshake: no Hello arrived in time, or it names another peer than expected.
	ErrHandshake = errs.Class("link: handshake failed")
	// ErrReplaced: a newer link of the same peer replaced this one.
	ErrReplaced = errs.Class("link: replaced")
	// ErrOverrun: the handler is too slow and the inbound ring is full.
	ErrOverrun = errs.Class("link: handler too slow")
	// ErrDial: the connection to the peer could not be established.
	ErrDial = errs.Class("link: dial failed")
)

// Error holds the step and the peer of a failure. Use errors.As to get it.
type Error = peererr.Error

func wrapErr(class *errs.Class, step, peer string, cause error) error {
	return peererr.Wrap(class, step, peer, cause)
}
