package health

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Guards against an unavailable server that gets requests again at once or never again, and against one
// incident with many failed requests that counts as many incidents.
func TestExclusion(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker(Config{FirstExclusion: time.Second, MaxExclusion: 4 * time.Second})
	for range 10 {
		tr.RecordUnavailable(0, "a")
	}
	c.Assert(tr.Excluded(999*time.Millisecond, "a"), qt.IsTrue)
	c.Assert(tr.Excluded(time.Second, "a"), qt.IsFalse)
	c.Assert(tr.Excluded(0, "b"), qt.IsFalse)

	at := time.Second
	for _, want := range []time.Duration{2 * time.Second, 4 * time.Second, 4 * time.Second} {
		tr.RecordUnavailable(at, "a")
		c.Assert(tr.Excluded(at+want-1, "a"), qt.IsTrue)
		c.Assert(tr.Excluded(at+want, "a"), qt.IsFalse)
		at += want
	}
	tr.RecordSuccess("a", 50*time.Millisecond)
	tr.RecordUnavailable(at, "a")
	c.Assert(tr.Excluded(at+time.Second, "a"), qt.IsFalse)
}

// Guards against a server that passes its health check but fails part of its requests, and is rated like a server
// without failures.
func TestFailureShare(t *testing.T) {
	c := qt.New(t)
	tr := NewTracker(Config{})
	for i := range 60 {
		if i%2 == 0 {
			tr.RecordFailure("grey")
		} else {
			tr.RecordSuccess("grey", 50*time.Millisecond)
		}
		tr.RecordSuccess("good", 50*time.Millisecond)
	}
	c.Assert(tr.FailureRate("grey") > 0.3, qt.IsTrue)
	c.Assert(tr.FailureRate("good"), qt.Equals, 0.0)
	c.Assert(tr.AnswerTime("good"), qt.Equals, 50*time.Millisecond)
	tr.Retain(func(id ident.BackendID) bool { return id == "good" })
	c.Assert(tr.FailureRate("grey"), qt.Equals, 0.0)
}
