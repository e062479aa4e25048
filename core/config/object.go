package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// object reads the fields of a JSON object one by one, so that every mistake is reported and keys are
// compared exactly. encoding/json would stop at the first mistake and ignore the case of keys.
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

// take returns the value of a key, which counts as known from then on.
func (o *object) take(key string) (json.RawMessage, bool) {
	o.known = append(o.known, key)
	raw, ok := o.fields[key]
	return raw, ok
}

func (o *object) fault(key, valid string) {
	o.ps.add(pointer(o.path, key), string(o.fields[key]), valid)
}

// number reads a number between lo and hi.
func (o *object) number(key string, required bool, lo, hi float64) float64 {
	return within(o, key, required, fmt.Sprintf("a number from %g to %g", lo, hi), lo, hi)
}

// whole reads a whole number between lo and hi.
func (o *object) whole(key string, required bool, lo, hi int) int {
	return within(o, key, required, fmt.Sprintf("a whole number from %d to %d", lo, hi), lo, hi)
}

// within reads a value of T between lo and hi; valid describes what is accepted.
func within[T int | float64](o *object, key string, required bool, valid string, lo, hi T) (v T) {
	raw, ok := o.take(key)
	switch {
	case !ok && required:
		o.fault(key, valid)
	case ok && (isNull(raw) || json.Unmarshal(raw, &v) != nil || v < lo || v > hi):
		o.fault(key, valid)
	}
	return v
}

// text reads a string that accept takes.
func (o *object) text(key string, required bool, valid string, accept func(string) bool) (v string) {
	raw, ok := o.take(key)
	switch {
	case !ok && required:
		o.fault(key, valid)
	case ok && (isNull(raw) || json.Unmarshal(raw, &v) != nil || !accept(v)):
		o.fault(key, valid)
	}
	return v
}

// texts reads an optional list of different strings that accept takes.
func (o *object) texts(key, valid string, accept func(string) bool) []string {
	raw, ok := o.take(key)
	if !ok {
		return nil
	}
	var v []string
	if isNull(raw) || json.Unmarshal(raw, &v) != nil {
		o.fault(key, "a list of different strings, each "+valid)
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

// close reports the keys that nobody took.
func (o *object) close() {
	for _, k := range slices.Sorted(maps.Keys(o.fields)) {
		if !slices.Contains(o.known, k) {
			o.fault(k, "no such key; known keys: "+strings.Join(o.known, ", "))
		}
	}
}

func quote(s string) string {
	b, _ := json.Marshal(s) // a string always encodes
	return string(b)
}

// oneOf returns a check for text and its description.
func oneOf(values ...string) (valid string, accept func(string) bool) {
	return "one of " + strings.Join(values, ", "), func(s string) bool { return slices.Contains(values, s) }
}

func filled(s string) bool { return s != "" }
