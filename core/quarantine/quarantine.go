// Package quarantine finds the parts of prompts that crash the servers which begin to answer on them, and refuses
// requests with such a part until a single test request shows that it no longer does.
//
// The evidence is collected by all hosts. A crash record holds the parts of the requests whose streams broke off on one
// lifetime of a server before their first event; an answer that has begun refutes the crashes before it for each of its
// parts. A part is quarantined when crashes at several moments have it in common, few others happen meanwhile, and
// requests without it are answered. Hosts exchange records, answers and decisions with their load reports (Update). Every
// merge takes a minimum, a maximum or a union, so that neither order nor repetition matters.
//
// The Table does no I/O and reads no clock.
package quarantine

import (
	"slices"
	"time"
)

// Part is the hash of a service's name and of a part of a prompt that several requests to the service may share.
type Part uint64

// Lifetime is the hash of the id that a server has from one start to the next.
type Lifetime uint64

// Service is the hash of a service's name.
type Service uint32

// Server is one lifetime of a server of a service.
type Server struct {
	Service  Service
	Lifetime Lifetime
}

// Config configures a Table. Zero fields take the package's defaults.
type Config struct {
	// FirstHold is the time from the first quarantine of a part to its test. Each further one is twice as long, up to
	// MaxHold. A longer time refuses requests with a part that has become harmless, a shorter one costs more servers.
	FirstHold time.Duration
	MaxHold   time.Duration
}

// Defaults of Config.
const (
	FirstHold = 30 * time.Second
	MaxHold   = 8 * time.Minute
)

const (
	// maxEntries bounds the quarantined and the released parts that are remembered.
	maxEntries = 128
	// maxChanges bounds the changes between two calls of Tick.
	maxChanges = 256
	// blameInterval is the least time between two evaluations, which take about 1 ms when all records are full.
	blameInterval = 100 * time.Millisecond
	// maxTest is the time after which a test without a result no longer prevents another one.
	maxTest = time.Minute
	// testRetry is the wait of requests that are refused because another host or request tests the part.
	testRetry = time.Second
	// widenTest is the time after which twice as many hosts may test a part: the host that ranks first may get no
	// request with the part.
	widenTest = 5 * time.Second
	// maxWiden bounds the doublings: 65,536 hosts are more than a region has.
	maxWiden = 16
)

// Table holds the evidence and the quarantined parts that a host knows of. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	started    time.Duration
	records    map[Lifetime]*record
	order      []*record // records by the time at which this host learned of them
	answers    answers
	entries    map[Part]*entry
	active     int // entries that are not released
	told       tellings
	reports    int // interval reports so far, while there was something to tell
	nextRepeat int // index in the sorted entries
	nextBlame  time.Duration
	broken     brokenRequests
	changes    []Change
}

// entry is the latest decision on a part.
type entry struct {
	part        Part
	strikes     int // quarantines and renewals so far, 0 if it is only suspended; the higher number is the newer decision
	released    bool
	at          time.Duration // time of the decision
	refused     bool
	lastRefusal time.Duration // on this host
	testUntil   time.Duration // a test runs on this host until its result or this time
	spread      spread
}

// NewTable returns a table without evidence of a host that starts now.
func NewTable(now time.Duration, cfg Config) *Table {
	if cfg.FirstHold == 0 {
		cfg.FirstHold = FirstHold
	}
	if cfg.MaxHold == 0 {
		cfg.MaxHold = MaxHold
	}
	return &Table{cfg: cfg, started: now, records: map[Lifetime]*record{}, entries: map[Part]*entry{}, told: tellings{}}
}

// hold returns the time from a decision to the test of the part.
func (t *Table) hold(e *entry) time.Duration {
	if e.suspended() {
		return suspendTime
	}
	d := t.cfg.FirstHold
	for i := 1; i < e.strikes && d < t.cfg.MaxHold; i++ {
		d *= 2
	}
	return min(d, t.cfg.MaxHold)
}

func (t *Table) due(e *entry) time.Duration { return e.at + t.hold(e) }

// lapse returns the time after which hosts no longer tell a decision. A part that this host still refuses is kept
// longer, but only here: otherwise two hosts could keep each other's copies for ever.
func (t *Table) lapse(e *entry) time.Duration { return t.due(e) + t.hold(e) }

