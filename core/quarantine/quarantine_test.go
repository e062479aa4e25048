package quarantine

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const second = time.Second

// Guards against a series of crashes that goes on, and against refusals of requests that share other parts with it.
func TestSeriesEnds(t *testing.T) {
	for seed := range int64(20) {
		c := qt.New(t)
		f := newFleet(6, 21, seed)
		f.run(10 * second)
		f.badRate = 0.05
		f.run(28 * second)
		c.Check(f.quarantined(), qt.DeepEquals, []Part{bad}, qt.Commentf("seed %d", seed))
		c.Check(f.late(), qt.Equals, 0)
		c.Check(f.refused, qt.Equals, 0)
		c.Check(len(f.crashes) <= 20, qt.IsTrue, qt.Commentf("seed %d: %d crashes", seed, len(f.crashes)))
		f.run(120 * second)
		c.Check(f.late() <= 3, qt.IsTrue, qt.Commentf("seed %d: %d tests in 148 s", seed, f.late()))
		c.Check(f.refused, qt.Equals, 0)
	}
}

// Guards against a bad part that goes on crashing servers because it is in so many requests that few others are answered, on
// hosts of any age and with few servers, which are all down most of the time.
func TestBadPartInManyRequests(t *testing.T) {
	for _, servers := range []int{1, 2, 4, 8} {
		for _, age := range []time.Duration{0, 4 * second, 14 * second} {
			for seed := range int64(5) {
				f := newFleet(6, servers, seed)
				f.run(age)
				f.badRate = 0.3
				f.run(25 * second)
				if late := f.late(); late > 3 {
					t.Errorf("%d servers, hosts %v old, seed %d: %d requests with the part later than 3 s after the fifth crash", servers, age, seed, late)
				}
			}
		}
	}
}

// Guards against a suspension that lasts although the part is answered again, against one that other hosts take over, and
// against a bad part that is not quarantined by its test.
func TestSuspensionEndsWithItsTest(t *testing.T) {
	c := qt.New(t)
	suspend := func() (x *Table, now time.Duration) {
		x, now = NewTable(-learnTime, Config{}), 2*second
		for l := range Lifetime(minMoments) {
			now += 2 * moment
			x.RecordCrash(now, Server{service, l}, []Part{shared, bad})
			x.RecordCrash(now, Server{service, l}, []Part{shared, 50 + Part(l)})
		}
		now += mergeTime + moment
		c.Assert(x.Tick(now), qt.HasLen, 1)
		return x, now
	}
	all := func(Part, int) bool { return true }
	x, now := suspend()
	v := x.Check(now, []Part{shared, bad}, all)
	c.Assert([]any{v.Admit, v.Part, v.RetryAfter}, qt.DeepEquals, []any{false, bad, suspendTime})
	c.Assert(x.Check(now, []Part{shared}, all).Admit, qt.IsTrue)
	c.Assert(x.TakeUpdate(now, true).Decisions, qt.HasLen, 0)
	c.Assert(x.Whole(now).Decisions, qt.HasLen, 0)
	now += suspendTime
	c.Assert(x.Check(now, []Part{shared, bad}, all).Test, qt.IsTrue)
	c.Assert(x.Check(now, []Part{shared, bad}, all).Admit, qt.IsFalse, qt.Commentf("one request is the test"))
	x.RecordAnswer(now+moment, Server{service, 900}, []Part{shared, bad})
	c.Assert(x.Check(now+moment, []Part{shared, bad}, all).Admit, qt.IsTrue)

	x, now = suspend()
	now += suspendTime
	c.Assert(x.Check(now, []Part{shared, bad}, all).Test, qt.IsTrue)
	x.RecordCrash(now+moment, Server{service, 901}, []Part{shared, bad})
	c.Assert(x.Check(now+2*moment, []Part{shared, bad}, all).RetryAfter > suspendTime, qt.IsTrue)
	c.Assert(x.TakeUpdate(now+2*moment, true).Decisions, qt.HasLen, 1)
}

