package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"pgregory.net/rapid"
)

// process is one process with a Fold. Its version must not fall below lastVersion, that of the last check.
type process struct {
	fold        *Fold
	paused      bool
	lastVersion ident.Version
}

// simulation holds real Folds, the platform's log, and responses in transit that arrive late or never.
type simulation struct {
	*rapid.T
	log       []platformapi.Entry // as the platform serves it, compacted or not
	head      uint64
	reference *Fold // reads every entry as soon as it is published
	verdicts  map[uint64]Result
	processes []*process
	inTransit []func()
}

const start = `{"models":{"m":{"version":"1","max_prompt_tokens":100}},"teams":{"a":{"rate_per_s":1,"tokens_per_s":1,"models":["m"]}},` +
	`"backend_servers":{"e":{"kind":"engine","address":"10.0.0.1:1","availability_zone":"z","group":"g","model":"m","memory_tokens":100}}}`

// patches contains valid changes, changes that are only valid after others, and mistakes.
var patches = []string{
	`{"teams":{"a":{"rate_per_s":2}}}`, `{"teams":{"a":{"rate_per_s":3}}}`, `{"teams":{"b":{"rate_per_s":1,"tokens_per_s":5,"models":["n"]}}}`,
	`{"teams":{"a":null}}`, `{"teams":null}`, `{"models":{"n":{"version":"1","max_prompt_tokens":9}}}`, `{"models":{"n":null}}`,
	`{"models":{"m":{"max_prompt_tokens":150}}}`, `{"backend_servers":{"e":{"memory_tokens":200}}}`, `{"backend_servers":{"e":{"memory_tokens":90}}}`,
	`{"teams":{"a":{"rate_per_s":-1}}}`, `{"team":{}}`, `[]`, `{"policy":{"name":"predict"}}`, `{"policy":null}`, `{`,
}

func (w *simulation) publish(kind string, base uint64, parts ...string) {
	shared := rapid.Bool().Draw(w.T, "shared number")
	for i, body := range parts {
		if i == 0 || !shared {
			w.head++
		}
		e := platformapi.Entry{Number: w.head, Kind: kind, Base: base, Body: json.RawMessage(body)}
		if len(parts) > 1 {
			e.Part, e.Parts = i+1, len(parts)
		}
		w.append(e)
	}
}

func (w *simulation) append(e platformapi.Entry) {
	w.log = append(w.log, e)
	before, empty := w.reference.Version(), w.reference.Cursor() == 0
	w.recordVerdicts(w.reference.Apply(w.reference.Cursor(), w.read(w.reference.Cursor(), len(w.log), len(w.log))))
	if w.reference.Version() != before && e.Base != uint64(before) && !empty {
		w.Fatalf("entry %d with base %d was accepted on version %d", e.Number, e.Base, before)
	}
}

// recordVerdicts fails the test if two processes disagree on whether an entry is accepted.
func (w *simulation) recordVerdicts(vs []Verdict) {
	for _, v := range vs {
		switch v.Result {
		case Conflict:
			w.Fatalf("conflict without a second log: %+v", v)
		case Accepted, Rejected:
			if was, ok := w.verdicts[v.Number]; ok && was != v.Result {
				w.Fatalf("entry %d was %s and %s", v.Number, was, v.Result)
			}
			w.verdicts[v.Number] = v.Result
		}
	}
}

func (w *simulation) pick() *process {
	p := rapid.SampledFrom(w.processes).Draw(w.T, "process")
	if p.paused {
		w.Skip("paused")
	}
	return p
}

// read returns entries from a replica of the platform that holds the first upTo entries of the log.
func (w *simulation) read(after uint64, limit, upTo int) []platformapi.Entry {
	var out []platformapi.Entry
	for _, e := range w.log[:upTo] {
		if e.Number > after && len(out) < limit {
			out = append(out, e)
		}
	}
	return out
}

