package quarantine

import (
	"slices"
	"time"
)

const (
	// rounds is the number of interval reports with which a host passes on what it has learned, less the number of
	// copies that it hears meanwhile. Each report goes to the near peers and up to 32 far ones, so an item multiplies by
	// more than 30 in each interval until most hosts have it, and those that are left get several copies on average
	// from each of the last rounds. Hosts that hear no copies do not stop, however many datagrams are lost.
	rounds = 4
	// decisionRounds is the same for decisions, but copies do not count: they are small, and each host needs them soon,
	// also when hosts that started together send to the same far peers in each interval.
	decisionRounds = 8
	// repeated is the number of decisions that one in repeatEvery interval reports repeats in turn for hosts that missed
	// them. Which reports these are follows a hash: with a fixed distance they could meet the same far peers each time.
	repeated    = 2
	repeatEvery = 5
	// MaxUpdateBytes is the greatest size of an update, with the sizes below.
	MaxUpdateBytes = 900
	// Greatest sizes of the items in msgpack: an array header of 1 byte, or 3 for a list; 9 bytes for a hash of 64 bits,
	// 5 for one of 32 bits and for an age in ms, 1 for a flag or a depth, 3 for strikes.
	listsBytes    = 1 + 3*3
	crashBytes    = 1 + 9 + 5 + 5 + 1 + 3
	suspectBytes  = 9 + 1
	answerBytes   = 1 + 9 + 5
	decisionBytes = 1 + 9 + 5 + 3 + 1
	// maxStrikes bounds the strikes, so that they take 3 bytes.
	maxStrikes = 1<<16 - 1
)

// Update is what hosts tell each other. Times are ages, as the hosts' clocks differ.
type Update struct {
	Crashes   []Crash
	Answers   []Answer
	Decisions []Decision
}

// Crash is what is known of the crash of a server.
type Crash struct {
	Server   Server
	Age      time.Duration
	Suspects []Suspect // of the streams that broke off before their first event
	Refuted  bool      // the server has answered since
}

// Answer says that a part was answered.
type Answer struct {
	Part Part
	Age  time.Duration
}

// Decision is the quarantine or the release of a part.
type Decision struct {
	Part     Part
	Strikes  int
	Age      time.Duration
	Released bool
}

// Empty reports whether an update holds nothing.
func (u Update) Empty() bool { return len(u.Crashes)+len(u.Answers)+len(u.Decisions) == 0 }

// Bytes returns the greatest size of the encoded update.
func (u Update) Bytes() int {
	n := listsBytes + len(u.Answers)*answerBytes + len(u.Decisions)*decisionBytes
	for _, c := range u.Crashes {
		n += crashBytes + len(c.Suspects)*suspectBytes
	}
	return n
}

// spread is the progress of passing an item on.
type spread struct {
	left  int  // interval reports that still carry it
	early bool // a report on a change has carried it
}

// take reports whether an item goes with a report.
func (s *spread) take(interval bool) bool {
	if s.left == 0 || !interval && s.early {
		return false
	}
	s.early = true
	if interval {
		s.left--
	}
	return true
}

// heard counts a copy that another host has told.
func (s *spread) heard() { s.left = max(0, s.left-1) }

// tellings holds what has been told of the answers to parts that are suspects.
type tellings map[Part]*telling

type telling struct {
	at     time.Duration // latest answer told
	spread spread
}

// Urgent reports whether there is something that no report has carried, so that the near peers should get one soon.
func (t *Table) Urgent(now time.Duration) bool {
	for _, r := range t.order {
		if r.spread.left > 0 && !r.spread.early && !t.settled(r) {
			return true
		}
	}
	for _, e := range t.entries {
		if e.spread.left > 0 && !e.spread.early && now < t.lapse(e) {
			return true
		}
	}
	return false
}

// TakeUpdate returns what is due with the next report: of each report interval, which goes to near and far peers,
// or of a change, which goes to the near ones only and carries an item once. Mostly it is empty. At most
// MaxUpdateBytes; the rest follows with the next report.
func (t *Table) TakeUpdate(now time.Duration, interval bool) Update {
	var u Update
	if len(t.order) == 0 && len(t.entries) == 0 {
		return u
	}
	decisions := slices.DeleteFunc(t.sortedEntries(), func(e *entry) bool { return now >= t.lapse(e) || e.suspended() })
	for _, e := range decisions {
		if u.Bytes()+decisionBytes <= MaxUpdateBytes && e.spread.take(interval) {
			u.Decisions = append(u.Decisions, e.decision(now))
		}
	}
	if interval && t.repeatDue() {
		t.repeatDecisions(now, decisions, &u)
	}
	for _, r := range t.order {
		if c := r.crash(now); u.fits(c) && !t.settled(r) && r.spread.take(interval) {
			u.Crashes = append(u.Crashes, c)
		}
	}
	for _, r := range t.order {
		if !r.refuted && !t.settled(r) {
			t.tellAnswers(now, interval, r, &u)
		}
	}
	return u
}

