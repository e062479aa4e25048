package orders

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// reconcile gives the next order to every owned engine that differs from its desired state.
func (c *Controller) reconcile(now time.Duration) []Send {
	var out []Send
	for _, id := range c.order {
		e := c.engines[id]
		c.expire(now, id, e)
		if now-e.adapterAt >= c.cfg.AdapterReloadInterval {
			e.adapters = nil
		}
		want, ok := e.next()
		if !ok || e.sent != nil || now < e.notBefore || !c.may(now, e) {
			continue
		}
		want.Fence = c.nextFence(e)
		want.Issuer = string(c.cfg.Host)
		e.last = want.Fence
		if want.Adapter == "" {
			e.adapters = nil // loading a model drops its adapters
		}
		c.nextID++
		e.sent = &sent{id: c.nextID, order: want, decided: now}
		out = append(out, Send{Engine: id, ID: c.nextID, Order: want})
	}
	return out
}

// expire ends an order that brought no end in time.
func (c *Controller) expire(now time.Duration, id ident.BackendID, e *engine) {
	if e.sent != nil && now-e.sent.decided >= c.cfg.Timeout {
		c.ended(now, Ended{Engine: id, ID: e.sent.id, Result: Failed})
	}
}

// next returns the order that brings the engine closer to its desired state.
func (e *engine) next() (o backendapi.Order, ok bool) {
	if e.desired == nil || !e.reported {
		return o, false
	}
	o = backendapi.Order{Kind: KindLoad, Model: string(e.desired.Model), Version: e.desired.Version}
	if !e.loaded(e.report) {
		return o, true
	}
	for _, a := range e.desired.Adapters {
		if !slices.Contains(e.adapters, a) {
			o.Adapter = a
			return o, true
		}
	}
	return o, false
}

// may reports whether an order may go to the engine now. A version below the engine's fence must not
// order: the engine was ordered by a newer configuration.
func (c *Controller) may(now time.Duration, e *engine) bool {
	if !e.owned || !e.reported || e.desired == nil || uint64(c.version) < e.fence.Config {
		return false
	}
	return e.desired.HonoursFence || c.sure(now)
}

// sure is the condition for orders that the engine doesn't check: a fresh view, and no recent pause.
func (c *Controller) sure(now time.Duration) bool {
	return c.heardAny && now-c.heard <= c.cfg.MaxViewAge && now >= c.pausedUntil
}

// nextFence returns the fencing number for the next order. The own term is kept while it is the highest
// known one and every order that carried it has ended. A late order with the current number would
// otherwise reload the model, which drops the adapters loaded since.
func (c *Controller) nextFence(e *engine) backendapi.Fence {
	if e.term == 0 || e.term < e.fence.Term {
		e.term = c.termAbove(max(e.fence.Term, e.last.Term))
	}
	return backendapi.Fence{Config: uint64(c.version), Term: e.term}
}

// termAbove returns a term above a given one that no other owner takes.
func (c *Controller) termAbove(term uint64) uint64 {
	return (term>>ownerBits+1)<<ownerBits | c.owner
}

// Confirm must be called right before the first byte of an order. It repeats the checks of the
// decision, because the process may have been paused since. After false nothing may be sent and the
// order is over.
func (c *Controller) Confirm(now time.Duration, id ident.BackendID, order uint64) bool {
	e := c.engines[id]
	if e == nil || e.sent == nil || e.sent.id != order || e.sent.confirmed {
		return false
	}
	late := now-e.sent.decided > c.cfg.SendLimit
	outdated := e.sent.order.Fence.Config != uint64(c.version)
	if late || outdated || !c.may(now, e) {
		e.sent = nil
		return false
	}
	e.sent.confirmed = true
	return true
}

// Outstanding returns the number of orders without an end.
func (c *Controller) Outstanding() int {
	n := 0
	for _, e := range c.engines {
		if e.sent != nil {
			n++
		}
	}
	return n
}
