package placement

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// PlacedRequest is a request that is placed on its engines.
type PlacedRequest struct {
	engine   *engine
	maxPause time.Duration
	worth    float64
	memory   []memoryUse
	parts    []part
	started  bool // the first event has arrived, so all parts are prefilled
	ended    bool
}

// memoryUse is the KV cache memory that a request takes on an engine.
type memoryUse struct {
	engine *engine
	tokens int
}

// part is the prefill of a prompt, or of a part of it, on one engine.
type part struct {
	engine *engine
	from   time.Duration // predicted start
	length time.Duration
}

// Place adds the load of a choice to its engines. Call End when the request has left the engine.
func (t *Table) Place(now time.Duration, c Choice) *PlacedRequest {
	e := t.engines[c.Engine]
	if e == nil {
		return &PlacedRequest{ended: true}
	}
	placed := &PlacedRequest{engine: e, maxPause: c.request.MaxPause, worth: Worth(c.request.PromptTokens, c.request.OutputTokens)}
	e.addStream(self, placed.maxPause, placed.worth, 1)
	t.addMemory(placed, e, c.tokens)
	for _, r := range c.Reservations {
		if x := t.engines[r.Engine]; x != nil {
			t.addMemory(placed, x, r.Tokens)
		}
	}
	t.addPrefill(now, placed, c.Engine, c.prefillMS)
	for _, h := range c.Helpers {
		t.addPrefill(now, placed, h, c.prefillMS)
	}
	return placed
}

func (t *Table) addMemory(placed *PlacedRequest, e *engine, tokens int) {
	e.addMemory(self, tokens)
	t.dirty[e.key] = e
	placed.memory = append(placed.memory, memoryUse{e, tokens})
}

func (t *Table) addPrefill(now time.Duration, placed *PlacedRequest, id ident.BackendID, prefillMS float64) {
	e := t.engines[id]
	if e == nil {
		return
	}
	from := max(now, e.busyUntil)
	e.addPrefill(now, prefillMS)
	placed.parts = append(placed.parts, part{engine: e, from: from, length: e.busyUntil - from})
	t.prefills = append(t.prefills, PrefillChange{Engine: e.key, MS: prefillMS})
}

// MarkStarted records that the first event has arrived.
func (t *Table) MarkStarted(placed *PlacedRequest) { placed.started = true }

// End removes the load of a request from its engines. It is idempotent.
func (t *Table) End(now time.Duration, placed *PlacedRequest) {
	if placed.ended {
		return
	}
	placed.ended = true
	placed.engine.addStream(self, placed.maxPause, placed.worth, -1)
	for _, m := range placed.memory {
		m.engine.addMemory(self, -m.tokens)
		t.dirty[m.engine.key] = m.engine
	}
	if !placed.started {
		t.cancelPrefill(now, placed)
	}
}

// cancelPrefill removes the parts of a cancelled request whose prefill has not started. An engine finishes its current
// pass, so a part whose prefill has started stays in the backlog.
func (t *Table) cancelPrefill(now time.Duration, placed *PlacedRequest) {
	for _, p := range placed.parts {
		if p.from <= now {
			continue
		}
		prefillMS := ms(p.length) / p.engine.slowness
		p.engine.addPrefill(now, -prefillMS)
		t.prefills = append(t.prefills, PrefillChange{Engine: p.engine.key, MS: -prefillMS})
	}
}

// Address returns the address of an engine.
func (t *Table) Address(id ident.BackendID) (address string, ok bool) {
	e := t.engines[id]
	if e == nil {
		return "", false
	}
	return e.address, true
}

// Find returns the id of the engine with the given id or address.
func (t *Table) Find(name string) (id ident.BackendID, ok bool) {
	if name == "" {
		return "", false
	}
	if e := t.engines[ident.BackendID(name)]; e != nil {
		return e.id, true
	}
	for _, e := range t.engines {
		if e.address == name {
			return e.id, true
		}
	}
	return "", false
}
