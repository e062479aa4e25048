// Package pause detects from the gaps between ticks that the process was paused. A process resumes from a
// pause with stale state: it must check its deadlines again and, for a short time, send no orders that the
// receiver does not verify.
package pause

import "time"

// Defaults of Config.
const (
	// Gap is far above the tick period and scheduling delay, and far below the 3 s failure timeouts.
	Gap = 250 * time.Millisecond
	// Recent is the time after a pause during which the process counts as just paused. It needs that time to
	// read the membership and configuration updates that arrived during the pause.
	Recent = time.Second
)

// Config holds the settings of a Detector. Zero fields select the defaults.
type Config struct {
	// Gap is the time between two ticks above which the process counts as paused. Smaller values report
	// scheduling delays as pauses.
	Gap time.Duration
	// Recent is the time after a pause during which JustPaused reports true.
	Recent time.Duration
}

// Detector detects pauses of the process, which calls Tick at a period well below Gap.
type Detector struct {
	cfg     Config
	started bool
	last    time.Duration // time of the last tick
	until   time.Duration // time until which the process counts as just paused
	pauses  int
}

// New returns a Detector that has not recorded a tick yet.
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

// JustPaused reports whether the process was paused within the last Recent. It also counts a gap
// that no tick has reported yet, because the caller may run before the ticker after a pause.
func (d *Detector) JustPaused(now time.Duration) bool {
	return now < d.until || (d.started && now-d.last > d.cfg.Gap)
}

// Pauses returns the number of pauses detected.
func (d *Detector) Pauses() int { return d.pauses }
