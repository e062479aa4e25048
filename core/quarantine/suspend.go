package quarantine

import (
	"slices"
	"time"
)

const (
	// suspendTime is the time from the suspension of a part to its test. Servers that start again in it answer requests
	// without the part.
	suspendTime = 5 * time.Second
	// seriesGap is the greatest time since the last crash of a series that goes on.
	seriesGap = 2500 * time.Millisecond
	// recentBroken is the number of requests of this host that broke off and are kept to see whether a part is in all of them.
	recentBroken = 64
)

// brokenRequests holds the parts of the latest requests of this host that broke off, in a ring.
type brokenRequests struct {
	parts [][]Part
	next  int // index in parts
}

func (b *brokenRequests) record(parts []Part) {
	switch {
	case len(parts) == 0:
	case len(b.parts) < recentBroken:
		b.parts = append(b.parts, slices.Clone(parts))
	default:
		b.parts[b.next] = slices.Clone(parts)
		b.next = (b.next + 1) % recentBroken
	}
}

// without returns the number of requests without a part.
func (b *brokenRequests) without(p Part) (n int) {
	for _, parts := range b.parts {
		if !slices.Contains(parts, p) {
			n++
		}
	}
	return n
}

// suspicious reports whether a part is to be suspended: it is in the crashes of all moments of a series that goes on, and
// nothing is answered that could tell it from others, since all servers are down most of the time.
func (t *Table) suspicious(now time.Duration, c *candidate) bool {
	if c.moments < minMoments || c.unrelated() > 0 || (c.proven && now-c.answered < quietTime) {
		return false
	}
	first, last := c.records[0], c.records[len(c.records)-1]
	answered := t.answers.without(c.part, first.server.Service, first.at, now)
	return answered < contrast && now-last.at < seriesGap && !t.sharedByAll(now, c)
}

// sharedByAll reports whether this host knows no request of the service without the part. One that all share is not suspended.
func (t *Table) sharedByAll(now time.Duration, c *candidate) bool {
	return t.broken.without(c.part) == 0 && t.answers.without(c.part, c.records[0].server.Service, t.started, now) == 0
}

// suspend refuses requests with a part on this host until a test, which is due soon: an answer releases the part, and a crash
// makes it quarantined on all hosts. Hosts do not tell each other suspensions, since each sees the crashes itself.
func (t *Table) suspend(now time.Duration, p Part) {
	e := t.entries[p]
	if e == nil {
		if e = t.addEntry(p); e == nil {
			return
		}
	}
	if e.strikes > 0 {
		return // its decisions are told, and need the whole evidence
	}
	e.at, e.released = now, false
	t.active++
	t.report(e, Suspended, nil)
}

// suspended reports whether the part is refused without the whole evidence.
func (e *entry) suspended() bool { return e.strikes == 0 }
