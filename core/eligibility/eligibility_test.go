package eligibility

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A server with several reasons must be counted once, under the one that an operator has to deal with first.
func TestFirstReasonCounts(t *testing.T) {
	c := qt.New(t)
	f := Facts{Listing: Evacuated, Replaced: true, Tried: true, Paused: true, Limited: true, Warming: true, Unhealthy: true}
	c.Assert(Check(f), qt.Equals, Evacuated)
	f.Listing = Eligible
	for _, step := range []struct {
		why     Reason
		resolve func()
	}{
		{Replaced, func() { f.Replaced = false }},
		{Tried, func() { f.Tried = false }},
		{Paused, func() { f.Paused = false }},
		{Limited, func() { f.Limited = false }},
		{Warming, func() { f.Warming = false }},
		{Unhealthy, func() { f.Unhealthy = false }},
	} {
		c.Assert(Check(f), qt.Equals, step.why)
		step.resolve()
	}
	c.Assert(Check(f), qt.Equals, Eligible)
}

// The names are printed in logs, metrics and refusals: none may be missing or used twice.
func TestReasonsHaveNames(t *testing.T) {
	c := qt.New(t)
	seen := map[string]bool{}
	for r := range All {
		c.Assert(r.String(), qt.Not(qt.Equals), "")
		c.Assert(seen[r.String()], qt.IsFalse, qt.Commentf("%s", r))
		seen[r.String()] = true
	}
	var n Counts
	c.Assert(n.String(), qt.Equals, "none")
	n.Add(Evacuated)
	n.Add(Limited)
	n.Add(Limited)
	c.Assert(n.String(), qt.Equals, "1 evacuated, 2 limited")
	c.Assert(n.Total(), qt.Equals, 3)
}