// Guards against blame on a part that only stands beside a bad one, before or after it, and that is also sent alone.
func TestPartBesideBadOne(t *testing.T) {
	for seed := range int64(10) {
		c := qt.New(t)
		f := newFleet(6, 21, seed)
		const beside = Part(2000)
		f.parts = func(r *rand.Rand) []Part {
			parts := []Part{shared, Part(10 + r.Intn(docs))}
			switch x := r.Float64(); {
			case x < 0.03:
				return append(parts, bad, beside)
			case x < 0.06:
				return append(parts, beside)
			}
			return parts
		}
		f.badRate = 0.02
		f.run(28 * second)
		c.Check(f.quarantined(), qt.DeepEquals, []Part{bad}, qt.Commentf("seed %d", seed))
	}
}

// Guards against a part that goes on crashing servers because it was answered before.
func TestKnownPartTurnsBad(t *testing.T) {
	for seed := range int64(20) {
		c := qt.New(t)
		f := newFleet(6, 21, seed)
		f.bad = 17
		f.run(20 * second)
		f.badRate = 0.05
		f.run(28 * second)
		c.Check(f.quarantined(), qt.DeepEquals, []Part{17}, qt.Commentf("seed %d", seed))
		c.Check(f.late() <= 3, qt.IsTrue, qt.Commentf("seed %d: %d", seed, f.late()))
		c.Check(f.refused, qt.Equals, 0)
	}
}

// Guards against blame when servers crash together, one after the other, or seem to as connections are reset: on a part
// that all requests share, on one that many share, and on one that has never been answered and waits on several servers.
func TestOtherCrashes(t *testing.T) {
	failures := map[string]func(f *fleet, round int){
		"some": func(f *fleet, _ int) {
			for s := range 7 {
				f.crash(s)
			}
		},
		"all": func(f *fleet, _ int) {
			for s := range f.servers {
				f.crash(s)
			}
		},
		"one": func(f *fleet, round int) { f.crash(round % len(f.servers)) },
		"loop": func(f *fleet, round int) {
			for range 5 * max(0, 1-round) { // servers crash again before they answer
				for s := range f.servers {
					f.crash(s)
				}
				f.run(restart)
				f.send(0, []Part{shared, 4999})
				f.run(50 * time.Millisecond)
			}
		},
		"reset": func(f *fleet, _ int) {
			f.breakOff(func(s stream) bool { return s.host == 0 })
		},
	}
	for name, fail := range failures {
		for seed := range int64(6) {
			f := newFleet(6, 21, seed)
			f.parts = func(r *rand.Rand) []Part {
				parts := []Part{shared, Part(10 + r.Intn(docs))}
				if r.Intn(5) == 0 {
					parts[1] = 5 // a fifth of all requests
				}
				return parts
			}
			f.run(12 * second)
			for round := range 40 {
				if round%8 == 0 { // three requests with a new part
					for range 3 {
						f.send(f.rng.Intn(6), []Part{shared, Part(5000 + round)})
					}
				}
				f.run(50 * time.Millisecond)
				fail(f, round)
				f.run(time.Duration(f.rng.Intn(1500)) * time.Millisecond / step * step)
			}
			qt.Check(t, f.changes, qt.HasLen, 0, qt.Commentf("%s, seed %d", name, seed))
			qt.Check(t, f.refused, qt.Equals, 0)
		}
	}
}

// Guards against blame on a long request that is sent to one server after the other while these are replaced in turn.
func TestRollingReplacement(t *testing.T) {
	c := qt.New(t)
	f := newFleet(6, 21, 1)
	f.run(12 * second)
	for round := range 10 {
		parts := []Part{shared, 5000}
		f.streams = append(f.streams, stream{host: 0, server: 2 * round, parts: parts, at: f.now + 20*second})
		f.run(100 * time.Millisecond)
		f.crash(2*round + 1)
		f.run(100 * time.Millisecond)
		f.crash(2 * round)
	}
	c.Assert(f.changes, qt.HasLen, 0)
}

