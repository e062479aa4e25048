package quarantine

import (
	"slices"
	"time"
)

const (
	// answerTTL is the least time for which the last answer to a part is remembered, unless callers send more parts.
	answerTTL = 30 * time.Second
	// maxAnswered bounds the parts of a generation of answers.
	maxAnswered = 8192
	// recentAnswers is the number of answers of this host that are kept to compare requests with and without a part. It
	// is far above contrast, so that an answer without a part that most requests share is among them.
	recentAnswers = 256
)

// answers remembers which parts have been answered. Parts answered lately are in the current generation; when it is
// full or old, the previous one is dropped, which holds the parts that were answered least recently.
type answers struct {
	current, previous map[Part]time.Duration
	since             time.Duration // start of the current generation
	recent            []answer      // of this host, a ring
	next              int           // index in recent
}

type answer struct {
	at      time.Duration
	service Service
	parts   []Part
}

// record adds an answer of this host and returns the parts that count.
func (a *answers) record(now time.Duration, server Server, parts []Part) []Part {
	kept := slices.Clone(parts)
	if len(kept) > maxRequestParts {
		suspects := make([]Suspect, len(parts))
		for i, p := range parts {
			suspects[i].Part = p
		}
		kept = kept[:0]
		for _, s := range keepSample(suspects, server.Lifetime^Lifetime(now), maxRequestParts) {
			kept = append(kept, s.Part)
		}
	}
	x := answer{now, server.Service, kept}
	if len(a.recent) < recentAnswers {
		a.recent = append(a.recent, x)
	} else {
		a.recent[a.next] = x
		a.next = (a.next + 1) % recentAnswers
	}
	return kept
}

// add records that a part was answered at a time. The latest time counts.
func (a *answers) add(now time.Duration, p Part, at time.Duration) {
	if last, known := a.last(p); known && last >= at {
		return
	}
	if a.current == nil || len(a.current) >= maxAnswered {
		a.rotate(now)
	}
	a.current[p] = at
}

func (a *answers) rotate(now time.Duration) {
	a.previous, a.current, a.since = a.current, map[Part]time.Duration{}, now
}

func (a *answers) expire(now time.Duration) {
	if now-a.since > answerTTL {
		a.rotate(now)
	}
}

// last returns when a part was last answered.
func (a *answers) last(p Part) (time.Duration, bool) {
	if at, known := a.current[p]; known {
		return at, true
	}
	at, known := a.previous[p]
	return at, known
}

// without returns the number of recent answers of a service to requests without the part.
func (a *answers) without(p Part, s Service, from, to time.Duration) (n int) {
	for _, x := range a.recent {
		if x.service == s && x.at >= from && x.at <= to && !slices.Contains(x.parts, p) {
			n++
		}
	}
	return n
}
