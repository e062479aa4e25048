package config

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// MaxValueBytes is the size of the largest body that the platform publishes in one value.
const MaxValueBytes = 1 << 20

// Result is the result of applying an entry.
type Result uint8

// Results.
const (
	Accepted Result = iota // its number is now the accepted version
	Rejected               // its base or its content isn't valid; this is final
	Waiting                // a snapshot part; the snapshot is applied when its last part arrives
	Known                  // processed before
	Missing                // entries before it are missing: request the log after Cursor
	Conflict               // an entry with the same number and other content was processed before: raise an alarm
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"accepted", "rejected", "waiting", "known", "missing", "conflict"}[r]
}

// Verdict is the result of applying one entry, with the reason.
type Verdict struct {
	Number   uint64
	Result   Result
	Reason   string
	Problems Problems // mistakes of a rejected body
}

// Fold is a state machine that applies log entries in order. It holds the accepted configuration and the
// newest part of the log. Entry numbers are assumed to increase by one. The parts of a snapshot have
// consecutive numbers or share one, and a single response must have room for all of them. The accepted
// version never decreases. Fold isn't safe for concurrent use; a Config is.
type Fold struct {
	doc      *document
	version  ident.Version
	cursor   uint64 // number of the last processed entry
	parts    []platformapi.Entry
	afterGap bool // parts follow a gap in the log
	log      journal
	history  history
}

// NewFold returns a Fold without a configuration.
func NewFold() *Fold { return &Fold{doc: newDocument()} }

// Version returns the accepted version, or zero if none is accepted yet.
func (f *Fold) Version() ident.Version { return f.version }

// Digest returns the digest of the accepted version.
func (f *Fold) Digest() Digest { return f.doc.digest }

// Cursor returns the number of the last processed entry; the next request asks for entries after it.
func (f *Fold) Cursor() uint64 { return f.cursor }

// Config returns the accepted configuration, or nil if none is accepted yet.
func (f *Fold) Config() *Config {
	if f.version == 0 {
		return nil
	}
	return f.doc.config(f.version)
}

// Apply applies the entries of a response from the platform or a peer: the log after the requested
// number, without gaps, up to the limit of the response. It stops at Missing and Conflict.
func (f *Fold) Apply(after uint64, entries []platformapi.Entry) []Verdict {
	if after > f.cursor && len(entries) > 0 {
		return []Verdict{f.missing(entries[0])}
	}
	// The cursor stays before an incomplete snapshot, so each response contains all of its parts again.
	// Parts of an earlier response can't be combined with this one, whose log may be compacted.
	f.parts = nil
	out := make([]Verdict, 0, len(entries))
	previous := after
	for _, e := range entries {
		v := f.applyEntry(previous, e)
		out = append(out, v)
		if v.Result == Missing || v.Result == Conflict {
			break
		}
		previous = max(previous, e.Number)
	}
	return out
}

func (f *Fold) applyEntry(previous uint64, e platformapi.Entry) Verdict {
	if e.Number == 0 {
		return Verdict{Result: Missing, Reason: "an entry without a number"}
	}
	if e.Number <= f.cursor {
		return f.compareProcessed(e)
	}
	if len(f.parts) > 0 && !f.isNextPart(e) {
		f.dropIncompleteSnapshot(e)
	}
	// A gap in the response shows that its source compacted the log, no matter which entries this process
	// has processed.
	gap := e.Number > previous+1
	if e.Number > max(previous, f.cursor)+1 && e.Kind != platformapi.KindSnapshot {
		return f.missing(e)
	}
	if e.Kind == platformapi.KindSnapshot && e.Parts > 1 {
		return f.addPart(e, gap)
	}
	return f.applyComplete(e, []platformapi.Entry{e}, gap)
}

func (f *Fold) missing(e platformapi.Entry) Verdict {
	return Verdict{Number: e.Number, Result: Missing, Reason: fmt.Sprintf("the log between %d and %d is missing", f.cursor, e.Number)}
}

// dropIncompleteSnapshot drops the collected parts of a snapshot whose next part is not e. If e follows
// them in the log, the snapshot can't become complete, so its parts are rejected. If e is a first part
// that was read again, they aren't.
func (f *Fold) dropIncompleteSnapshot(e platformapi.Entry) {
	last := f.parts[len(f.parts)-1]
	if e.Number == last.Number+1 && !f.afterGap {
		f.reject(last, f.parts, "", nil)
	}
	f.parts = nil
}

// isNextPart reports whether e is the next part of the snapshot that is being collected.
func (f *Fold) isNextPart(e platformapi.Entry) bool {
	if len(f.parts) == 0 || e.Kind != platformapi.KindSnapshot {
		return false
	}
	last := f.parts[len(f.parts)-1]
	return e.Part == last.Part+1 && e.Parts == last.Parts && e.Base == last.Base &&
		(e.Number == last.Number || e.Number == last.Number+1)
}

