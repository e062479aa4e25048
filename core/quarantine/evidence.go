package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// recordTTL is how long a crash counts.
	recordTTL = 30 * time.Second
	// maxRecords bounds the crash records. When there are more, those that a quarantined part explains or that name no
	// part go first, then the oldest: a series of crashes is recognized by its latest records.
	maxRecords = 256
	// maxSuspects bounds the parts of a record: more than the streams of all hosts have that wait for their first event
	// at one server.
	maxSuspects = 32
	// maxRequestParts bounds the parts of a request that are recorded, so that one request with made-up parts does not
	// fill a record.
	maxRequestParts = 16
	// maxDepth is the greatest depth of a part that is told apart; it fits one byte on the wire.
	maxDepth = 127
	// mergeTime is the least age of the records that are evaluated. Until then those of other hosts arrive, and answers
	// of the server that show that only connections to it were reset.
	mergeTime = 200 * time.Millisecond
	// surelyLater is the time from a crash after which an event of the same server shows that it is alive. Earlier ones
	// may have been on their way when it crashed.
	surelyLater = 100 * time.Millisecond
	// maxNames bounds the names under which the crashes of one lifetime are recorded while the first record counts.
	maxNames = 16
	// moment is the time within which crashes count as one: servers that fail together have one cause, which is not a
	// request.
	moment = 30 * time.Millisecond
	// minMoments is the number of moments at which a part must be among the suspects. A part that has been answered
	// before needs provenMoments, and must not have been answered for quietTime: answers to requests of other hosts
	// take this long to become known.
	minMoments    = 3
	provenMoments = 5
	quietTime     = 1500 * time.Millisecond
	// learnTime is the time from the start of a host in which it treats all parts as answered just before: it does not
	// know yet which parts are answered again and again.
	learnTime = 10 * time.Second
	// unrelatedFactor is the least ratio of the moments with a part to those without it in the same time. A long request
	// that waits at servers which are replaced in turn would be blamed otherwise.
	unrelatedFactor = 2
	// contrast is the number of answers to requests without the part in the last contrastWindow. laterContrast of them
	// must have come since its first crash, and for a part that has been answered before until its last one: after a
	// failure of all servers, requests with other parts may be answered first by chance.
	contrast       = 8
	contrastWindow = 10 * time.Second
	laterContrast  = 3
)

// Suspect is a part of a request whose stream broke off.
type Suspect struct {
	Part  Part
	Depth uint8 // number of parts before it in the prompt, the greatest one if requests differ
}

// record is the crash of one lifetime of a server.
type record struct {
	server   Server
	at       time.Duration
	suspects []Suspect // sorted by keptBefore
	refuted  bool      // the server has answered since
	spread   spread
}

// mix returns a hash of a part and a lifetime.
func mix(p Part, l Lifetime) uint64 {
	x := uint64(p) ^ uint64(l)*0x9e3779b97f4a7c15
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	x = (x ^ x>>32) * 0xd6e8feb86659fd93
	return x ^ x>>32
}

func compare(a, b Part) int { return cmp.Compare(a, b) }

// keepSample returns at most n suspects without duplicates. Which of them it keeps depends on a hash that differs
// between lifetimes, so that no part is left out of all records, and the sample of a union is that of its samples.
func keepSample(list []Suspect, l Lifetime, n int) []Suspect {
	slices.SortFunc(list, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(mix(a.Part, l), mix(b.Part, l)), compare(a.Part, b.Part), cmp.Compare(b.Depth, a.Depth))
	})
	list = slices.CompactFunc(list, func(a, b Suspect) bool { return a.Part == b.Part })
	return list[:min(n, len(list))]
}

// mergeRecord adds what is known of a crash. The earliest time counts: it is the least delayed by the way between hosts.
func (t *Table) mergeRecord(server Server, at time.Duration, suspects []Suspect, refuted bool) {
	r := t.records[server.Lifetime]
	if r == nil {
		r = &record{server: server, at: at, spread: spread{left: rounds}}
		t.records[server.Lifetime] = r
		t.order = append(t.order, r)
		t.limitRecords(r)
	}
	r.at = min(r.at, at)
	before := r.suspects
	r.suspects = keepSample(append(slices.Clone(before), suspects...), server.Lifetime, maxSuspects)
	if !slices.Equal(before, r.suspects) {
		r.spread = spread{left: rounds}
	}
	if refuted && !r.refuted {
		r.refuted, r.spread = true, spread{left: rounds}
	}
	if r.refuted {
		r.suspects = nil
	}
}

// unrefuted returns the server under which its next crash is recorded. A lifetime whose connections were reset may still
// crash later, so after a refuted record the crash goes under another name, the same one on all hosts.
func (t *Table) unrefuted(server Server) Server {
	for range maxNames {
		if r := t.records[server.Lifetime]; r == nil || !r.refuted {
			break
		}
		server.Lifetime = Lifetime(mix(1, server.Lifetime))
	}
	return server
}

// limitRecords drops a record when there are too many, but not the given one, which has no parts yet.
func (t *Table) limitRecords(added *record) {
	if len(t.order) <= maxRecords {
		return
	}
	drop := slices.IndexFunc(t.order, func(r *record) bool { return r != added && (len(r.suspects) == 0 || t.explained(r)) })
	if drop < 0 {
		drop = 0
		for i, r := range t.order[:len(t.order)-1] {
			if r.at < t.order[drop].at {
				drop = i
			}
		}
	}
	delete(t.records, t.order[drop].server.Lifetime)
	t.order = slices.Delete(t.order, drop, drop+1)
}

