package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// Bounds of the log that a process keeps. Peers that are further behind get a snapshot.
const (
	maxJournalEntries = 8_192
	maxJournalBytes   = 4 << 20 // sum of the bodies
	maxHistory        = 1_024   // versions whose digests are kept
	// maxServedBytes bounds the bodies in one response to a peer.
	maxServedBytes = 4 << 20
	// partBytes leaves room below MaxValueBytes for the section names around the members.
	partBytes = 900 << 10
)

// journal keeps the newest processed entries, at least those from the accepted version on.
type journal struct {
	entries         []platformapi.Entry
	bytes           int
	snapshot        []platformapi.Entry // cached snapshot for peers
	snapshotVersion ident.Version       // version of the cached snapshot
}

func (j *journal) reset() { *j = journal{} }

// append adds processed entries and drops the oldest ones above the bounds of the journal. It keeps the
// entries from the accepted version on.
func (j *journal) append(parts []platformapi.Entry, accepted bool, acceptedVersion ident.Version) {
	for _, e := range parts {
		j.entries = append(j.entries, e)
		j.bytes += len(e.Body)
	}
	keep := uint64(acceptedVersion)
	if accepted {
		keep = parts[0].Number
	}
	drop := 0
	for drop < len(j.entries) && j.entries[drop].Number < keep &&
		(j.bytes > maxJournalBytes || len(j.entries)-drop > maxJournalEntries) {
		j.bytes -= len(j.entries[drop].Body)
		drop++
	}
	if drop > 0 {
		j.entries = slices.Clone(j.entries[drop:])
	}
}

// find returns the stored entry with the number and part of e.
func (j *journal) find(e platformapi.Entry) (platformapi.Entry, bool) {
	i, _ := slices.BinarySearchFunc(j.entries, e.Number, func(h platformapi.Entry, n uint64) int {
		return int(int64(h.Number) - int64(n))
	})
	for ; i < len(j.entries) && j.entries[i].Number == e.Number; i++ {
		if h := j.entries[i]; h.Part == e.Part || h.Kind != e.Kind {
			return h, true
		}
	}
	return platformapi.Entry{}, false
}

// Since returns the processed entries after a number for a peer, in the format of the platform's
// response. If the journal no longer holds them, it returns a snapshot of the accepted version and the
// entries after it. limit bounds the number of entries; a snapshot is always returned with all parts.
func (f *Fold) Since(after uint64, limit int) platformapi.Entries {
	out := platformapi.Entries{Head: f.cursor}
	entries := f.log.entries
	if len(entries) > 0 && after+1 < entries[0].Number {
		out.Entries = f.snapshotEntries()
		after = uint64(f.version)
	}
	i, _ := slices.BinarySearchFunc(entries, after+1, func(h platformapi.Entry, n uint64) int {
		return int(int64(h.Number) - int64(n))
	})
	bytes := 0
	for ; i < len(entries) && len(out.Entries) < limit && bytes < maxServedBytes; i++ {
		out.Entries = append(out.Entries, entries[i])
		bytes += len(entries[i].Body)
	}
	return out
}

// snapshotEntries returns a snapshot of the accepted version in parts that share its number.
func (f *Fold) snapshotEntries() []platformapi.Entry {
	if f.log.snapshotVersion == f.version {
		return slices.Clone(f.log.snapshot)
	}
	bodies := f.doc.split()
	entries := make([]platformapi.Entry, len(bodies))
	for i, b := range bodies {
		entries[i] = platformapi.Entry{Number: uint64(f.version), Kind: platformapi.KindSnapshot, Body: b}
		if len(bodies) > 1 {
			entries[i].Part = i + 1
			entries[i].Parts = len(bodies)
		}
	}
	f.log.snapshot = entries
	f.log.snapshotVersion = f.version
	return slices.Clone(entries)
}

// Body returns the accepted configuration as one JSON value.
func (f *Fold) Body() json.RawMessage {
	body, _ := join(f.doc.split()) // the document is valid
	return body
}

// split encodes the document as objects of at most about partBytes.
func (d *document) split() []json.RawMessage {
	s := splitter{part: make(map[string]map[string]json.RawMessage)}
	addSection(&s, d.models)
	addSection(&s, d.teams)
	addSection(&s, d.servers)
	addSection(&s, d.services)
	if p, ok := d.policy.members[""]; ok {
		var fields map[string]json.RawMessage
		_ = json.Unmarshal(mustMarshal(p), &fields) // can't fail: it decodes what mustMarshal encoded
		s.part[sectionPolicy] = fields
	}
	s.flush()
	return s.parts
}

type splitter struct {
	parts []json.RawMessage
	part  map[string]map[string]json.RawMessage
	bytes int
}

func addSection[V any](s *splitter, sec *section[V]) {
	for _, key := range slices.Sorted(maps.Keys(sec.members)) {
		raw := mustMarshal(sec.members[key])
		if s.bytes+len(raw)+len(key) > partBytes {
			s.flush()
		}
		if s.part[sec.name] == nil {
			s.part[sec.name] = make(map[string]json.RawMessage)
		}
		s.part[sec.name][key] = raw
		s.bytes += len(raw) + len(key) + len(`"":,`)
	}
}

func (s *splitter) flush() {
	s.parts = append(s.parts, mustMarshal(s.part))
	s.part = make(map[string]map[string]json.RawMessage)
	s.bytes = 0
}

// history keeps the digests of the newest accepted versions.
type history struct {
	versions []ident.Version
	digests  map[ident.Version]Digest
}

func (h *history) add(v ident.Version, d Digest) {
	if h.digests == nil {
		h.digests = make(map[ident.Version]Digest)
	}
	h.versions = append(h.versions, v)
	h.digests[v] = d
	if len(h.versions) > maxHistory {
		delete(h.digests, h.versions[0])
		h.versions = h.versions[1:]
	}
}

func (h *history) digest(v ident.Version) (Digest, bool) {
	d, ok := h.digests[v]
	return d, ok
}

// Comparison is the result of comparing a peer's version and digest with those of this process.
type Comparison uint8

// Comparisons.
const (
	Same          Comparison = iota // the peer holds a version that this process holds or held
	PeerAhead                       // the peer's version is newer: fetch it
	Differs                         // one version with two digests: raise an alarm and keep this process's configuration
	DigestUnknown                   // the peer's version is older than the digests kept here, or was not accepted here
)

// Compare compares the version and digest that a peer reports with those of this process.
func (f *Fold) Compare(v ident.Version, d Digest) Comparison {
	own, ok := f.history.digest(v)
	switch {
	case v > f.version:
		return PeerAhead
	case !ok:
		return DigestUnknown
	case own != d:
		return Differs
	}
	return Same
}
