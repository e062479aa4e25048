package main

import (
	"encoding/json"
	"maps"
	"slices"
)

// partBytes leaves room below the platform's 1 MB for the names around the members.
const partBytes = 900 << 10

// splitSnapshot spreads the members of a whole configuration over parts of at most about partBytes. Each
// part is an object of sections, and a section may go on in the next part.
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
			if size > partBytes {
				if err := flush(); err != nil {
					return nil, err
				}
			}
		}
	}
	return parts, flush()
}
