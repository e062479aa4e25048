package main

import (
	"encoding/json"
	"maps"
	"slices"
)

// targetPartBytes is the size at which a part is closed. It is below the platform's limit of 1 MB to leave
// room for the section names around the members.
const targetPartBytes = 900 << 10

// splitSnapshot splits a complete configuration into parts of about targetPartBytes. Each part is an object
// of sections, and a section may continue in the next part.
func splitSnapshot(body json.RawMessage) ([]json.RawMessage, error) {
	var sections map[string]map[string]json.RawMessage
	if err := json.Unmarshal(body, &sections); err != nil {
		return nil, checkError.New("snapshot: %v", err)
	}
	var parts []json.RawMessage
	part, size := map[string]map[string]json.RawMessage{}, 0
	flush := func() error {
		raw, err := json.Marshal(part)
		parts = append(parts, raw)
		part, size = map[string]map[string]json.RawMessage{}, 0
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(sections)) {
		for _, key := range slices.Sorted(maps.Keys(sections[name])) {
			if part[name] == nil {
				part[name] = map[string]json.RawMessage{}
			}
			part[name][key] = sections[name][key]
			size += len(key) + len(sections[name][key]) + 8 // quotes, colon, comma
			if size > targetPartBytes {
				if err := flush(); err != nil {
					return nil, err
				}
			}
		}
	}
	return parts, flush()
}