// Guards against blame on too little evidence: each case lacks one condition. While next to nothing is answered, the part may
// only be suspended.
func TestEvidenceThatDoesNotSuffice(t *testing.T) {
	other, with := []Part{shared}, []Part{shared, bad}
	type event struct {
		crashed, answered []Part
		beside            int // servers that crash at the same moment without the part
		times             int
	}
	cases := map[string][]event{
		"nothing is answered since":       {{answered: other, times: 20}, {crashed: with, times: 8}},
		"little is answered":              {{crashed: with, times: 8}, {answered: other, times: 7}},
		"answered after the crashes":      {{crashed: with, answered: other, times: minMoments - 1}, {answered: with, times: 1}, {crashed: with, answered: other, times: provenMoments - 1}, {answered: other, times: 40}},
		"answered before, four crashes":   {{answered: with, times: 1}, {crashed: with, answered: other, times: provenMoments - 1}, {answered: other, times: 40}},
		"two crashes":                     {{crashed: with, answered: other, times: minMoments - 1}, {answered: other, times: 40}},
		"more servers crash without it":   {{crashed: with, answered: other, beside: 2, times: 8}, {answered: other, times: 40}},
		"no answers between, known parts": {{answered: with, times: 1}, {crashed: with, times: 8}, {answered: other, times: 40}},
	}
	suspended := map[string]int{}
	for name, events := range cases {
		x, now, l := NewTable(-learnTime, Config{}), 2*second, Lifetime(1000)
		for _, e := range events {
			for range e.times {
				now += 2 * moment
				if e.crashed != nil {
					x.RecordCrash(now, Server{service, l}, e.crashed)
				}
				for i := range e.beside {
					x.RecordCrash(now, Server{service, l + 1 + Lifetime(i)}, other)
				}
				if e.answered != nil {
					x.RecordAnswer(now+1, Server{service, 1}, e.answered)
				}
				l += 10
				for _, change := range x.Tick(now + moment) {
					qt.Check(t, change.Kind, qt.Equals, Suspended, qt.Commentf("%s", name))
					qt.Check(t, change.Part, qt.Equals, bad, qt.Commentf("%s", name))
					suspended[name]++
				}
			}
		}
	}
	qt.Check(t, suspended, qt.DeepEquals, map[string]int{"nothing is answered since": 1, "little is answered": 1})
}

// Guards against blame after connections were reset to servers that go on answering, and against such a reset hiding that
// the same servers crash later.
func TestAnswerOfServerRefutesItsCrash(t *testing.T) {
	c := qt.New(t)
	x, now := NewTable(0, Config{}), 2*second
	for _, crashes := range []bool{false, true} {
		var changes []Change
		for l := range Lifetime(10) {
			x.RecordCrash(now, Server{service, l}, []Part{shared, bad})
			now += mergeTime * 3 / 4
			changes = append(changes, x.Tick(now)...)
			if !crashes {
				x.RecordAnswer(now, Server{service, l}, []Part{shared})
			}
			x.RecordAnswer(now, Server{service, 100}, []Part{shared})
		}
		c.Assert(len(changes) > 0, qt.Equals, crashes)
	}
}

// Guards against blame on a part that servers answer to requests of other hosts only.
func TestAnswersOfPeersRefute(t *testing.T) {
	c := qt.New(t)
	a, b, now := NewTable(0, Config{}), NewTable(0, Config{}), 2*second
	for i := range 40 {
		now += 250 * time.Millisecond
		a.RecordCrash(now, Server{service, Lifetime(i)}, []Part{bad})
		a.RecordAnswer(now, Server{service, 100}, []Part{shared})
		b.RecordAnswer(now+50*time.Millisecond, Server{service, 100}, []Part{bad})
		b.Apply(now+60*time.Millisecond, a.TakeUpdate(now+60*time.Millisecond, true))
		a.Apply(now+61*time.Millisecond, b.TakeUpdate(now+61*time.Millisecond, true))
		c.Assert(a.Tick(now+mergeTime), qt.HasLen, 0)
	}
}

// series makes a table quarantine the bad part at about now.
func series(t *Table, now time.Duration) time.Duration {
	for i := range 30 {
		t.RecordAnswer(now+time.Duration(i), Server{service, 1}, []Part{shared})
	}
	for range provenMoments {
		now += 2 * moment
		t.RecordAnswer(now+1, Server{service, 1}, []Part{shared})
		t.RecordCrash(now, Server{service, Lifetime(now)}, []Part{shared, bad})
	}
	now += quietTime
	t.Tick(now)
	return now
}

func always(Part, int) bool { return true }

