package orders

import (
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// reconcile returns the next order for every owned engine that isn't in its desired state.
func (c *Controller) reconcile(now time.Duration) []Send {
	var out []Send
	for _, id := range c.sortedIDs {
		e := c.engines[id]
		c.expire(now, id, e)
		if now-e.firstAdapterAt >= c.cfg.AdapterReloadInterval {
			e.adapters = nil
		}
		want, ok := e.next()
		if !ok || e.outstanding != nil || now < e.notBefore || !c.mayOrder(now, e) {
			continue
		}
		want.Fence = c.nextFence(e)
		want.Issuer = string(c.cfg.Host)
		e.lastOwnFence = want.Fence
		if want.Adapter == "" {
			e.adapters = nil // loading a model drops its adapters
		}
		c.nextID++
		e.outstanding = &outstandingOrder{id: c.nextID, order: want, decidedAt: now}
		out = append(out, Send{Engine: id, ID: c.nextID, Order: want})
	}
	return out
}

// expire ends an outstanding order as failed after Timeout.
func (c *Controller) expire(now time.Duration, id ident.BackendID, e *engine) {
	if e.outstanding != nil && now-e.outstanding.decidedAt >= c.cfg.Timeout {
		c.endOrder(now, Ended{Engine: id, ID: e.outstanding.id, Result: Failed})
	}
}

// next returns the order that brings the engine closer to its desired state.
func (e *engine) next() (o backendapi.Order, ok bool) {
	if e.desired == nil || !e.reported {
		return o, false
	}
	o = backendapi.Order{Kind: KindLoad, Model: string(e.desired.Model), Version: e.desired.Version}
	if !e.hasDesiredModel(e.report) {
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

// mayOrder reports whether an order may go to the engine now. No order may carry a configuration version
// below that of the engine's fencing number: the engine has taken orders of a newer configuration.
func (c *Controller) mayOrder(now time.Duration, e *engine) bool {
	if !e.owned || !e.reported || e.desired == nil || uint64(c.version) < e.fence.Config {
		return false
	}
	return e.desired.HonoursFence || c.mayOrderUnfenced(now)
}

// mayOrderUnfenced reports whether orders may go to engines that ignore fencing: this requires a recent
// message from a peer or the platform and no recent pause.
func (c *Controller) mayOrderUnfenced(now time.Duration) bool {
	return c.anyMessage && now-c.lastMessage <= c.cfg.MaxViewAge && now >= c.pausedUntil
}

// nextFence returns the fencing number for the next order. The term is kept as long as it is the highest
// known one and every order with it has ended. Otherwise a late order with the current number could
// reload the model and drop the adapters loaded since.
func (c *Controller) nextFence(e *engine) backendapi.Fence {
	if e.term == 0 || e.term < e.fence.Term {
		e.term = c.termAbove(max(e.fence.Term, e.lastOwnFence.Term))
	}
	return backendapi.Fence{Config: uint64(c.version), Term: e.term}
}

// termAbove returns a term higher than the given one that no other owner chooses.
func (c *Controller) termAbove(term uint64) uint64 {
	return (term>>ownerBits+1)<<ownerBits | c.owner
}

// Confirm must be called right before the first byte of an order is written. It repeats the checks of
// the decision, because the process may have been paused since. If it returns false, nothing may be
// sent and the order is dropped.
func (c *Controller) Confirm(now time.Duration, id ident.BackendID, order uint64) bool {
	e := c.engines[id]
	if e == nil || e.outstanding == nil || e.outstanding.id != order || e.outstanding.confirmed {
		return false
	}
	late := now-e.outstanding.decidedAt > c.cfg.SendLimit
	outdated := e.outstanding.order.Fence.Config != uint64(c.version)
	if late || outdated || !c.mayOrder(now, e) {
		e.outstanding = nil
		return false
	}
	e.outstanding.confirmed = true
	return true
}

// Outstanding returns the number of orders without a result.
func (c *Controller) Outstanding() int {
	n := 0
	for _, e := range c.engines {
		if e.outstanding != nil {
			n++
		}
	}
	return n
}
