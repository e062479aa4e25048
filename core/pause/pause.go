// Package pause detects from the gaps between ticks that the process was paused. A paused process
// resumes with stale state: it re-checks its deadlines and, for a while, gives no order that nobody
// checks.
package pause

import "time"

// Defaults of Config.
const (
	// Gap is far above the tick period and scheduling delay, and far below the 3 s failure timeouts.
	Gap = 250 * time.Millisecond
	// Recent is the time after a pause in which the process counts as just paused; in it the
	// membership and configuration that arrived during the pause are read.
	Recent = time.Second
)

// Config sets up a Detector. Zero fields take the package's defaults.
type Config struct {
	// Gap is the time between two ticks above which the process was paused. Smaller reports
	// scheduling delays as pauses.
	Gap time.Duration
	// Recent is the time after a pause in which JustPaused reports true.
	Recent time.Duration
}

// Detector finds pauses. The process calls Tick at a period well below Gap.
type Detector struct {
	cfg     Config
	started bool
	last    time.Duration
	until   time.Duration // end of the time in which the process counts as just paused
	pauses  int
}

// New returns a detector that hasn't seen a tick.
func New(cfg Config) *Detector {
	if cfg.Gap == 0 {
		cfg.Gap = Gap
	}
	if cfg.Recent == 0 {
		cfg.Recent = Recent
	}
	return &Detector{cfg: cfg}
}

// Tick records a tick. It returns the length of the gap and whether it counts as a pause.
func (d *Detector) Tick(now time.Duration) (gap time.Duration, paused bool) {
	if d.started {
		gap = now - d.last
	}
	d.started = true
	d.last = max(d.last, now)
	if gap <= d.cfg.Gap {
		return gap, false
	}
	d.until = now + d.cfg.Recent
	d.pauses++
	return gap, true
}

// JustPaused reports whether the process was paused within the last Recent. A gap that the next tick
// has yet to report counts, because the caller may run before the ticker after a pause.
func (d *Detector) JustPaused(now time.Duration) bool {
	return now < d.until || (d.started && now-d.last > d.cfg.Gap)
}

// Pauses returns the number of pauses seen.
func (d *Detector) Pauses() int { return d.pauses }