func refuses(t *Table, now time.Duration) bool {
	return !t.Check(now, []Part{shared, bad}, func(Part, int) bool { return false }).Admit
}

// Guards against tests by several requests or hosts, tests that never come, quarantines that never end, and older
// decisions that win over newer ones.
func TestReleaseRenewalLapse(t *testing.T) {
	c := qt.New(t)
	a, b, old := NewTable(0, Config{}), NewTable(0, Config{}), NewTable(0, Config{})
	now := series(a, second)
	first := a.TakeUpdate(now, true)
	b.Apply(now, first)
	old.Apply(now, first)
	c.Assert(refuses(a, now) && refuses(b, now), qt.IsTrue)
	early := a.Check(now+second, []Part{bad}, always)
	c.Assert(early, qt.Equals, Verdict{Part: bad, RetryAfter: FirstHold - second})

	now += FirstHold
	c.Assert(refuses(b, now), qt.IsTrue)
	test := a.Check(now, []Part{shared, bad}, always)
	c.Assert(test, qt.Equals, Verdict{Admit: true, Part: bad, Test: true})
	c.Assert(a.Check(now, []Part{bad}, always).Admit, qt.IsFalse)
	a.EndTest([]Part{bad})
	c.Assert(a.Check(now, []Part{bad}, always).Test, qt.IsTrue)
	now += second
	a.RecordCrash(now, Server{service, 99}, []Part{shared, bad})
	b.Apply(now, a.TakeUpdate(now, true))
	b.Apply(now, old.Whole(now))
	c.Assert(b.Check(now, []Part{bad}, always).RetryAfter, qt.Equals, 2*FirstHold)

	now += 2 * FirstHold
	c.Assert(a.Check(now, []Part{bad}, always).Test, qt.IsTrue)
	a.RecordAnswer(now, Server{service, 1}, []Part{bad})
	b.Apply(now, a.TakeUpdate(now, true))
	b.Apply(now, old.Whole(now))
	c.Assert(refuses(a, now) || refuses(b, now), qt.IsFalse)

	lapsing := NewTable(0, Config{})
	lapsing.Apply(second, Update{Decisions: []Decision{{Part: bad, Strikes: 1}}})
	lapsing.Tick(second + 2*FirstHold - 1)
	c.Assert(refuses(lapsing, second+2*FirstHold-1), qt.IsTrue)
	lapsing.Tick(second + 2*FirstHold + 1)
	c.Assert(refuses(lapsing, second+2*FirstHold+1), qt.IsTrue) // it has refused a request meanwhile
	c.Assert(lapsing.TakeUpdate(second+2*FirstHold+1, true).Decisions, qt.HasLen, 0)
	lapsing.Tick(second + 4*FirstHold)
	c.Assert(refuses(lapsing, second+4*FirstHold), qt.IsFalse)
	c.Assert(lapsing.entries, qt.HasLen, 0)
	lapsing.Apply(second+4*FirstHold, Update{Decisions: []Decision{{Part: bad, Strikes: 1, Age: 2 * FirstHold}}})
	c.Assert(refuses(lapsing, second+4*FirstHold), qt.IsFalse)
}

// Guards against requests with two quarantined parts that no host may test, as a different host ranks first for each.
func TestTwoPartsAreTestedTogether(t *testing.T) {
	c := qt.New(t)
	for _, mine := range []Part{1, 2} {
		x := NewTable(0, Config{})
		x.Apply(0, Update{Decisions: []Decision{{Part: 1, Strikes: 1}, {Part: 2, Strikes: 1}}})
		v := x.Check(FirstHold, []Part{2, 1}, func(p Part, _ int) bool { return p == mine })
		c.Check(v.Test, qt.Equals, mine == 1)
	}
}

