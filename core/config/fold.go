package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// MaxValueBytes is the largest body that the platform publishes in one value.
const MaxValueBytes = 1 << 20

// Result says what became of an entry.
type Result uint8

// Results.
const (
	Accepted Result = iota // its number is the accepted version now
	Rejected               // judged against its base and the checks, for good
	Waiting                // a snapshot part; the snapshot is judged with its last part
	Known                  // judged before
	Missing                // entries before it are missing: ask for the log after Cursor
	Conflict               // the same number was judged with another content: raise an alarm
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"accepted", "rejected", "waiting", "known", "missing", "conflict"}[r]
}

// Verdict is the result of one entry with its reason.
type Verdict struct {
	Number   uint64
	Result   Result
	Reason   string
	Problems Problems // mistakes of a rejected body
}

// Fold is the accepted configuration together with the log that led to it. Entry numbers are taken to
// rise by one (assumption); the parts of a snapshot have consecutive numbers or share one, and one
// answer of a source must have room for all of them. The accepted version never falls. Fold isn't safe for concurrent use; a Config is.
type Fold struct {
	doc     *document
	version ident.Version
	cursor  uint64 // every entry up to it was judged
	parts   []platformapi.Entry
	jump    bool // the held parts follow a gap in the log
	log     journal
	history history
}

// NewFold returns a fold that holds nothing.
func NewFold() *Fold { return &Fold{doc: newDocument()} }

// Version returns the accepted version; zero means that nothing is accepted yet.
func (f *Fold) Version() ident.Version { return f.version }

// Digest returns the digest of the accepted version.
func (f *Fold) Digest() Digest { return f.doc.digest }

// Cursor returns the number after which the fold wants entries.
func (f *Fold) Cursor() uint64 { return f.cursor }

// Config returns the accepted configuration, or nil when nothing is accepted yet.
func (f *Fold) Config() *Config {
	if f.version == 0 {
		return nil
	}
	return f.doc.config(f.version)
}

// Apply judges an answer of the platform or a peer: the log after the number that the source was asked
// for, without holes, up to the answer's limit. It stops at Missing and Conflict.
func (f *Fold) Apply(after uint64, entries []platformapi.Entry) []Verdict {
	if after > f.cursor && len(entries) > 0 {
		return []Verdict{f.missing(entries[0])}
	}
	// The cursor stays before a snapshot that isn't whole, so each answer has all of its parts again.
	// Parts of an earlier answer say nothing about the log of this one, which may be compacted.
	f.parts = nil
	out := make([]Verdict, 0, len(entries))
	previous := after
	for _, e := range entries {
		v := f.judge(previous, e)
		out = append(out, v)
		if v.Result == Missing || v.Result == Conflict {
			break
		}
		previous = max(previous, e.Number)
	}
	return out
}

func (f *Fold) judge(previous uint64, e platformapi.Entry) Verdict {
	if e.Number == 0 {
		return Verdict{Result: Missing, Reason: "an entry without a number"}
	}
	if e.Number <= f.cursor {
		return f.compare(e)
	}
	if len(f.parts) > 0 && !f.continues(e) {
		f.abandon(e)
	}
	// A hole in the answer shows that its source compacted the log, whatever this process judged before.
	gap := e.Number > previous+1
	if e.Number > max(previous, f.cursor)+1 && e.Kind != platformapi.KindSnapshot {
		return f.missing(e)
	}
	if e.Kind == platformapi.KindSnapshot && e.Parts > 1 {
		return f.part(e, gap)
	}
	return f.conclude(e, []platformapi.Entry{e}, gap)
}

func (f *Fold) missing(e platformapi.Entry) Verdict {
	return Verdict{Number: e.Number, Result: Missing, Reason: fmt.Sprintf("the log between %d and %d is missing", f.cursor, e.Number)}
}

// abandon gives up a snapshot whose next part is not e. When e follows the held parts in the log, the
// snapshot can't become whole and its parts are judged; when e is a first part read again, they aren't.
func (f *Fold) abandon(e platformapi.Entry) {
	last := f.parts[len(f.parts)-1]
	if e.Number == last.Number+1 && !f.jump {
		f.reject(last, f.parts, "", nil)
	}
	f.parts = nil
}

// continues reports whether e is the next part of the held snapshot.
func (f *Fold) continues(e platformapi.Entry) bool {
	if len(f.parts) == 0 || e.Kind != platformapi.KindSnapshot {
		return false
	}
	last := f.parts[len(f.parts)-1]
	return e.Part == last.Part+1 && e.Parts == last.Parts && e.Base == last.Base &&
		(e.Number == last.Number || e.Number == last.Number+1)
}

// part collects the parts of a snapshot. The cursor stays before a first part, because the other parts
// may share its number.
func (f *Fold) part(e platformapi.Entry, gap bool) Verdict {
	switch {
	case e.Part == 1:
		f.parts = []platformapi.Entry{e}
		f.jump = gap
	case f.continues(e):
		f.parts = append(f.parts, e)
	case gap:
		return f.missing(e)
	default:
		return f.reject(e, []platformapi.Entry{e}, fmt.Sprintf("snapshot part %d of %d does not follow the part before it", e.Part, e.Parts), nil)
	}
	if e.Part < e.Parts {
		return Verdict{Number: e.Number, Result: Waiting, Reason: fmt.Sprintf("snapshot part %d of %d", e.Part, e.Parts)}
	}
	parts := f.parts
	f.parts = nil
	return f.conclude(e, parts, f.jump)
}