// forget returns the time at which this host forgets a decision: when it has refused no request for as long as the part
// was held, and the test is due for as long.
func (t *Table) forget(e *entry) time.Duration {
	if e.refused {
		return max(t.due(e), e.lastRefusal) + t.hold(e)
	}
	return t.lapse(e)
}

// quarantined returns the entry of a part that is quarantined, or nil.
func (t *Table) quarantined(p Part) *entry {
	if t.active == 0 {
		return nil
	}
	if e := t.entries[p]; e != nil && !e.released {
		return e
	}
	return nil
}

// RecordCrash records that a stream with these parts broke off on a server before its first event. Without parts the
// record says that the server crashed and no known part is the reason, as when only streams with events broke off.
func (t *Table) RecordCrash(now time.Duration, server Server, parts []Part) {
	suspects := make([]Suspect, 0, len(parts))
	for i, p := range parts {
		suspects = append(suspects, Suspect{Part: p, Depth: uint8(min(i, maxDepth))})
		if e := t.quarantined(p); e != nil {
			t.renewBy(e, now)
		}
	}
	t.broken.record(parts)
	server = t.unrefuted(server)
	t.mergeRecord(server, now, keepSample(suspects, server.Lifetime, maxRequestParts), false)
}

// RecordAnswer records the first event of an answer to a request with these parts. The server is alive, and none of the
// parts made it crash. It is not the end of the answer that counts: a long one that began before its part turned bad
// would refute the crashes that came meanwhile.
func (t *Table) RecordAnswer(now time.Duration, server Server, parts []Part) {
	if r := t.records[t.unrefuted(server).Lifetime]; r != nil && now >= r.at+surelyLater {
		t.mergeRecord(r.server, r.at, nil, true)
	}
	kept := t.answers.record(now, server, parts)
	for _, p := range kept {
		t.answers.add(now, p, now)
	}
	for _, p := range parts {
		if e := t.quarantined(p); e != nil {
			t.release(e, now)
		}
	}
}

// Verdict decides on a request.
type Verdict struct {
	Admit      bool
	Part       Part          // quarantined part, of a refusal or a test
	RetryAfter time.Duration // of a refusal: until the part may be tested
	Test       bool          // the request tests the part: its result must be recorded, or EndTest called
}

// Check decides on a request with these parts before it is sent. tester reports whether this host is among the n hosts
// that rank first for a part among the live ones, by a hash on which all hosts agree. A request with several quarantined
// parts tests them together, or it could never be admitted.
func (t *Table) Check(now time.Duration, parts []Part, tester func(p Part, n int) bool) Verdict {
	if t.active == 0 {
		return Verdict{Admit: true}
	}
	var last, lowest *entry // due last, and that whose rank decides
	testing := false
	for _, p := range parts {
		e := t.quarantined(p)
		if e == nil {
			continue
		}
		if last == nil || t.due(e) > t.due(last) {
			last = e
		}
		if lowest == nil || e.part < lowest.part {
			lowest = e
		}
		testing = testing || now < e.testUntil
	}
	if last == nil {
		return Verdict{Admit: true}
	}
	wait := t.due(last) - now
	if wait <= 0 && !testing && tester(lowest.part, testers(-wait)) {
		t.startTest(now, parts)
		return Verdict{Admit: true, Part: last.part, Test: true}
	}
	for _, p := range parts {
		if e := t.quarantined(p); e != nil {
			e.refused, e.lastRefusal = true, now
		}
	}
	if wait <= 0 {
		wait = testRetry
	}
	return Verdict{Part: last.part, RetryAfter: wait}
}

// testers returns how many hosts may test a part whose test has been due for some time.
func testers(overdue time.Duration) int { return 1 << min(overdue/widenTest, maxWiden) }

func (t *Table) startTest(now time.Duration, parts []Part) {
	for _, p := range parts {
		if e := t.quarantined(p); e != nil {
			e.testUntil = now + maxTest
			t.report(e, Tested, nil)
		}
	}
}

// EndTest records that a request that tested these parts has ended without a result, as it was refused or cancelled.
func (t *Table) EndTest(parts []Part) {
	for _, p := range parts {
		if e := t.quarantined(p); e != nil {
			e.testUntil = 0
		}
	}
}

