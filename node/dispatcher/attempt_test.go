package dispatcher

import (
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
)

// Guards against prompt parts that lose, repeat or split characters where they meet, when a prompt is
// processed in parts by several engines.
func TestPromptPartsJoinToThePrompt(t *testing.T) {
	c := qt.New(t)
	prompt := []byte("a批é🌰b刺繡睡衣🌰🌰c")
	tokens := ident.EstimateTokens(len(prompt))
	for cut := range tokens + 1 {
		first, second := promptPart(prompt, 0, cut), promptPart(prompt, cut, tokens)
		c.Assert(string(first)+string(second), qt.Equals, string(prompt))
		c.Assert(utf8.Valid(first) && utf8.Valid(second), qt.IsTrue)
	}
}

// Guards against reporting a request as not sent although bytes may have reached the engine.
func TestFailureKind(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		kind   outcome.Kind
		reason outcome.Reason
		want   sched.FailureKind
	}{
		{outcome.MayHaveRun, outcome.NoBackend, sched.Broken},
		{outcome.MayHaveRun, outcome.Overload, sched.Broken},
		{outcome.NotRun, outcome.Overload, sched.Refused},
		{outcome.NotRun, outcome.BadRequest, sched.Refused},
		{outcome.NotRun, outcome.Draining, sched.RefusedLeaving},
		{outcome.NotRun, outcome.NoBackend, sched.NotSent},
	} {
		c.Assert(failureKind(&outcome.Error{Kind: test.kind, Reason: test.reason}), qt.Equals, test.want)
	}
}

// Guards against reporting an answer as complete although its last tokens were lost or its session is not
// the current one.
func TestIsComplete(t *testing.T) {
	c := qt.New(t)
	a := &attempt{session: "new", lastSent: 7}
	c.Assert(a.isComplete("new", 7), qt.IsTrue)
	c.Assert(a.isComplete("new", 8), qt.IsFalse)
	c.Assert(a.isComplete("new", 6), qt.IsFalse)
	c.Assert(a.isComplete("old", 7), qt.IsFalse)
}
