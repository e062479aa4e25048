package link

import (
	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/peererr"
)

// Error classes. Each error of this package has exactly one; test with Has.
var (
	// ErrFull: the outbound ring of the peer is full, the message was not queued.
	ErrFull = errs.Class("link: ring full")
	// ErrClosed: the link was closed between two frames, by either side.
	ErrClosed = errs.Class("link: closed")
	// ErrLost: the connection broke.
	ErrLost = errs.Class("link: connection lost")
	// ErrDead: the peer was silent for longer than Config.DeadAfter.
	ErrDead = errs.Class("link: peer silent")
	// ErrFrame: a frame from the peer, or a message to it, does not decode or encode.
	ErrFrame = errs.Class("link: bad frame")
	// ErrSequence: a frame was missing, repeated or reordered, or its sender changed.
	ErrSequence = errs.Class("link: bad sequence")
	// ErrHandshake: no Hello in time, or Hello names another peer than expected.
	ErrHandshake = errs.Class("link: handshake failed")
	// ErrReplaced: a newer link of the same peer took over.
	ErrReplaced = errs.Class("link: replaced")
	// ErrOverrun: the handler fell behind and the inbound ring is full.
	ErrOverrun = errs.Class("link: handler too slow")
	// ErrDial: the peer could not be connected.
	ErrDial = errs.Class("link: dial failed")
)

// Error carries the step and the peer of a failure. Reach it with errors.As.
type Error = peererr.Error

func wrapErr(class *errs.Class, step, peer string, cause error) error {
	return peererr.Wrap(class, step, peer, cause)
}
