package pause

import (
	"testing"
	"time"
)

// TestPause guards against pauses that are not detected, in particular before the first tick after the
// pause, and against ordinary scheduling delays that count as a pause.
func TestPause(t *testing.T) {
	d := New(Config{})
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	if d.JustPaused(at(9000)) {
		t.Error("paused before the first tick")
	}
	for _, test := range []struct {
		ms                    int
		before, paused, after bool // JustPaused before the tick, result of the tick, JustPaused after
	}{
		{1000, false, false, false},
		{1250, false, false, false},
		{1501, true, true, true},
		{1700, true, false, true},
		{1900, true, false, true},
		{2100, true, false, true},
		{2300, true, false, true},
		{2501, false, false, false},
	} {
		before := d.JustPaused(at(test.ms))
		_, paused := d.Tick(at(test.ms))
		if after := d.JustPaused(at(test.ms)); before != test.before || paused != test.paused || after != test.after {
			t.Errorf("at %d ms: before %v, paused %v, after %v", test.ms, before, paused, after)
		}
	}
	if d.Pauses() != 1 {
		t.Errorf("%d pauses, want 1", d.Pauses())
	}
}
