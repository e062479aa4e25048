package ticket

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// modelReplay applies transitions of the model spec/tickets.pml to a real table.
type modelReplay struct {
	table *Table
	text  string
	now   time.Duration
	seq   map[string]uint64 // sequence number of the call by caller
}

func newModelReplay(t *testing.T) *modelReplay {
	s := &modelReplay{seq: map[string]uint64{}}
	s.start(t, 1)
	texts, err := s.table.Issue(0, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.text = texts[0]
	return s
}

func (s *modelReplay) start(t *testing.T, incarnation byte) {
	key := []byte(strings.Repeat(string(rune('a'+incarnation)), 16))
	table, err := New(Config{Host: "h", Incarnation: 1 << incarnation, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	s.table = table
}

// step makes one transition and returns the result under the name that the model uses.
func (s *modelReplay) step(t *testing.T, action, caller string) string {
	deadline := s.now + time.Minute
	cause := outcome.Refuse("dial", outcome.NoBackend, "")
	switch action {
	case "begin":
		d := s.table.Begin(s.now, s.text, Call{}, deadline)
		s.seq[caller] = d.Sequence
		if d.Action == Refuse {
			return d.Err.Kind.String()
		}
		return [...]string{Run: "run", Wait: "wait", Replay: "recorded"}[d.Action]
	case "burn":
		return s.table.Burn(s.now, s.seq[caller], cause).Kind.String()
	case "first":
		if err := s.table.FirstByte(s.now, s.seq[caller]); err != nil {
			return err.Kind.String()
		}
	case "finish":
		if !s.table.Finish(s.now, s.seq[caller], Response{}) {
			return "refused"
		}
	case "fail":
		s.table.Fail(s.now, s.seq[caller], cause)
	case "expire":
		s.now = Lifetime
	case "restart":
		s.start(t, 2)
	default:
		t.Fatalf("unknown step %q", action)
	}
	return ""
}

// TestSpecification guards against a table that deviates from the model that spec/run checks. It replays
// traces that spec/run recorded from the model.
func TestSpecification(t *testing.T) {
	f, err := os.Open("../../spec/tickets.trace")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var s *modelReplay
	trace, steps := "", 0
	for lines := bufio.NewScanner(f); lines.Scan(); {
		w := append(strings.Fields(lines.Text()), "", "", "")
		if w[0] == "trace" {
			s, trace = newModelReplay(t), w[1]
			continue
		}
		steps++
		if got := s.step(t, w[1], w[2]); got != w[3] {
			t.Errorf("trace %s, %q: the table returned %q", trace, lines.Text(), got)
		}
	}
	if steps < 100 {
		t.Fatalf("only %d steps in the traces", steps)
	}
}
