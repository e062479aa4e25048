package placement

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Item is a placed request.
type Item struct {
	engine   *engine
	maxPause time.Duration
	worth    float64
	tokens   int
	ended    bool
}

// Place books a choice on its engines. Call End when the request has left the engine.
func (t *Table) Place(now time.Duration, c Choice) *Item {
	e := t.engines[c.Engine]
	if e == nil {
		return &Item{ended: true}
	}
	it := &Item{
		engine:   e,
		maxPause: c.request.MaxPause,
		worth:    Worth(c.request.PromptTokens, c.request.OutputTokens),
		tokens:   c.request.PromptTokens + c.request.OutputTokens,
	}
	e.change(self, it.maxPause, it.worth, it.tokens, 1)
	t.dirty[e.key] = e
	t.read(now, c.Engine, c.readMS)
	for _, h := range c.Helpers {
		t.read(now, h, c.readMS)
	}
	return it
}

func (t *Table) read(now time.Duration, id ident.BackendID, readMS float64) {
	if e := t.engines[id]; e != nil {
		e.addRead(now, readMS)
		t.reads = append(t.reads, Read{Engine: e.key, MS: readMS})
	}
}

// End takes a request off its engine. Calling it again changes nothing.
func (t *Table) End(it *Item) {
	if it.ended {
		return
	}
	it.ended = true
	it.engine.change(self, it.maxPause, it.worth, it.tokens, -1)
	t.dirty[it.engine.key] = it.engine
}

// Address returns the address of an engine.
func (t *Table) Address(id ident.BackendID) (address string, ok bool) {
	e := t.engines[id]
	if e == nil {
		return "", false
	}
	return e.address, true
}
