package demo

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a demo that fails after a change of any package it uses, or takes longer than a minute.
func TestRun(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	began := time.Now()
	err := Run(context.Background(), &out)
	t.Logf("\n%s", out.String())
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(began) < time.Minute, qt.IsTrue)
	c.Assert(bytes.Count(out.Bytes(), []byte("\n")), qt.Equals, 9)
}
