package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/view"
)

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	Model           ident.Model `json:"model"`
	Prompt          string      `json:"prompt"`
	MaxOutputTokens int         `json:"max_output_tokens"`
	Class           string      `json:"class,omitempty"` // chosen by prompt size if empty
}

// generation is one valid generate request.
type generation struct {
	id           string
	team         ident.Team
	model        ident.Model
	class        ident.Class
	prompt       []byte
	promptTokens int // estimated from the prompt size
	maxOutput    int // in tokens
	started      time.Duration
	deadline     time.Duration
}

// serveGenerate serves POST /v1/generate.
func (g *Gateway) serveGenerate(w http.ResponseWriter, r *http.Request) *outcome.Error {
	started := g.view.ReceivedAt()
	if err := g.admit(); err != nil {
		return g.fail(w, err)
	}
	defer g.release()
	snap := g.view.Config()
	team, cfg, err := authenticate(snap, r.Header)
	if err != nil {
		return g.fail(w, err)
	}
	if !g.reservePrompt(r.ContentLength) {
		return g.fail(w, retryLater(outcome.Refuse("admit", outcome.Overload, "the prompts in progress fill the memory of this gateway")))
	}
	defer g.releasePrompt(r.ContentLength)
	body, err := readBody(w, r, maxGenerateBody)
	if err != nil {
		return g.fail(w, err)
	}
	gen, err := parseGenerate(body, snap)
	if err != nil {
		return g.fail(w, err)
	}
	if !cfg.MayUse(gen.model) {
		return g.fail(w, outcome.Refuse("validate", outcome.UnknownModel, fmt.Sprintf("team %s may not use model %s", team, gen.model)))
	}
	timeout, err := parseTimeout(r, defaultTimeouts[gen.class])
	if err != nil {
		return g.fail(w, err)
	}
	if err := g.chargeTeam(team, gen.promptTokens+gen.maxOutput); err != nil {
		return g.fail(w, err)
	}
	gen.id = string(g.view.Host()) + "-" + g.view.Incarnation().String() + "-" + strconv.FormatUint(g.requests.Add(1), 10)
	gen.team = team
	gen.started = started
	gen.deadline = started + timeout
	return g.newStream(w, r, gen).run()
}

func retryLater(e *outcome.Error) *outcome.Error {
	e.RetryAfter = time.Second
	return e
}

// reservePrompt reserves memory for a prompt and returns false if the gateway's limit is reached. A body of
// unknown length counts as the longest one allowed.
func (g *Gateway) reservePrompt(length int64) bool {
	n := bytesToReserve(length)
	if g.reservedBytes.Add(n) > g.cfg.Settings.Gateway.MaxPromptBytesHeld {
		g.reservedBytes.Add(-n)
		return false
	}
	return true
}

func (g *Gateway) releasePrompt(length int64) { g.reservedBytes.Add(-bytesToReserve(length)) }

func bytesToReserve(length int64) int64 {
	if length < 0 || length > maxGenerateBody {
		return maxGenerateBody
	}
	return length
}

// parseGenerate decodes and validates the body of a generate request.
func parseGenerate(body []byte, s *view.Snapshot) (*generation, *outcome.Error) {
	var req GenerateRequest
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&req); err != nil {
		return nil, outcome.Refuse("validate", outcome.BadRequest, "body: "+err.Error())
	}
	model, ok := s.Models[req.Model]
	if !ok {
		return nil, outcome.Refuse("validate", outcome.UnknownModel, fmt.Sprintf("model %q is not configured", req.Model))
	}
	gen := &generation{
		model:        req.Model,
		prompt:       []byte(req.Prompt),
		promptTokens: ident.EstimateTokens(len(req.Prompt)),
		maxOutput:    req.MaxOutputTokens,
	}
	switch {
	case len(req.Prompt) == 0:
		return nil, outcome.Refuse("validate", outcome.BadRequest, "the prompt is empty")
	case len(req.Prompt) > MaxPromptBytes || gen.promptTokens > model.MaxPromptTokens:
		return nil, outcome.Refuse("validate", outcome.TooLarge,
			fmt.Sprintf("the prompt has %d tokens; model %s takes %d", gen.promptTokens, req.Model, model.MaxPromptTokens))
	case req.MaxOutputTokens < 1 || req.MaxOutputTokens > maxOutputTokens:
		return nil, outcome.Refuse("validate", outcome.BadRequest, fmt.Sprintf("max_output_tokens must be from 1 to %d", maxOutputTokens))
	}
	gen.class = ident.ClassOf(gen.promptTokens)
	if req.Class == "" {
		return gen, nil
	}
	if gen.class, ok = ident.ParseClass(req.Class); !ok {
		return nil, outcome.Refuse("validate", outcome.BadRequest, "class must be interactive, standard or batch")
	}
	return gen, nil
}

// maxOutputTokens bounds one response. At 29 ms per token it takes 48 minutes, which is within the longest
// deadline of one hour.
const maxOutputTokens = 100_000