// deliver passes a response to a process now, or later and possibly more than once.
func (w *simulation) deliver(p *process, after uint64, entries []platformapi.Entry) {
	run := func() {
		if !p.paused {
			w.recordVerdicts(p.fold.Apply(after, entries))
		}
	}
	if rapid.IntRange(0, 2).Draw(w.T, "late") == 0 {
		w.inTransit = append(w.inTransit, run)
		return
	}
	run()
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	draw := func(lo, hi int, what string) int { return rapid.IntRange(lo, hi).Draw(w.T, what) }
	readPlatform := func(*rapid.T) {
		p := w.pick()
		after := p.fold.Cursor()
		w.deliver(p, after, w.read(after, draw(4, 9, "limit"), draw(0, len(w.log), "replica")))
	}
	return map[string]func(*rapid.T){
		"operator": func(*rapid.T) { // with the base of any process, so that operators race
			base := uint64(w.pick().fold.Version())
			if draw(0, 9, "wrong base") == 0 {
				base = uint64(draw(0, int(w.head)+2, "base"))
			}
			w.publish(platformapi.KindPatch, base, rapid.SampledFrom(patches).Draw(w.T, "patch"))
		},
		"snapshot": func(*rapid.T) {
			base := uint64(w.pick().fold.Version())
			w.publish(platformapi.KindSnapshot, base, rapid.SampledFrom([][]string{{start}, {start, patches[5]}, {patches[0]}, {`{}`, start}}).Draw(w.T, "parts")...)
		},
		"lone part": func(*rapid.T) {
			w.head++
			w.append(platformapi.Entry{Number: w.head, Kind: platformapi.KindSnapshot, Base: uint64(w.reference.Version()), Part: draw(1, 2, "part"), Parts: 2, Body: json.RawMessage(start)})
		},
		"compact": func(*rapid.T) {
			if draw(0, 3, "rare") > 0 || w.reference.Version() == 0 {
				w.Skip("rare")
			}
			v := uint64(w.reference.Version())
			rest := w.read(v, len(w.log), len(w.log))
			base := w.read(v-1, 1, len(w.log))[0].Base // the snapshot replaces entry v
			w.log = append([]platformapi.Entry{{Number: v, Kind: platformapi.KindSnapshot, Base: base, Body: w.reference.Body()}}, rest...)
		},
		"read":       readPlatform,
		"read again": readPlatform,
		"read peer": func(*rapid.T) {
			p, q := w.pick(), w.pick()
			after := p.fold.Cursor()
			w.deliver(p, after, q.fold.Since(after, draw(4, 9, "limit")).Entries)
		},
		"old question": func(*rapid.T) {
			p := w.pick()
			after := uint64(draw(0, int(p.fold.Cursor()), "after"))
			w.deliver(p, after, w.read(after, 50, len(w.log)))
		},
		"arrives late": func(*rapid.T) {
			if len(w.inTransit) == 0 {
				w.Skip("no answer")
			}
			w.inTransit[draw(0, len(w.inTransit)-1, "answer")]()
		},
		"check proposal": func(*rapid.T) {
			p := w.pick()
			before := p.fold.Digest()
			v := p.fold.Check(platformapi.KindPatch, uint64(p.fold.Version()), json.RawMessage(rapid.SampledFrom(patches).Draw(w.T, "patch")))
			if p.fold.Digest() != before || v.Result > Rejected {
				w.Fatalf("a check changed the configuration or returned %s", v.Result)
			}
		},
		"pause":   func(*rapid.T) { w.pick().paused = true },
		"resume":  func(*rapid.T) { rapid.SampledFrom(w.processes).Draw(w.T, "process").paused = false },
		"restart": func(*rapid.T) { *w.pick() = process{fold: NewFold()} },
		"":        func(*rapid.T) { w.check() },
	}
}

func (w *simulation) check() {
	for i, p := range w.processes {
		v := p.fold.Version()
		if v < p.lastVersion {
			w.Fatalf("process %d fell from version %d to %d", i, p.lastVersion, v)
		}
		p.lastVersion = v
		if w.reference.Compare(v, p.fold.Digest()) != Same && v > 0 {
			w.Fatalf("process %d holds version %d with other content, or one that was rejected", i, v)
		}
		if v == 0 {
			continue
		}
		c, ps := Parse(p.fold.Body())
		if len(ps) > 0 || c.Digest != p.fold.Digest() || p.fold.Config().Digest != c.Digest || p.fold.Config().Version != v {
			w.Fatalf("process %d holds a configuration that is not valid or does not match its digest: %v", i, ps)
		}
	}
}

// TestOneHistory guards against versions that decrease, versions with two contents, entries that one
// process accepts and another rejects, and processes that can't catch up. It runs random sequences with
// stale replicas, late responses, compaction, racing operators, mistakes, partitions, pauses and restarts.
func TestOneHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{T: t, reference: NewFold(), verdicts: map[uint64]Result{}}
		for range 3 {
			w.processes = append(w.processes, &process{fold: NewFold()})
		}
		t.Repeat(w.actions())
		for i, p := range w.processes {
			for range len(w.log) + 1 {
				w.recordVerdicts(p.fold.Apply(p.fold.Cursor(), w.read(p.fold.Cursor(), 4, len(w.log))))
			}
			if p.fold.Version() != w.reference.Version() || p.fold.Cursor() != w.reference.Cursor() {
				t.Fatalf("process %d stays at %d of %d after the partition", i, p.fold.Cursor(), w.reference.Cursor())
			}
		}
		w.check()
	})
}

// TestRewrittenLog guards against following a platform that serves other content under a known number,
// such as one that was restored from a backup.
func TestRewrittenLog(t *testing.T) {
	entries := func(patch string) []platformapi.Entry {
		return []platformapi.Entry{{Number: 1, Kind: platformapi.KindSnapshot, Body: json.RawMessage(start)},
			{Number: 2, Base: 1, Kind: platformapi.KindPatch, Body: json.RawMessage(patch)},
			{Number: 3, Base: 2, Kind: platformapi.KindPatch, Body: json.RawMessage(patches[2])}}
	}
	f := NewFold()
	f.Apply(0, entries(patches[0])[:2])
	digest := f.Digest()
	other := NewFold()
	other.Apply(0, entries(patches[1]))
	snapshot := []platformapi.Entry{{Number: 2, Kind: platformapi.KindSnapshot, Body: other.Body()}}
	for name, response := range map[string][]platformapi.Entry{"patch": entries(patches[1]), "snapshot": snapshot} {
		vs := f.Apply(0, response)
		if last := vs[len(vs)-1]; last.Result != Conflict || f.Version() != 2 || f.Digest() != digest {
			t.Errorf("%s: verdicts %v, version %d", name, vs, f.Version())
		}
	}
	if got := f.Compare(2, other.Digest()); got != Differs {
		t.Errorf("Compare with a peer that holds other content under version 2 returned %d", got)
	}
	if vs := f.Apply(0, entries(` { "teams" : {"a":{"rate_per_s":2}}}`)); vs[1].Result != Known {
		t.Errorf("the same patch with other white space: %s", fmt.Sprint(vs))
	}
}