// explained reports whether a quarantined part explains the crash.
func (t *Table) explained(r *record) bool {
	return t.active > 0 && slices.ContainsFunc(r.suspects, func(s Suspect) bool { return t.quarantined(s.Part) != nil })
}

// settled reports whether a part that is quarantined on all hosts explains the crash, so that they need not be told of it.
func (t *Table) settled(r *record) bool {
	return t.active > 0 && slices.ContainsFunc(r.suspects, func(s Suspect) bool {
		e := t.quarantined(s.Part)
		return e != nil && !e.suspended()
	})
}

// candidate is a part that may be the reason of crashes.
type candidate struct {
	part        Part
	depth       uint8
	answered    time.Duration // last answer
	proven      bool          // it has been answered before
	moments     int           // moments at which it may be the reason
	first, last int           // index of the first and the last of them
	records     []*record     // of these moments
}

// blame quarantines the parts that the evidence accuses: the one with most moments first, then, without the crashes
// that it explains, the next.
func (t *Table) blame(now time.Duration) {
	for {
		var best, suspect *candidate
		for _, records := range t.unexplained(now) {
			for _, c := range t.candidates(now, records) {
				if t.guilty(now, c) && (best == nil || c.before(best)) {
					best = c
				}
				if t.suspicious(now, c) && (suspect == nil || c.before(suspect)) {
					suspect = c
				}
			}
		}
		if best == nil {
			if suspect != nil {
				t.suspend(now, suspect.part)
			}
			return
		}
		var evidence []Lifetime
		for _, r := range best.records {
			evidence = append(evidence, r.server.Lifetime)
		}
		t.quarantine(now, best.part, evidence)
		if t.quarantined(best.part) == nil {
			return // the table is full
		}
	}
}

// unexplained returns the records that count, by service and time.
func (t *Table) unexplained(now time.Duration) map[Service][]*record {
	if len(t.order) < minMoments {
		return nil
	}
	out := map[Service][]*record{}
	for _, r := range t.order {
		if !r.refuted && now-r.at >= mergeTime && !t.explained(r) {
			out[r.server.Service] = append(out[r.server.Service], r)
		}
	}
	for _, records := range out {
		slices.SortFunc(records, func(a, b *record) int {
			return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server.Lifetime, b.server.Lifetime))
		})
	}
	return out
}

// before reports whether c is to be quarantined first: the one with more moments, then the one that was answered
// longer ago, then the later one in the prompt, which fewer requests share.
func (c *candidate) before(o *candidate) bool {
	return cmp.Or(cmp.Compare(o.moments, c.moments), cmp.Compare(c.answered, o.answered), cmp.Compare(o.depth, c.depth),
		compare(c.part, o.part)) < 0
}

// momentsOf divides the records, which are sorted by time. A moment has a fixed length, as crashes that follow each other
// closely would make an endless one otherwise.
func momentsOf(records []*record) (out [][]*record) {
	for start, i := 0, 1; i <= len(records); i++ {
		if i == len(records) || records[i].at-records[start].at > moment {
			out = append(out, records[start:i])
			start = i
		}
	}
	return out
}

// candidates returns the parts that may be the reason of the crashes at some moments: those that are suspects of at least
// half of the servers that crashed then, and have not been answered since.
func (t *Table) candidates(now time.Duration, records []*record) map[Part]*candidate {
	out := map[Part]*candidate{}
	for i, all := range momentsOf(records) {
		with := map[Part][]*record{}
		for _, r := range all {
			for _, s := range r.suspects {
				c := out[s.Part]
				if c == nil {
					c = t.newCandidate(now, s.Part)
					out[s.Part] = c
				}
				if r.at > c.answered {
					with[s.Part] = append(with[s.Part], r)
					c.depth = max(c.depth, s.Depth)
				}
			}
		}
		for p, crashed := range with {
			if 2*len(crashed) >= len(all) {
				out[p].add(i, crashed)
			}
		}
	}
	return out
}

// add counts a moment.
func (c *candidate) add(index int, records []*record) {
	if c.moments == 0 {
		c.first = index
	}
	c.last, c.moments, c.records = index, c.moments+1, append(c.records, records...)
}

// unrelated returns the number of other moments between the first and the last one of the part.
func (c *candidate) unrelated() int { return c.last - c.first + 1 - c.moments }

func (t *Table) newCandidate(now time.Duration, p Part) *candidate {
	c := &candidate{part: p}
	c.answered, c.proven = t.answers.last(p)
	if e := t.entries[p]; e != nil && e.released {
		c.answered, c.proven = max(c.answered, e.at), true
	}
	switch {
	case c.proven:
	case now-t.started < learnTime:
		c.answered, c.proven = t.started, true
	default:
		c.answered = t.started - recordTTL
	}
	return c
}

// guilty reports whether the evidence suffices to quarantine a part.
func (t *Table) guilty(now time.Duration, c *candidate) bool {
	need := minMoments
	if c.proven {
		need = provenMoments
	}
	if c.moments < need || c.moments < unrelatedFactor*c.unrelated() {
		return false
	}
	if c.proven && now-c.answered < quietTime {
		return false
	}
	service, first, last := c.records[0].server.Service, c.records[0].at, c.records[len(c.records)-1].at
	if !c.proven {
		last = now
	}
	return t.answers.without(c.part, service, first, last) >= laterContrast &&
		t.answers.without(c.part, service, now-contrastWindow, now) >= contrast
}