func (u *Update) fits(c Crash) bool {
	return u.Bytes()+crashBytes+len(c.Suspects)*suspectBytes <= MaxUpdateBytes
}

// tellAnswers adds the answers to the suspects of a record that its peers may not know of: the first, and later one that
// refutes the record while those told do not. So a crash costs each host one item for each of its parts at most.
func (t *Table) tellAnswers(now time.Duration, interval bool, r *record, u *Update) {
	for _, s := range r.suspects {
		at, known := t.answers.last(s.Part)
		if !known {
			continue
		}
		x := t.told[s.Part]
		if x == nil || x.at <= r.at && at > r.at {
			x = &telling{at: at, spread: spread{left: rounds}}
			t.told[s.Part] = x
		}
		told := slices.ContainsFunc(u.Answers, func(a Answer) bool { return a.Part == s.Part })
		if !told && u.Bytes()+answerBytes <= MaxUpdateBytes && x.spread.take(interval) {
			x.at = at
			u.Answers = append(u.Answers, Answer{s.Part, now - at})
		}
	}
}

// repeatDue reports whether an interval report repeats decisions.
func (t *Table) repeatDue() bool {
	t.reports++
	return mix(0, Lifetime(t.reports))%repeatEvery == 0
}

// repeatDecisions adds some decisions in turn.
func (t *Table) repeatDecisions(now time.Duration, list []*entry, u *Update) {
	for range min(repeated, len(list)) {
		e := list[t.nextRepeat%len(list)]
		t.nextRepeat++
		told := slices.ContainsFunc(u.Decisions, func(d Decision) bool { return d.Part == e.part })
		if !told && u.Bytes()+decisionBytes <= MaxUpdateBytes {
			u.Decisions = append(u.Decisions, e.decision(now))
		}
	}
}

func (e *entry) decision(now time.Duration) Decision {
	return Decision{Part: e.part, Strikes: e.strikes, Age: now - e.at, Released: e.released}
}

func (r *record) crash(now time.Duration) Crash {
	return Crash{Server: r.server, Age: now - r.at, Suspects: slices.Clone(r.suspects), Refuted: r.refuted}
}

// Whole returns the decisions and the latest unexplained crashes for a host that has just started, at most
// MaxUpdateBytes.
func (t *Table) Whole(now time.Duration) Update {
	var u Update
	for _, e := range t.sortedEntries() {
		if !e.released && !e.suspended() && now < t.lapse(e) && u.Bytes()+decisionBytes <= MaxUpdateBytes {
			u.Decisions = append(u.Decisions, e.decision(now))
		}
	}
	for _, r := range slices.Backward(t.order) {
		if c := r.crash(now); !r.refuted && !t.settled(r) && u.fits(c) {
			u.Crashes = append(u.Crashes, c)
		}
	}
	return u
}

// Apply merges what another host has told. Updates may come in any order and repeatedly.
func (t *Table) Apply(now time.Duration, u Update) {
	for _, c := range u.Crashes {
		if c.Age >= 0 && c.Age <= recordTTL {
			t.applyCrash(now, c)
		}
	}
	for _, a := range u.Answers {
		if a.Age >= 0 && a.Age <= answerTTL {
			t.answers.add(now, a.Part, now-a.Age)
			if x := t.told[a.Part]; x != nil && now-a.Age >= x.at {
				x.spread.heard()
			}
		}
	}
	for _, d := range u.Decisions {
		if d.Strikes > 0 && d.Strikes <= maxStrikes && d.Age >= 0 {
			t.applyDecision(now, d)
		}
	}
}

func (t *Table) applyCrash(now time.Duration, c Crash) {
	r := t.records[c.Server.Lifetime]
	if r != nil && r.refuted == c.Refuted && len(r.suspects) == len(c.Suspects) {
		r.spread.heard()
	}
	t.mergeRecord(c.Server, now-c.Age, c.Suspects, c.Refuted)
}

// applyDecision takes over a decision that is newer than the known one. Of equal ones the earlier time counts, which
// was delayed least on its way.
func (t *Table) applyDecision(now time.Duration, d Decision) {
	e, at := t.entries[d.Part], now-d.Age
	offered := entry{part: d.Part, strikes: d.Strikes, released: d.Released, at: at}
	if now >= t.lapse(&offered) {
		return
	}
	if e != nil && e.strikes == d.Strikes && e.released == d.Released {
		e.at = min(e.at, at)
		return
	}
	if e != nil && (e.strikes > d.Strikes || e.strikes == d.Strikes && e.released) {
		return
	}
	if e == nil {
		if e = t.addEntry(d.Part); e == nil {
			return
		}
	}
	t.takeOver(e, offered)
}

func (t *Table) takeOver(e *entry, d entry) {
	before := *e
	e.strikes, e.released, e.at, e.testUntil, e.spread = d.strikes, d.released, d.at, 0, spread{left: decisionRounds}
	switch {
	case d.released && !before.released:
		e.refused = false
		t.active--
		t.report(e, Released, nil)
	case !d.released && before.released:
		t.active++
		t.report(e, Learned, nil)
	case !d.released:
		t.report(e, Renewed, nil)
	}
}