// renewBy renews the quarantine of a part by a crash that came after its test was due. Earlier ones come from requests
// that were on their way when the part was quarantined.
func (t *Table) renewBy(e *entry, crash time.Duration) {
	if crash < t.due(e) {
		return
	}
	e.strikes++
	e.at, e.testUntil, e.spread = crash, 0, spread{left: decisionRounds}
	t.report(e, Renewed, nil)
}

func (t *Table) release(e *entry, at time.Duration) {
	e.at, e.released, e.refused, e.testUntil, e.spread = at, true, false, 0, spread{left: decisionRounds}
	t.active--
	t.report(e, Released, nil)
}

// quarantine starts the quarantine of a part.
func (t *Table) quarantine(now time.Duration, p Part, evidence []Lifetime) {
	e := t.entries[p]
	if e == nil {
		if e = t.addEntry(p); e == nil {
			return
		}
	}
	e.strikes++
	e.at, e.released, e.spread = now, false, spread{left: decisionRounds}
	t.active++
	t.report(e, Started, evidence)
}

// addEntry adds a released entry, or returns nil if the table is full of quarantined parts. A quarantined part never
// makes room for another: whoever can make up parts that crash servers could lift the quarantine of a known one.
func (t *Table) addEntry(p Part) *entry {
	if len(t.entries) >= maxEntries {
		var oldest *entry
		for _, e := range t.entries {
			if e.released && (oldest == nil || e.at < oldest.at || e.at == oldest.at && e.part < oldest.part) {
				oldest = e
			}
		}
		if oldest == nil {
			return nil
		}
		delete(t.entries, oldest.part)
	}
	e := &entry{part: p, released: true}
	t.entries[p] = e
	return e
}

// ChangeKind says what has happened to a part.
type ChangeKind string

// The kinds of changes.
const (
	Started  ChangeKind = "quarantined"
	Learned  ChangeKind = "quarantined by a peer"
	Tested   ChangeKind = "tested"
	Renewed  ChangeKind = "renewed"
	Released ChangeKind = "released"
	Lapsed   ChangeKind = "lapsed"
	// Suspended parts are refused by this host alone, until a test that is due soon.
	Suspended ChangeKind = "suspended"
)

// Change is a change of a part's quarantine.
type Change struct {
	Part     Part
	Kind     ChangeKind
	Strikes  int
	Hold     time.Duration // until the part is tested
	Evidence []Lifetime    // crashed servers, when this host has quarantined the part
}

func (t *Table) report(e *entry, kind ChangeKind, evidence []Lifetime) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, Change{e.part, kind, e.strikes, t.hold(e), evidence})
	}
}

// Tick evaluates the evidence, drops what has expired and returns the changes since the last call. It must be called
// about every 100 ms, as a part can be quarantined by the passing of time alone.
func (t *Table) Tick(now time.Duration) []Change {
	t.expire(now)
	t.applyEvidence()
	if now >= t.nextBlame {
		t.nextBlame = now + blameInterval
		t.blame(now)
	}
	out := t.changes
	t.changes = nil
	return out
}

func (t *Table) expire(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(r *record) bool {
		old := now-r.at > recordTTL
		if old {
			delete(t.records, r.server.Lifetime)
		}
		return old
	})
	t.answers.expire(now)
	if len(t.order) == 0 {
		clear(t.told)
	}
	for _, e := range t.sortedEntries() {
		if now < t.forget(e) || now < e.testUntil {
			continue
		}
		if !e.released {
			t.active--
			t.report(e, Lapsed, nil)
		}
		delete(t.entries, e.part)
	}
}

// applyEvidence releases and renews quarantined parts by what other hosts have seen.
func (t *Table) applyEvidence() {
	if t.active == 0 {
		return
	}
	for _, r := range t.order {
		for _, s := range r.suspects {
			if e := t.quarantined(s.Part); e != nil && !r.refuted {
				t.renewBy(e, r.at)
			}
		}
	}
	for _, e := range t.sortedEntries() {
		if at, known := t.answers.last(e.part); known && !e.released && at > e.at {
			t.release(e, at)
		}
	}
}

// sortedEntries returns the entries by part, so that equal tables behave alike.
func (t *Table) sortedEntries() []*entry {
	out := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int { return compare(a.part, b.part) })
	return out
}
