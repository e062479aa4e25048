// Package peererr defines the error type for failures between processes, with the step and the peer.
package peererr

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error holds the step and the peer of a failure. Use errors.As to get it.
type Error struct {
	Step string // such as "dial", "hello", "read", or the name of a call
	Peer string // host/role, or the address of a peer that is not identified yet
	Err  error  // may be nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("step=%s peer=%s", e.Step, e.Peer)
	}
	return fmt.Sprintf("step=%s peer=%s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns an Error with the cause, wrapped in the class.
func Wrap(class *errs.Class, step, peer string, cause error) error {
	return class.Wrap(&Error{Step: step, Peer: peer, Err: cause})
}
