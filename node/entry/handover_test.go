package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// Guards against marks between hosts that change on the way, and against a peer's word that is taken for more than it says.
func TestHandoverMarks(t *testing.T) {
	c := qt.New(t)
	sent := handover{from: "10.0.0.1:7340", incarnation: 1<<63 + 5, config: 9, elapsed: 1234 * time.Millisecond, attempts: 2, resume: -1}
	got, err := parseHandover(sent.String())
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, sent)
	for _, bad := range []string{"", "x", "10.0.0.1:7340 1 2 3", "10.0.0.1:7340 -1 2 3 4 5"} {
		_, err := parseHandover(bad)
		c.Check(err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
	for _, x := range []struct {
		end      peerEnd
		declined bool
	}{
		{peerEnd{kind: outcome.Answered, server: "i-1", started: 17}, false},
		{peerEnd{kind: outcome.NotRun, reason: outcome.NoBackend, step: stepDial}, true},
		{peerEnd{kind: outcome.MayHaveRun, reason: outcome.NoBackend, step: stepDial}, false},
		{peerEnd{kind: outcome.NotRun, reason: outcome.Overload, step: stepHandover}, true},
		{peerEnd{kind: outcome.NotRun, reason: outcome.Overload, step: stepPlace}, false},
		{peerEnd{kind: outcome.NotRun, reason: outcome.UnknownTeam, step: "authenticate"}, false},
	} {
		said, ok := parsePeerEnd(x.end.String())
		c.Check(ok, qt.IsTrue)
		c.Check(said, qt.Equals, x.end)
		c.Check(said.declined(), qt.Equals, x.declined, qt.Commentf("%v", x.end))
	}
	_, ok := parsePeerEnd("")
	c.Check(ok, qt.IsFalse)
}