// conclude judges a whole entry. A snapshot behind a gap stands for a log that its source compacted,
// which happens only to accepted snapshots, so its base isn't compared.
func (f *Fold) conclude(e platformapi.Entry, whole []platformapi.Entry, gap bool) Verdict {
	start := f.cursor == 0 && e.Kind == platformapi.KindSnapshot
	if !gap && !start && e.Base != uint64(f.version) {
		return f.reject(e, whole, f.lostReason(e), nil)
	}
	if ps := f.accept(whole); len(ps) > 0 {
		if gap {
			return Verdict{Number: e.Number, Result: Conflict, Reason: "the snapshot at the start of the log has mistakes", Problems: ps}
		}
		return f.reject(e, whole, "the configuration has mistakes", ps)
	}
	if gap {
		f.log.reset()
	}
	f.version = ident.Version(e.Number)
	f.cursor = e.Number
	f.log.append(whole, true, f.version)
	f.history.add(f.version, f.doc.digest)
	return Verdict{Number: e.Number, Result: Accepted}
}

func (f *Fold) lostReason(e platformapi.Entry) string {
	if e.Base < uint64(f.version) {
		return fmt.Sprintf("base %d is not the accepted version %d: another change was published first", e.Base, f.version)
	}
	return fmt.Sprintf("base %d was never accepted; the accepted version is %d", e.Base, f.version)
}

func (f *Fold) reject(e platformapi.Entry, whole []platformapi.Entry, reason string, ps Problems) Verdict {
	f.cursor = e.Number
	f.log.append(whole, false, f.version)
	return Verdict{Number: e.Number, Result: Rejected, Reason: reason, Problems: ps}
}

// accept applies a patch to the document, or replaces the document by a snapshot.
func (f *Fold) accept(whole []platformapi.Entry) Problems {
	doc, ps := f.check(whole, true)
	if len(ps) == 0 {
		f.doc = doc
	}
	return ps
}

// check returns the document after an entry, or the mistakes of it. keep tells whether a patch may
// change the current document.
func (f *Fold) check(whole []platformapi.Entry, keep bool) (*document, Problems) {
	var ps Problems
	for _, e := range whole {
		if len(e.Body) > MaxValueBytes {
			ps.add("", fmt.Sprintf("%d bytes", len(e.Body)), fmt.Sprintf("at most %d bytes in one value", MaxValueBytes))
		}
	}
	if len(ps) > 0 {
		return nil, ps
	}
	switch whole[0].Kind {
	case platformapi.KindPatch:
		return f.doc, f.doc.patch(whole[0].Body, keep)
	case platformapi.KindSnapshot:
		return snapshot(whole)
	}
	ps.add("", quote(whole[0].Kind), "an entry of kind snapshot or patch")
	return nil, ps
}

// snapshot reads a document from the parts of a snapshot. Each part is an object with some of the
// members; a member doesn't span parts.
func snapshot(parts []platformapi.Entry) (*document, Problems) {
	bodies := make([]json.RawMessage, len(parts))
	for i, p := range parts {
		bodies[i] = p.Body
	}
	body, ps := join(bodies)
	if len(ps) > 0 {
		return nil, ps
	}
	doc := newDocument()
	return doc, doc.patch(body, true)
}

// Check judges a proposal as if it were the next entry, with the function that judges entries. It
// changes nothing.
func (f *Fold) Check(kind string, base uint64, body json.RawMessage) Verdict {
	e := platformapi.Entry{Number: f.cursor + 1, Kind: kind, Base: base, Body: body}
	if base != uint64(f.version) {
		return Verdict{Number: e.Number, Result: Rejected, Reason: f.lostReason(e)}
	}
	if _, ps := f.check([]platformapi.Entry{e}, false); len(ps) > 0 {
		return Verdict{Number: e.Number, Result: Rejected, Reason: "the configuration has mistakes", Problems: ps}
	}
	return Verdict{Number: e.Number, Result: Accepted}
}

// compare handles an entry whose number was judged before: the version never falls, and another
// content under the same number is refused.
func (f *Fold) compare(e platformapi.Entry) Verdict {
	v := Verdict{Number: e.Number, Result: Known}
	held, ok := f.log.find(e)
	switch {
	case e.Kind == platformapi.KindSnapshot && e.Parts <= 1:
		// A peer or the platform may serve a snapshot in place of the entry that led to the version.
		d, judged := f.history.digest(ident.Version(e.Number))
		doc, ps := snapshot([]platformapi.Entry{e})
		if judged && (len(ps) > 0 || doc.digest != d) {
			v.Result = Conflict
		}
	case ok && e.Kind == platformapi.KindPatch && held.Kind == platformapi.KindPatch:
		if held.Base != e.Base || !sameJSON(held.Body, e.Body) {
			v.Result = Conflict
		}
	}
	if v.Result == Conflict {
		v.Reason = fmt.Sprintf("entry %d was judged with another content; keeping version %d", e.Number, f.version)
	}
	return v
}

// sameJSON compares two values regardless of space and order of keys.
func sameJSON(a, b json.RawMessage) bool {
	return bytes.Equal(a, b) || bytes.Equal(canonical(a), canonical(b))
}

func canonical(raw json.RawMessage) []byte {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return raw
	}
	return mustMarshal(v)
}
