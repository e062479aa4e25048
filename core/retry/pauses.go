package retry

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// MaxPause bounds the time for which a server can ask for no requests. A server that asks for longer gets a request then,
// and can ask again.
const MaxPause = 10 * time.Minute

// Pauses holds until when backend servers have asked this host for no requests. A pause is no evidence against a server. The
// zero value holds none. It is not safe for concurrent use.
type Pauses struct {
	until map[ident.BackendID]time.Duration
}

// Begin records that a server wants no requests for a time. A shorter pause does not end a longer one. It reports whether
// the server was not paused before.
func (p *Pauses) Begin(now time.Duration, id ident.BackendID, d time.Duration) (began bool) {
	if d <= 0 {
		return false
	}
	if p.until == nil {
		p.until = map[ident.BackendID]time.Duration{}
	}
	began = !p.Active(now, id)
	p.until[id] = max(p.until[id], now+min(d, MaxPause))
	return began
}

// Active reports whether a server wants no requests now.
func (p *Pauses) Active(now time.Duration, id ident.BackendID) bool { return now < p.until[id] }

// Any reports whether there may be a server that wants no requests.
func (p *Pauses) Any() bool { return len(p.until) > 0 }

// Until returns the time from which on a server wants requests again.
func (p *Pauses) Until(id ident.BackendID) time.Duration { return p.until[id] }

// FirstEnd returns the time at which the first of the servers wants requests again. all is false if one of them does now,
// or if there are none.
func (p *Pauses) FirstEnd(now time.Duration, servers func(yield func(ident.BackendID) bool)) (end time.Duration, all bool) {
	if len(p.until) == 0 {
		return 0, false // the servers are not enumerated, which may be costly
	}
	for id := range servers {
		if !p.Active(now, id) {
			return 0, false
		}
		if until := p.until[id]; !all || until < end {
			end, all = until, true
		}
	}
	return end, all
}

// Forget drops the pauses that have ended.
func (p *Pauses) Forget(now time.Duration) {
	for id := range p.until {
		if !p.Active(now, id) {
			delete(p.until, id)
		}
	}
}

// maxDelaySeconds is the longest delay that is decoded, so that it fits a duration.
const maxDelaySeconds = 1e6

// ParseDelay decodes the value of a Retry-After header in seconds, which may have a fraction. Anything else, a date included,
// is no delay.
func ParseDelay(value string) time.Duration {
	value = strings.TrimSpace(value)
	if strings.Trim(value, "0123456789.") != "" {
		return 0 // ParseFloat would also read signs, exponents, infinity and other notations
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0
	}
	return time.Duration(min(seconds, maxDelaySeconds) * float64(time.Second))
}

const (
	// minSpread and maxSpread bound the time over which callers return that were refused because of a pause. Between them
	// it is a quarter of the pause.
	minSpread = 100 * time.Millisecond
	maxSpread = time.Second
)

// ReturnAfter returns when a caller should return that is refused because of a pause which ends after the given time. The draw
// is a random number in [0, 1) that spreads the callers.
func ReturnAfter(pause time.Duration, draw float64) time.Duration {
	spread := min(maxSpread, max(minSpread, pause/4))
	return pause + time.Duration(draw*float64(spread))
}
