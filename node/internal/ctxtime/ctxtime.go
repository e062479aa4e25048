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
