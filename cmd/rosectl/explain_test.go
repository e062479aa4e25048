package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
)

const explainLog = `  1.5 edge-1 time="2026-01-02T10:00:10.500Z" level=info msg="request answered" attempts=1 config=4 host=edge-1 outcome=answered request=r1 role=entry took_ms=500
`

// Guards against logs beyond the first that are ignored, logs that are lost on standard input, and errors that do not
// name the mistake.
func TestExplainCommand(t *testing.T) {
	c := qt.New(t)
	var out, log bytes.Buffer
	logrus.SetOutput(&log)
	defer logrus.SetOutput(os.Stderr)
	rosectl := func(code int, args ...string) string {
		out.Reset()
		log.Reset()
		c.Assert(run(context.Background(), append([]string{"explain"}, args...), &out), qt.Equals, code, qt.Commentf("%v: %s%s", args, &out, &log))
		return out.String() + log.String()
	}
	dir := t.TempDir()
	full, empty := filepath.Join(dir, "full"), filepath.Join(dir, "empty")
	c.Assert(os.WriteFile(full, []byte(explainLog), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(empty, []byte("no log\n"), 0o600), qt.IsNil)

	c.Assert(rosectl(exitOK, "r1", empty, empty, "--around", "1s", empty, full), qt.Contains, "answered after 500 ms")
	c.Assert(rosectl(exitFailed, "r2", full), qt.Contains, "no line has request=r2; the logs hold 1 lines of 1 hosts")
	c.Assert(rosectl(exitFailed, "r2", empty), qt.Contains, "the logs contain no event")
	c.Assert(rosectl(exitUsage), qt.Contains, "the request's ID is missing")
	c.Assert(rosectl(exitUsage, "r1", dir), qt.Contains, "is a directory")
	c.Assert(rosectl(exitUsage, full, "r1"), qt.Contains, "the first argument is the request's ID")
	c.Assert(rosectl(exitUsage, "r1", full, "--around", "-1s"), qt.Contains, "is negative")

	in, err := os.Open(full)
	c.Assert(err, qt.IsNil)
	defer in.Close()
	terminal := os.Stdin
	os.Stdin = in
	defer func() { os.Stdin = terminal }()
	t.Setenv("TMPDIR", dir)
	c.Assert(rosectl(exitOK, "r1"), qt.Contains, "answered after 500 ms")
	left, err := filepath.Glob(filepath.Join(dir, "*.gz"))
	c.Assert(err, qt.IsNil)
	c.Assert(left, qt.HasLen, 0)
}
