package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/lab/load"
)

// Guards against a page that replaces the result, and against a missing or invalid result that passes.
func TestReportCommand(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "r.json")
	c.Assert((&load.Result{Name: "x", Sent: map[string]int{}}).WriteJSON(file), qt.IsNil)
	rosectl := func(code int, args ...string) string {
		var out bytes.Buffer
		c.Assert(run(context.Background(), append([]string{"report"}, args...), &out), qt.Equals, code, qt.Commentf("%v", args))
		return out.String()
	}
	page := filepath.Join(filepath.Dir(file), "r.html")
	c.Assert(rosectl(exitOK, file), qt.Equals, page+"\n")
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	c.Assert(string(text), qt.Contains, "<h1>Load test x</h1>")
	rosectl(exitUsage)
	rosectl(exitUsage, page)
	rosectl(exitUsage, file, "--output", file)
	rosectl(exitFailed, file, "--output", filepath.Join(page, "x"))
}
