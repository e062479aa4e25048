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

// lateEndWait is how long a caller waits past its deadline, so that late ends are seen and counted.
const lateEndWait = 5 * time.Second

type generateBody struct {
	Model           string `json:"model"`
	Prompt          string `json:"prompt"`
	MaxOutputTokens int    `json:"max_output_tokens"`
	Class           string `json:"class,omitempty"`
}

// generate sends one generation request, checks its stream and records the result.
func (r *run) generate(ctx context.Context, c *caller, a arrival, at time.Time) {
	p := a.prompt
	if p.long() {
		r.longRequests.begin()
		defer r.longRequests.end()
	}
	ranBesideLong := r.longRequests.watch()
	prompt := r.promptText(a)
	body, err := json.Marshal(generateBody{r.exp.Model, prompt, p.OutputTokens, p.Class})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	timeout := time.Duration(p.DeadlineMS) * time.Millisecond
	ctx, cancel := context.WithDeadline(ctx, at.Add(timeout+lateEndWait))
	defer cancel()
	req := request{method: http.MethodPost, path: "/v1/generate", body: string(body)}
	req.header = http.Header{"Content-Type": {"application/json"}}
	result := requestResult{kind: kindGenerate, team: a.team.Name, label: p.Label, short: p.short(), timeout: timeout}
	resp, err := c.do(ctx, req, a.team, time.Until(at.Add(timeout)))
	if err != nil {
		result.setConnectionError(err)
	} else {
		defer resp.Body.Close()
		s := streamChecker{answer: engine.AnswerTo(prompt), wantTokens: p.OutputTokens, at: at}
		result.readOutcome(resp)
		if result.outcome == outcome.Answered {
			s.read(resp, &result)
		}
	}
	result.duration = time.Since(at)
	result.besideLong = ranBesideLong()
	r.rec.add(result)
}

// streamChecker compares a text/event-stream with the deterministic text of the engine stand-in.
type streamChecker struct {
	answer     engine.Answer
	wantTokens int // output tokens
	at         time.Time
	last       int // number of the last token received
}

// read reads the stream and records in result how it ended. Only a stream with an end event is complete.
func (s *streamChecker) read(resp *http.Response, result *requestResult) {
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
				s.finish(data, result)
				return
			}
			if event == "token" {
				s.token(id, data, result)
			}
			id, event, data = "", "", ""
		}
	}
	result.setConnectionError(fmt.Errorf("stream without end event after %d tokens: %w", s.last, orUnexpectedEOF(lines.Err())))
}

func (s *streamChecker) token(id, data string, result *requestResult) {
	if s.last == 0 {
		result.firstToken = time.Since(s.at)
	}
	s.last++
	if id != fmt.Sprint(s.last) {
		result.addViolation("token number %s where %d is next", id, s.last)
	}
	var frame struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal([]byte(data), &frame); err != nil {
		result.addViolation("token frame %d: %v", s.last, err)
		return
	}
	if want := s.answer.Token(s.last); frame.Text != want {
		result.addViolation("token %d is %q, want %q", s.last, frame.Text, want)
	}
}

func (s *streamChecker) finish(data string, result *requestResult) {
	var e struct {
		Outcome string         `json:"outcome"`
		Count   int            `json:"count"`
		Reason  outcome.Reason `json:"reason"`
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		result.addViolation("end event: %v", err)
		return
	}
	result.outcome, result.reason = outcome.ParseKind(e.Outcome), e.Reason
	if e.Count != s.last {
		result.addViolation("end event counts %d tokens, %d arrived", e.Count, s.last)
	}
	if result.outcome == outcome.Answered && s.last != s.wantTokens {
		result.addViolation("answered with %d of %d tokens", s.last, s.wantTokens)
	}
	if result.outcome == outcome.NotRun && s.last > 0 {
		result.addViolation("not-run after %d tokens", s.last)
	}
}
