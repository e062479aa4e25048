package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// section holds the members of one top-level object.
type section[V any] struct {
	name    string
	members map[string]V
	decode  func(path string, raw json.RawMessage, ps *Problems) V
	dirty   bool // changed since the last Config was built
}

// change is one member before and after a patch.
type change[V any] struct {
	key          string
	before       V
	after        V
	existed      bool
	existsAfter  bool
	beforeDigest Digest
	afterDigest  Digest
}

func newSection[V any](name string, decode func(string, json.RawMessage, *Problems) V) *section[V] {
	return &section[V]{name: name, members: make(map[string]V), decode: decode, dirty: true}
}

// stage returns the changes that a merge patch makes and adds its mistakes to ps.
func (s *section[V]) stage(patch json.RawMessage, ps *Problems) []change[V] {
	if isNull(patch) {
		return s.stageRemoval()
	}
	path := pointer("", s.name)
	o, ok := readObject(path, patch, ps)
	if !ok {
		return nil
	}
	changes := make([]change[V], 0, len(o.fields))
	for _, key := range slices.Sorted(maps.Keys(o.fields)) {
		c := s.newChange(key)
		if raw := o.fields[key]; !isNull(raw) {
			if key == "" {
				ps.add(path, `""`, "non-empty names")
			}
			c.after, c.existsAfter = s.merge(pointer(path, key), c, raw, ps)
		}
		changes = append(changes, c)
	}
	return changes
}

func (s *section[V]) stageRemoval() []change[V] {
	changes := make([]change[V], 0, len(s.members))
	for _, key := range slices.Sorted(maps.Keys(s.members)) {
		changes = append(changes, s.newChange(key))
	}
	return changes
}

func (s *section[V]) newChange(key string) change[V] {
	c := change[V]{key: key}
	c.before, c.existed = s.members[key]
	return c
}

// merge applies the patch of one member to its canonical JSON.
func (s *section[V]) merge(path string, c change[V], patch json.RawMessage, ps *Problems) (v V, ok bool) {
	if !isObject(patch) {
		ps.add(path, string(patch), "a JSON object, or null to remove the member")
		return v, false
	}
	if !c.existed && !bytes.Contains(patch, []byte("null")) {
		return s.decode(path, patch, ps), true // a merge into an empty object would only remove nulls
	}
	doc := []byte("{}")
	if c.existed {
		doc = mustMarshal(c.before)
	}
	merged, err := jsonpatch.MergePatch(doc, patch)
	if err != nil {
		ps.add(path, string(patch), "a JSON merge patch: "+err.Error())
		return v, false
	}
	return s.decode(path, merged, ps), true
}

// apply applies staged changes and updates the digest.
func (s *section[V]) apply(changes []change[V], d *Digest) {
	for i := range changes {
		c := &changes[i]
		if c.existed {
			c.beforeDigest = memberDigest(s.name, c.key, c.before)
			d.subtract(c.beforeDigest)
		}
		if c.existsAfter {
			c.afterDigest = memberDigest(s.name, c.key, c.after)
			d.add(c.afterDigest)
			s.members[c.key] = c.after
		} else {
			delete(s.members, c.key)
		}
	}
	s.dirty = s.dirty || len(changes) > 0
}

// undo reverts applied changes. Their keys differ, so the order doesn't matter.
func (s *section[V]) undo(changes []change[V], d *Digest) {
	for _, c := range changes {
		if c.existsAfter {
			d.subtract(c.afterDigest)
			delete(s.members, c.key)
		}
		if c.existed {
			d.add(c.beforeDigest)
			s.members[c.key] = c.before
		}
	}
}

func mustMarshal(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: cannot encode validated value: %v", err))
	}
	return b
}
