package config

import (
	"fmt"
	"strings"
)

// maxShownValue is the number of bytes after which a value in a problem is truncated.
const maxShownValue = 80

// Problem describes one mistake in a configuration.
type Problem struct {
	Path  string // JSON pointer, RFC 6901
	Value string // the invalid value as JSON, truncated; empty if it is missing
	Valid string // what would be valid
}

// String returns the problem as one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: is missing; valid: %s", p.Path, p.Valid)
	}
	return fmt.Sprintf("%s: %s is not valid; valid: %s", p.Path, p.Value, p.Valid)
}

// Problems lists all mistakes in a configuration in a deterministic order.
type Problems []Problem

// Error returns the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps *Problems) add(path, value, valid string) {
	if len(value) > maxShownValue {
		value = strings.ToValidUTF8(value[:maxShownValue], "") + "..."
	}
	*ps = append(*ps, Problem{Path: path, Value: value, Valid: valid})
}

var pointerEscape = strings.NewReplacer("~", "~0", "/", "~1")

// pointer appends a key to a JSON pointer.
func pointer(path, key string) string { return path + "/" + pointerEscape.Replace(key) }
