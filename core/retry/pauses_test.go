package retry

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Guards against a request within a pause that a server has asked for, against a pause that never ends, and against callers
// that are told to come back before a server takes work again.
func TestPausesHold(t *testing.T) {
	servers := []ident.BackendID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var p Pauses
		until := map[ident.BackendID]time.Duration{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "gap"))
			id := rapid.SampledFrom(servers).Draw(t, "server")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				d := time.Duration(rapid.Int64Range(-int64(time.Second), int64(30*time.Second)).Draw(t, "pause"))
				if began, was := p.Begin(now, id, d), until[id] > now; began != (d > 0 && !was) {
					t.Fatalf("a pause of %v began: %v; it was paused: %v", d, began, was)
				}
				until[id] = max(until[id], now+d)
			case 2:
				p.Forget(now)
			}
			first := slices.MinFunc(servers, func(a, b ident.BackendID) int { return int(until[a] - until[b]) })
			end, all := p.FirstEnd(now, slices.Values(servers))
			if all != (until[first] > now) || (all && end != until[first]) {
				t.Fatalf("first end %v (all %v) at %v, pauses %v", end, all, now, until)
			}
			for _, id := range servers {
				if p.Active(now, id) != (until[id] > now) {
					t.Fatalf("%s is paused: %v at %v, until %v", id, p.Active(now, id), now, until[id])
				}
			}
			if all {
				if after := ReturnAfter(end-now, rapid.Float64Range(0, 0.999).Draw(t, "draw")); now+after < end || after > end-now+maxSpread {
					t.Fatalf("callers return after %v, the pause ends after %v", after, end-now)
				}
			}
		}
	})
}

func TestPauseIsBounded(t *testing.T) {
	c := qt.New(t)
	var p Pauses
	c.Assert(p.Begin(0, "a", 1<<62), qt.IsTrue)
	c.Assert(p.Active(MaxPause-1, "a"), qt.IsTrue)
	c.Assert(p.Active(MaxPause, "a"), qt.IsFalse)
	_, all := p.FirstEnd(0, slices.Values([]ident.BackendID(nil)))
	c.Assert(all, qt.IsFalse)
}

// Guards against a delay that is misread, such as one without end that lasts for no time.
func TestParseDelay(t *testing.T) {
	c := qt.New(t)
	for value, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, " 2 ": 2 * time.Second, ".5": 500 * time.Millisecond, "0": 0, "": 0, "-1": 0,
		"+1": 0, "1e3": 0, "NaN": 0, "inf": 0, "0x10": 0, "1_0": 0, "1.2.3": 0, ".": 0, "Wed, 21 Oct 2026 07:28:00 GMT": 0, "3 s": 0,
		"99999999": maxDelaySeconds * time.Second, strings.Repeat("9", 400): maxDelaySeconds * time.Second,
	} {
		c.Check(ParseDelay(value), qt.Equals, want, qt.Commentf("%q", value))
	}
}
