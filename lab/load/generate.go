package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
)

// overtime is how long a caller waits past its deadline, so that a late end is seen and counted.
const overtime = 5 * time.Second

type generateBody struct {
	Model           string `json:"model"`
	Prompt          string `json:"prompt"`
	MaxOutputTokens int    `json:"max_output_tokens"`
	Class           string `json:"class,omitempty"`
}

// generate sends one generation request and checks its stream.
func (r *run) generate(ctx context.Context, c *caller, a arrival, at time.Time) {
	p := a.prompt
	if p.long() {
		r.longs.begin()
		defer r.longs.end()
	}
	withLong := r.longs.mark()
	prompt := r.promptText(a)
	body, err := json.Marshal(generateBody{r.exp.Model, prompt, p.OutputTokens, p.Class})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	timeout := time.Duration(p.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(timeout+overtime))
	defer cancel()
	req := request{method: http.MethodPost, path: "/v1/generate", body: string(body)}
	req.header = http.Header{"Content-Type": {"application/json"}}
	end := ended{kind: kindGenerate, team: a.team.Name, label: p.Label, short: p.short(), timeout: timeout}
	resp, err := c.do(ctx, req, a.team, time.Until(at.Add(timeout)))
	if err != nil {
		end.lost(err)
	} else {
		defer resp.Body.Close()
		s := stream{answer: engine.AnswerTo(prompt), want: p.OutputTokens, at: at}
		end.fromHeader(resp)
		if end.outcome == outcome.Answered {
			s.read(resp, &end)
		}
	}
	end.took = time.Since(at)
	end.withLong = withLong()
	r.rec.add(end)
}

// stream checks a text/event-stream against the engine's deterministic text.
type stream struct {
	answer engine.Answer
	want   int // output tokens
	at     time.Time
	last   int // number of the last token
}

// read fills end with how the stream ended. Only the end event makes a stream whole.
func (s *stream) read(resp *http.Response, end *ended) {
	lines := bufio.NewScanner(resp.Body)
	var id, event, data string
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			id = value
		case "event":
			event = value
		case "data":
			data = value
		case "":
			if event == "end" {
				s.finish(data, end)
				return
			}
			if event == "token" {
				s.token(id, data, end)
			}
			id, event, data = "", "", ""
		}
	}
	end.lost(fmt.Errorf("stream without end event after %d tokens: %w", s.last, errOrEOF(lines.Err())))
}

func (s *stream) token(id, data string, end *ended) {
	if s.last == 0 {
		end.firstToken = time.Since(s.at)
	}
	s.last++
	if id != fmt.Sprint(s.last) {
		end.broken("token number %s where %d is next", id, s.last)
	}
	var frame struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &frame); err != nil {
		end.broken("token frame %d: %v", s.last, err)
		return
	}
	if want := s.answer.Token(s.last); frame.Text != want {
		end.broken("token %d is %q, want %q", s.last, frame.Text, want)
	}
}

func (s *stream) finish(data string, end *ended) {
	var e struct {
		Outcome string         `json:"outcome"`
		Count   int            `json:"count"`
		Reason  outcome.Reason `json:"reason"`
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		end.broken("end event: %v", err)
		return
	}
	end.outcome, end.reason = outcome.ParseKind(e.Outcome), e.Reason
	if e.Count != s.last {
		end.broken("end event counts %d tokens, %d arrived", e.Count, s.last)
	}
	if end.outcome == outcome.Answered && s.last != s.want {
		end.broken("answered with %d of %d tokens", s.last, s.want)
	}
	if end.outcome == outcome.NotRun && s.last > 0 {
		end.broken("not-run after %d tokens", s.last)
	}
}
