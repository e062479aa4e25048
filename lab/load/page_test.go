package load

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a page that needs other files, takes names for markup or hides that a plot is missing, and against a
// result that is lost on the way through its file.
func TestPage(t *testing.T) {
	c := qt.New(t)
	row := func(label string) []Latency { return []Latency{{label, Quantiles{Count: 1, P50: 1, P95: 2, P99: 3}}} }
	want := &Result{
		Name: "<b>x", Sent: map[string]int{"generate": 3}, Answered: map[string]int{"generate": 2}, FirstToken: row("1 k"),
		Calls: row("lookup"), Refusals: []Refusal{{"generate", "not-run", "overload", 1}}, PastDeadline: 1,
	}
	path := filepath.Join(t.TempDir(), "r.json")
	c.Assert(want.WriteJSON(path), qt.IsNil)
	got, err := ReadResult(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
	var out bytes.Buffer
	c.Assert(got.WritePage(&out), qt.IsNil)
	page := out.String()
	c.Assert(strings.Count(page, "<svg"), qt.Equals, 2)
	for _, text := range []string{
		"&lt;b&gt;x", "1 ends past the deadline", "<td>generate</td><td>3</td><td>2</td>", "<td>overload</td><td>1</td>",
		"Served requests by kind over time: ", "Refusals by reason over time: ", "by team: no request was answered",
	} {
		c.Assert(page, qt.Contains, text)
	}
	for _, text := range []string{"<?xml", "<b>x", "<script", "src=", "href=\""} {
		c.Assert(page, qt.Not(qt.Contains), text)
	}

	// A file that is no result is refused with the place of the mistake.
	for text, message := range map[string]string{
		"{}": ".*r.json: no name.*", "{\n\"name\": 3}": ".*r.json:2: .*", "latency ms": ".*r.json:1: .*", "{": ".*unexpected end.*",
	} {
		c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		_, err := ReadResult(path)
		c.Assert(err, qt.ErrorMatches, message)
	}
}
