package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// object decodes the fields of a JSON object one by one, so that every mistake is reported and keys are
// matched exactly. encoding/json would stop at the first mistake and ignore the case of keys.
type object struct {
	path   string
	fields map[string]json.RawMessage
	known  []string
	ps     *Problems
}

func readObject(path string, raw json.RawMessage, ps *Problems) (*object, bool) {
	o := &object{path: path, ps: ps}
	if !isObject(raw) || json.Unmarshal(raw, &o.fields) != nil {
		ps.add(path, string(raw), "a JSON object")
		return nil, false
	}
	return o, true
}

func isObject(raw json.RawMessage) bool {
	raw = bytes.TrimLeft(raw, " \t\r\n")
	return len(raw) > 0 && raw[0] == '{'
}

func isNull(raw json.RawMessage) bool { return string(bytes.TrimSpace(raw)) == "null" }

// take returns the value of a key and marks the key as known.
func (o *object) take(key string) (json.RawMessage, bool) {
	o.known = append(o.known, key)
	raw, ok := o.fields[key]
	return raw, ok
}

func (o *object) addProblem(key, valid string) {
	o.ps.add(pointer(o.path, key), string(o.fields[key]), valid)
}

// number decodes a number between lo and hi.
func (o *object) number(key string, required bool, lo, hi float64) float64 {
	return boundedNumber(o, key, required, fmt.Sprintf("a number from %g to %g", lo, hi), lo, hi)
}

// integer decodes an integer between lo and hi.
func (o *object) integer(key string, required bool, lo, hi int) int {
	return boundedNumber(o, key, required, fmt.Sprintf("a whole number from %d to %d", lo, hi), lo, hi)
}

// boundedNumber decodes a number between lo and hi; valid describes the accepted values.
func boundedNumber[T int | float64](o *object, key string, required bool, valid string, lo, hi T) (v T) {
	raw, ok := o.take(key)
	switch {
	case !ok && required:
		o.addProblem(key, valid)
	case ok && (isNull(raw) || json.Unmarshal(raw, &v) != nil || v < lo || v > hi):
		o.addProblem(key, valid)
	}
	return v
}

// stringValue decodes a string for which accept returns true.
func (o *object) stringValue(key string, required bool, valid string, accept func(string) bool) (v string) {
	raw, ok := o.take(key)
	switch {
	case !ok && required:
		o.addProblem(key, valid)
	case ok && (isNull(raw) || json.Unmarshal(raw, &v) != nil || !accept(v)):
		o.addProblem(key, valid)
	}
	return v
}

// stringList decodes an optional list of distinct strings for which accept returns true.
func (o *object) stringList(key, valid string, accept func(string) bool) []string {
	raw, ok := o.take(key)
	if !ok {
		return nil
	}
	var v []string
	if isNull(raw) || json.Unmarshal(raw, &v) != nil {
		o.addProblem(key, "a list of different strings, each "+valid)
		return nil
	}
	seen := make(map[string]bool, len(v))
	for i, s := range v {
		if seen[s] || !accept(s) {
			o.ps.add(fmt.Sprintf("%s/%d", pointer(o.path, key), i), quote(s), "different strings, each "+valid)
		}
		seen[s] = true
	}
	return v
}

// reportUnknownKeys adds a problem for each key that take wasn't called for.
func (o *object) reportUnknownKeys() {
	for _, k := range slices.Sorted(maps.Keys(o.fields)) {
		if !slices.Contains(o.known, k) {
			o.addProblem(k, "no such key; known keys: "+strings.Join(o.known, ", "))
		}
	}
}

func quote(s string) string {
	b, _ := json.Marshal(s) // a string always encodes
	return string(b)
}

// oneOf returns a function that accepts the given values, and its description.
func oneOf(values ...string) (valid string, accept func(string) bool) {
	return "one of " + strings.Join(values, ", "), func(s string) bool { return slices.Contains(values, s) }
}

func isNonEmpty(s string) bool { return s != "" }
