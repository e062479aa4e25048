package answer

import (
	"testing"

	"pgregory.net/rapid"
)

// frame is a token of one attempt, or its end event if end is set.
type frame struct {
	attempt uint64
	n       int
	end     bool
}

// TestWholeAnswer guards against an answer that counts as complete although a token is missing, duplicated,
// out of order or from an abandoned attempt, when frames of several attempts are lost, duplicated and
// reordered.
func TestWholeAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 6).Draw(t, "tokens")
		var s Stream
		var inFlight []frame
		var got []int
		attempt := uint64(0)
		complete := false
		start := func() {
			attempt++
			for n := s.Start(attempt) + 1; n <= total; n++ {
				inFlight = append(inFlight, frame{attempt: attempt, n: n})
			}
			inFlight = append(inFlight, frame{attempt: attempt, n: total, end: true})
		}
		start()
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if len(inFlight) == 0 || rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				start()
			}
			i := min(rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(t, "frame"), len(inFlight)-1)
			f := inFlight[i]
			if rapid.IntRange(0, 4).Draw(t, "stays") > 0 {
				inFlight = append(inFlight[:i:i], inFlight[i+1:]...)
			}
			current, open := s.Attempt()
			handle := s.Token
			if f.end {
				handle = s.End
			}
			switch verdict := handle(f.attempt, f.n); verdict {
			case Deliver:
				got = append(got, f.n)
				if complete || !open || f.attempt != current {
					t.Fatalf("token of attempt %d delivered", f.attempt)
				}
			case Complete:
				complete = true
				if len(got) != total {
					t.Fatalf("complete with %d of %d tokens", len(got), total)
				}
			case Gap:
				start()
			case WrongCount:
				t.Fatal("WrongCount although the count is correct")
			}
			for i, n := range got {
				if n != i+1 {
					t.Fatalf("delivered %v", got)
				}
			}
		}
		if s.Over() != complete || s.ResumeFrom() != len(got) {
			t.Fatalf("ended %v, resumes from %d of %v", s.Over(), s.ResumeFrom(), got)
		}
	})
}

// TestEndBelowDelivered guards against accepting an end event with a count below the tokens that the caller has.
func TestEndBelowDelivered(t *testing.T) {
	var s Stream
	s.Start(1)
	s.Token(1, 1)
	s.Token(1, 2)
	if v := s.End(1, 1); v != WrongCount || s.Over() {
		t.Fatalf("end with count 1 after two tokens: %d", v)
	}
	s.Close()
	if s.Start(2); s.Token(2, 3) != AfterEnd || s.Counters()[Deliver] != 2 {
		t.Fatal("a closed stream delivers tokens")
	}
}