// Guards against a host that serves a bad part after its start, one that blames a part because it has forgotten its
// answers, and evidence that is lost with the host that had it.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	a := NewTable(0, Config{})
	now := series(a, second)
	started := NewTable(now-1, Config{})
	started.Apply(now, a.Whole(now))
	c.Assert(refuses(started, now), qt.IsTrue)

	for i := range 2 * provenMoments {
		at := now + time.Duration(i)*2*moment
		started.RecordAnswer(at, Server{service, 1}, []Part{shared})
		started.RecordCrash(at, Server{service, Lifetime(1000 + i)}, []Part{shared, 17})
	}
	c.Assert(started.Tick(now+second), qt.HasLen, 1) // the one that it has learned

	f := newFleet(6, 21, 3)
	f.run(5 * second)
	f.badRate = 0.05
	f.run(5 * second)
	for i := range 4 {
		f.hosts[i] = NewTable(f.now, Config{})
		f.hosts[i].Apply(f.now, f.hosts[5].Whole(f.now))
	}
	f.run(20 * second)
	c.Assert(f.quarantined(), qt.DeepEquals, []Part{bad})
	c.Assert(f.late(), qt.Equals, 0)
}

// Guards against made-up parts that fill tables without bound, lift a quarantine, or displace the evidence on a bad part.
func TestFlood(t *testing.T) {
	c := qt.New(t)
	x := NewTable(0, Config{})
	now := series(x, second)
	next := Part(1 << 20)
	fresh := func(n int) (out []Part) {
		for range n {
			next++
			out = append(out, next)
		}
		return out
	}
	const other = Part(3000)
	for i := range 1000 {
		now += 2 * moment
		x.RecordAnswer(now, Server{service, 1}, fresh(100))
		x.RecordCrash(now, Server{service, Lifetime(10_000 + i%700)}, fresh(40))
		x.Tick(now)
		if u := x.TakeUpdate(now, true); u.Bytes() > MaxUpdateBytes {
			c.Fatalf("update of %d bytes", u.Bytes())
		}
		if i == 400 {
			c.Assert(refuses(x, now), qt.IsTrue)
		}
	}
	c.Assert(x.records, qt.HasLen, maxRecords)
	c.Assert(len(x.answers.current) <= maxAnswered+maxRequestParts, qt.IsTrue)
	c.Assert(len(x.entries) <= maxEntries, qt.IsTrue)
	c.Assert(len(x.told) <= maxRecords*maxSuspects, qt.IsTrue)
	now += recordTTL
	x.Tick(now)
	for i := range 30 {
		now += 2 * moment
		x.RecordAnswer(now, Server{service, 1}, fresh(3))
		x.RecordCrash(now, Server{service, Lifetime(100_000 + i)}, append(fresh(3), other))
		x.RecordCrash(now, Server{service, Lifetime(100_000 + i)}, fresh(1000))
	}
	x.Tick(now + second)
	c.Assert(x.quarantined(other), qt.IsNotNil)
}

// Guards against hosts that miss a decision for good as all reports that carried it at first were lost.
func TestDecisionsAreRepeated(t *testing.T) {
	c := qt.New(t)
	a, b := NewTable(0, Config{}), NewTable(0, Config{})
	now := series(a, second)
	carried := 0
	for range 6 * decisionRounds {
		now += 250 * time.Millisecond
		if u := a.TakeUpdate(now, true); len(u.Decisions) > 0 {
			if carried++; carried > decisionRounds {
				b.Apply(now, u)
			}
		}
	}
	c.Assert(refuses(b, now), qt.IsTrue)
	c.Assert(carried <= 3*decisionRounds, qt.IsTrue)
}

// Guards against reports on changes, which near peers get, that carry an item again and again or use up the reports that
// far peers get too.
func TestReportsOnChangesCarryItemsOnce(t *testing.T) {
	c := qt.New(t)
	x := NewTable(0, Config{})
	now := series(x, second)
	c.Assert(x.Urgent(now), qt.IsTrue)
	c.Assert(x.TakeUpdate(now, false).Decisions, qt.HasLen, 1)
	c.Assert(x.Urgent(now), qt.IsFalse)
	c.Assert(x.TakeUpdate(now, false).Empty(), qt.IsTrue)
	for range decisionRounds {
		c.Assert(x.TakeUpdate(now, true).Decisions, qt.HasLen, 1)
	}
}

// Guards against a full table that drops a quarantine for another.
func TestQuarantinesKeepTheirPlace(t *testing.T) {
	c := qt.New(t)
	x := NewTable(0, Config{})
	for p := range Part(2 * maxEntries) {
		x.Apply(second, Update{Decisions: []Decision{{Part: p, Strikes: 1}}})
	}
	c.Assert(x.entries, qt.HasLen, maxEntries)
	c.Assert(x.quarantined(0), qt.IsNotNil)
}

