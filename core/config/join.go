package config

import "encoding/json"

// join combines the parts of a snapshot. The members of a section may be spread over several parts.
func join(parts []json.RawMessage) (json.RawMessage, Problems) {
	if len(parts) == 1 {
		return parts[0], nil
	}
	var ps Problems
	whole := make(map[string]json.RawMessage)
	sections := make(map[string]map[string]json.RawMessage)
	for _, p := range parts {
		o, ok := readObject("", p, &ps)
		if !ok {
			return nil, ps
		}
		for name, raw := range o.fields {
			joinSection(whole, sections, name, raw, &ps)
		}
	}
	for name, members := range sections {
		whole[name] = mustMarshal(members)
	}
	return mustMarshal(whole), ps
}

func joinSection(whole map[string]json.RawMessage, sections map[string]map[string]json.RawMessage, name string, raw json.RawMessage, ps *Problems) {
	if !isObject(raw) {
		whole[name] = raw // the validation of the whole body reports it
		return
	}
	var members map[string]json.RawMessage
	if json.Unmarshal(raw, &members) != nil {
		ps.add(pointer("", name), string(raw), "a JSON object")
		return
	}
	if sections[name] == nil {
		sections[name] = members
		return
	}
	for k, v := range members {
		sections[name][k] = v
	}
}
