// Package logline parses the logs of this project: one event a line, as key=value pairs. Words that a log collector
// puts before the pairs, such as a timestamp and a host name, are ignored.
package logline

import (
	"bytes"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("logline")

// Line is one event.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Host    string  // host that wrote the line; empty if it names none
	Fields  []Field // all others, in the order of the line
}

// Field is a key with its unquoted value.
type Field struct{ Key, Value string }

// Get returns the value of a field, or an empty string if the line has no such field.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// Int returns the value of a field as a number. ok is false if the field is missing or no whole number.
func (l *Line) Int(key string) (n int64, ok bool) {
	n, err := strconv.ParseInt(l.Get(key), 10, 64)
	return n, err == nil
}

const (
	// firstKey begins the pairs of every line.
	firstKey = "time="
	// maxStarts is the number of occurrences of firstKey at which the pairs may begin. A collector's words may contain it too.
	maxStarts = 4
	// usualFields is the number of fields for which memory is allocated at once. The end of a request has about 17.
	usualFields = 20
)

// Parse parses a line, with or without its line break. It returns an error unless the line has a time and a message and all of
// its pairs are whole.
func Parse(text []byte) (Line, error) {
	first := Error.New("no time=")
	start := nextStart(text, 0)
	for try := 0; try < maxStarts && start >= 0; try++ {
		l, err := parsePairs(text[start:])
		if err == nil {
			return l, nil
		}
		if try == 0 {
			first = err
		}
		start = nextStart(text, start+1)
	}
	return Line{}, first
}

// nextStart returns the position of the next first key that begins a word, or -1.
func nextStart(text []byte, from int) int {
	for {
		i := bytes.Index(text[from:], []byte(firstKey))
		if i < 0 {
			return -1
		}
		from += i
		if from == 0 || text[from-1] == ' ' || text[from-1] == '\t' {
			return from
		}
		from += len(firstKey)
	}
}

func parsePairs(text []byte) (Line, error) {
	l := Line{Fields: make([]Field, 0, usualFields)}
	rest := strings.TrimRight(string(text), " \t\r\n")
	for rest != "" {
		f, tail, err := cutField(rest)
		if err != nil {
			return Line{}, err
		}
		if err := l.set(f); err != nil {
			return Line{}, err
		}
		rest = strings.TrimLeft(tail, " \t")
	}
	if l.Message == "" {
		return Line{}, Error.New("no msg=")
	}
	return l, nil
}

// cutField cuts the first pair off a text that begins with one.
func cutField(text string) (f Field, rest string, err error) {
	key, value, ok := strings.Cut(text, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \t\"") {
		word, _, _ := strings.Cut(text, " ")
		return f, "", Error.New("%.40q is no key=value pair", word)
	}
	if !strings.HasPrefix(value, `"`) {
		if end := strings.IndexAny(value, " \t"); end >= 0 {
			value, rest = value[:end], value[end:]
		}
		return Field{key, value}, rest, nil
	}
	quoted, err := strconv.QuotedPrefix(value)
	if err != nil {
		return f, "", Error.New("the quoted value of %s is cut off or has an invalid escape", key)
	}
	rest = value[len(quoted):]
	if rest != "" && rest[0] != ' ' && rest[0] != '\t' {
		return f, "", Error.New("no space after the quoted value of %s", key)
	}
	value, err = strconv.Unquote(quoted)
	return Field{key, value}, rest, Error.Wrap(err)
}

func (l *Line) set(f Field) (err error) {
	switch f.Key {
	case "time":
		l.Time, err = time.Parse(time.RFC3339Nano, f.Value)
		return Error.Wrap(err)
	case "level":
		l.Level = f.Value
	case "msg":
		l.Message = f.Value
	case "host":
		l.Host = f.Value
	default:
		l.Fields = append(l.Fields, f)
	}
	return nil
}