// addPart collects the parts of a snapshot and applies it with the last one. The cursor stays before the
// first part, because the other parts may share its number.
func (f *Fold) addPart(e platformapi.Entry, gap bool) Verdict {
	switch {
	case e.Part == 1:
		f.parts = []platformapi.Entry{e}
		f.afterGap = gap
	case f.isNextPart(e):
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
	return f.applyComplete(e, parts, f.afterGap)
}

// applyComplete applies a patch or a snapshot with all its parts. A snapshot after a gap replaces log
// entries that its source compacted. Only accepted versions become such snapshots, so the base isn't
// compared.
func (f *Fold) applyComplete(e platformapi.Entry, parts []platformapi.Entry, gap bool) Verdict {
	start := f.cursor == 0 && e.Kind == platformapi.KindSnapshot
	if !gap && !start && e.Base != uint64(f.version) {
		return f.reject(e, parts, f.baseMismatchReason(e), nil)
	}
	if ps := f.updateDocument(parts); len(ps) > 0 {
		if gap {
			return Verdict{Number: e.Number, Result: Conflict, Reason: "the snapshot at the start of the log has mistakes", Problems: ps}
		}
		return f.reject(e, parts, "the configuration has mistakes", ps)
	}
	if gap {
		f.log.reset()
	}
	f.version = ident.Version(e.Number)
	f.cursor = e.Number
	f.log.append(parts, true, f.version)
	f.history.add(f.version, f.doc.digest)
	return Verdict{Number: e.Number, Result: Accepted}
}

func (f *Fold) baseMismatchReason(e platformapi.Entry) string {
	if e.Base < uint64(f.version) {
		return fmt.Sprintf("base %d is not the accepted version %d: another change was published first", e.Base, f.version)
	}
	return fmt.Sprintf("base %d was never accepted; the accepted version is %d", e.Base, f.version)
}

func (f *Fold) reject(e platformapi.Entry, parts []platformapi.Entry, reason string, ps Problems) Verdict {
	f.cursor = e.Number
	f.log.append(parts, false, f.version)
	return Verdict{Number: e.Number, Result: Rejected, Reason: reason, Problems: ps}
}

// updateDocument applies a patch to the document, or replaces the document by a snapshot.
func (f *Fold) updateDocument(parts []platformapi.Entry) Problems {
	doc, ps := f.check(parts, true)
	if len(ps) == 0 {
		f.doc = doc
	}
	return ps
}

// check returns the document that results from an entry, or the mistakes in the entry. A patch changes
// the current document only if commit is true.
func (f *Fold) check(parts []platformapi.Entry, commit bool) (*document, Problems) {
	var ps Problems
	for _, e := range parts {
		if len(e.Body) > MaxValueBytes {
			ps.add("", fmt.Sprintf("%d bytes", len(e.Body)), fmt.Sprintf("at most %d bytes in one value", MaxValueBytes))
		}
	}
	if len(ps) > 0 {
		return nil, ps
	}
	switch parts[0].Kind {
	case platformapi.KindPatch:
		return f.doc, f.doc.patch(parts[0].Body, commit)
	case platformapi.KindSnapshot:
		return parseSnapshot(parts)
	}
	ps.add("", quote(parts[0].Kind), "an entry of kind snapshot or patch")
	return nil, ps
}

// parseSnapshot parses a document from the parts of a snapshot. Each part is an object with some of the
// members; a member doesn't span parts.
func parseSnapshot(parts []platformapi.Entry) (*document, Problems) {
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

// Check validates a proposal as if it were the next entry, with the same checks as Apply. It changes
// nothing.
func (f *Fold) Check(kind string, base uint64, body json.RawMessage) Verdict {
	e := platformapi.Entry{Number: f.cursor + 1, Kind: kind, Base: base, Body: body}
	if base != uint64(f.version) {
		return Verdict{Number: e.Number, Result: Rejected, Reason: f.baseMismatchReason(e)}
	}
	if _, ps := f.check([]platformapi.Entry{e}, false); len(ps) > 0 {
		return Verdict{Number: e.Number, Result: Rejected, Reason: "the configuration has mistakes", Problems: ps}
	}
	return Verdict{Number: e.Number, Result: Accepted}
}

// compareProcessed handles an entry whose number was processed before. The version never decreases, and
// other content under the same number is a conflict.
func (f *Fold) compareProcessed(e platformapi.Entry) Verdict {
	v := Verdict{Number: e.Number, Result: Known}
	stored, ok := f.log.find(e)
	switch {
	case e.Kind == platformapi.KindSnapshot && e.Parts <= 1:
		// A peer or the platform may send a snapshot of a version in place of the entry that produced it.
		d, known := f.history.digest(ident.Version(e.Number))
		doc, ps := parseSnapshot([]platformapi.Entry{e})
		if known && (len(ps) > 0 || doc.digest != d) {
			v.Result = Conflict
		}
	case ok && e.Kind == platformapi.KindPatch && stored.Kind == platformapi.KindPatch:
		if stored.Base != e.Base || !sameJSON(stored.Body, e.Body) {
			v.Result = Conflict
		}
	}
	if v.Result == Conflict {
		v.Reason = fmt.Sprintf("entry %d was judged with another content; keeping version %d", e.Number, f.version)
	}
	return v
}

// sameJSON compares two values and ignores white space and the order of keys.
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
