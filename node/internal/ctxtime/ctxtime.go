// Package ctxtime provides waits that end early with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for d, or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// After returns a channel that is closed the given time after the context has ended, unless stop is called before the end.
func After(ctx context.Context, d time.Duration) (passed <-chan struct{}, stop func()) {
	c := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() { time.AfterFunc(d, func() { close(c) }) })
	return c, func() { cancel() }
}
