// Package ctxtime waits for a time or for the end of a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier when the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
