package gateway

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Guards against reporting a call that reached its deadline as cancelled by its caller.
func TestWaitReason(t *testing.T) {
	c := qt.New(t)
	c.Assert(waitReason(context.DeadlineExceeded), qt.Equals, outcome.Deadline)
	c.Assert(waitReason(context.Canceled), qt.Equals, outcome.Cancelled)
}
