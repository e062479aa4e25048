package settings

import (
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/zeebo/errs"
)

// Error is the class of the errors for files that cannot be read or parsed.
var Error = errs.Class("settings")

// Mistake is an invalid or missing value, or an unknown key, in a settings file.
type Mistake struct {
	File  string
	Key   string
	Value string // as written; empty when the key is missing
	Valid string // description of valid values
}

// String returns a one-line message for the operator.
func (m Mistake) String() string {
	if m.Value == "" {
		return fmt.Sprintf("%s: %s is missing; valid: %s", m.File, m.Key, m.Valid)
	}
	return fmt.Sprintf("%s: %s = %s; valid: %s", m.File, m.Key, m.Value, m.Valid)
}

// Mistakes holds all mistakes of a file, sorted by key.
type Mistakes []Mistake

// Error implements error. The message has one line per mistake.
func (ms Mistakes) Error() string {
	lines := make([]string, len(ms))
	for i, m := range ms {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file and checks it for the given roles. The error is a Mistakes if the content is
// invalid, and of class Error if the file can't be read or is not TOML.
func Load(file string, roles ...Role) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, Error.New("read %s: %w", file, err)
	}
	return Parse(file, string(text), roles...)
}

// Parse is like Load for text that is already in memory. file is only used in errors.
func Parse(file, text string, roles ...Role) (Settings, error) {
	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		return Settings{}, Error.New("parse %s: %w", file, err)
	}
	s := Default()
	c := &checker{file: file}
	c.fill(reflect.ValueOf(&s).Elem(), tree, "")
	c.check(&s, roles)
	if len(c.mistakes) > 0 {
		slices.SortStableFunc(c.mistakes, func(a, b Mistake) int { return strings.Compare(a.Key, b.Key) })
		return Settings{}, c.mistakes
	}
	return s, nil
}

// fill copies the decoded tree into the struct v. Unlike the TOML decoder, it continues after a mistake, so
// that all mistakes are reported at once.
func (c *checker) fill(v reflect.Value, tree map[string]any, prefix string) {
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		fields[v.Type().Field(i).Tag.Get("toml")] = v.Field(i)
	}
	for key, value := range tree {
		field, known := fields[key]
		if !known {
			c.add(prefix+key, value, "no such key; known here: "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		c.set(field, prefix+key, value)
	}
}

func (c *checker) set(field reflect.Value, key string, value any) {
	switch field.Kind() {
	case reflect.Struct:
		table, ok := value.(map[string]any)
		if !ok {
			c.add(key, value, "a table ["+key+"]")
			return
		}
		c.fill(field, table, key+".")
	case reflect.String:
		c.setIf(field, key, value, "a string", func(v any) bool { _, ok := v.(string); return ok })
	case reflect.Int, reflect.Int64:
		c.setInt(field, key, value)
	case reflect.Float64:
		c.setFloat(field, key, value)
	case reflect.Slice:
		c.setStrings(field, key, value)
	}
}

func (c *checker) setIf(field reflect.Value, key string, value any, valid string, ok func(any) bool) {
	if !ok(value) {
		c.add(key, value, valid)
		return
	}
	field.Set(reflect.ValueOf(value))
}

// setInt sets a whole number, which may be written as a float, such as 8e3. Times in ms and sizes in MB are rounded.
func (c *checker) setInt(field reflect.Value, key string, value any) {
	const maxExact = 1 << 53 // floats hold whole numbers up to this exactly
	switch n := value.(type) {
	case int64:
		field.SetInt(n)
		return
	case float64:
		whole := math.Round(n)
		if math.Abs(n) <= maxExact && (n == whole || strings.HasSuffix(key, "_ms") || strings.HasSuffix(key, "_mb")) {
			field.SetInt(int64(whole))
			return
		}
	}
	c.add(key, value, "a whole number")
}

func (c *checker) setFloat(field reflect.Value, key string, value any) {
	switch n := value.(type) {
	case float64:
		field.SetFloat(n)
	case int64:
		field.SetFloat(float64(n))
	default:
		c.add(key, value, "a number")
	}
}

func (c *checker) setStrings(field reflect.Value, key string, value any) {
	items, ok := value.([]any)
	if !ok {
		c.add(key, value, "a list of strings")
		return
	}
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			c.add(key, item, "a string as list item")
			return
		}
		field.Set(reflect.Append(field, reflect.ValueOf(text)))
	}
}

func sortedKeys(fields map[string]reflect.Value) []string {
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