// Guards against hosts that disagree for good because they heard the same in different order or more than once.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Map(rapid.IntRange(0, 5000), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
		part := rapid.Map(rapid.IntRange(1, 60), func(i int) Part { return Part(i) })
		suspect := rapid.Custom(func(t *rapid.T) Suspect {
			return Suspect{part.Draw(t, "part"), uint8(rapid.IntRange(0, 3).Draw(t, "depth"))}
		})
		update := rapid.Custom(func(t *rapid.T) Update {
			crash := rapid.Custom(func(t *rapid.T) Crash {
				return Crash{Server{service, Lifetime(rapid.IntRange(1, 4).Draw(t, "server"))}, age.Draw(t, "age"),
					rapid.SliceOfN(suspect, 0, 20).Draw(t, "suspects"), rapid.IntRange(0, 9).Draw(t, "refuted") == 0}
			})
			answer := rapid.Custom(func(t *rapid.T) Answer { return Answer{part.Draw(t, "part"), age.Draw(t, "age")} })
			decision := rapid.Custom(func(t *rapid.T) Decision {
				return Decision{part.Draw(t, "part"), rapid.IntRange(1, 3).Draw(t, "strikes"), age.Draw(t, "age"), rapid.Bool().Draw(t, "released")}
			})
			return Update{rapid.SliceOfN(crash, 0, 3).Draw(t, "crashes"), rapid.SliceOfN(answer, 0, 3).Draw(t, "answers"),
				rapid.SliceOfN(decision, 0, 3).Draw(t, "decisions")}
		})
		updates := rapid.SliceOfN(update, 1, 8).Draw(t, "updates")
		shuffled := rapid.Permutation(append(slices.Clone(updates), updates...)).Draw(t, "shuffled")
		a, b := NewTable(0, Config{}), NewTable(0, Config{})
		for _, u := range updates {
			a.Apply(10*second, u)
		}
		for _, u := range shuffled {
			b.Apply(10*second, u)
		}
		if x, y := stateOf(a), stateOf(b); x != y {
			t.Fatalf("in order:\n%s\nshuffled:\n%s", x, y)
		}
	})
}

func stateOf(t *Table) (out string) {
	for l := range Lifetime(5) {
		if r := t.records[l]; r != nil {
			out += fmt.Sprintln("crash", l, r.at, r.refuted, r.suspects)
		}
	}
	for p := range Part(61) {
		at, known := t.answers.last(p)
		out += fmt.Sprint(at, known, " ")
	}
	for _, e := range t.sortedEntries() {
		out += fmt.Sprintln("decision", e.part, e.strikes, e.released, e.at)
	}
	return out
}

// Guards against updates that do not fit a datagram, and against parts of records that a full update leaves out for good.
func TestUpdatesAreBounded(t *testing.T) {
	c := qt.New(t)
	x, peer := NewTable(0, Config{}), NewTable(0, Config{})
	now := second
	for i := range 20 {
		var parts []Part
		for j := range 60 {
			parts = append(parts, Part(100*i+j+1))
		}
		x.RecordAnswer(now-1, Server{service, 1}, parts)
		for range 4 {
			x.RecordCrash(now, Server{service, Lifetime(i + 10)}, parts)
		}
	}
	c.Assert(x.Whole(now).Bytes() <= MaxUpdateBytes, qt.IsTrue)
	for range 150 {
		u := x.TakeUpdate(now, true)
		c.Assert(u.Bytes() <= MaxUpdateBytes, qt.IsTrue)
		peer.Apply(now, u)
	}
	c.Assert(x.TakeUpdate(now, true).Empty(), qt.IsTrue)
	c.Assert(peer.records, qt.HasLen, 20)
}

// BenchmarkCheck measures the check of a request while other parts are quarantined.
func BenchmarkCheck(b *testing.B) {
	x := NewTable(0, Config{})
	for p := range Part(maxEntries) {
		x.Apply(second, Update{Decisions: []Decision{{Part: p, Strikes: 1}}})
	}
	parts := []Part{5000, 5001, 5002, 5003}
	for b.Loop() {
		x.Check(2*second, parts, always)
	}
}
