package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/standin/internal/control"
)

// assignment is the model, adapter and role that orders have set.
type assignment struct {
	model, version, adapter, role string
	fence                         backendapi.Fence // highest accepted
}

// Orders returns the accepted orders, oldest first.
func (e *Engine) Orders() []backendapi.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o backendapi.Order
	if !control.ReadJSON(w, r, &o) {
		return
	}
	if o.Kind != "load" && o.Kind != "role" {
		http.Error(w, "kind must be load or role", http.StatusBadRequest)
		return
	}
	highest, accepted := e.applyOrder(o)
	status := http.StatusOK
	if !accepted {
		status = http.StatusConflict
	}
	control.WriteJSON(w, status, backendapi.OrderResult{Highest: highest})
}

// applyOrder records an order and applies it or starts to load its model. An order whose fence is below
// the highest one is refused unless the engine ignores fences. An order with an equal fence is accepted,
// because the orders for the model and for the role share a fence.
func (e *Engine) applyOrder(o backendapi.Order) (highest backendapi.Fence, accepted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := &e.assignment
	if o.Fence.Less(a.fence) && !e.cfg.IgnoresFences {
		return a.fence, false
	}
	if a.fence.Less(o.Fence) {
		a.fence = o.Fence
	}
	e.orders = append(e.orders, o)
	switch {
	case o.Kind == "role":
		a.role = o.Role
	case e.cfg.WeightsURL == "":
		a.load(o)
	default:
		e.wg.Go(func() { e.loadWeights(o) })
	}
	return a.fence, true
}

func (a *assignment) load(o backendapi.Order) {
	a.model, a.version, a.adapter = o.Model, o.Version, o.Adapter
}

// loadWeights reads the weights, retrying until the store serves them, and then switches to the new
// version. It drops the order if one with a higher fence was accepted meanwhile, unless the engine ignores
// fences.
func (e *Engine) loadWeights(o backendapi.Order) {
	for e.ctx.Err() == nil {
		if err := e.fetchWeights(o); err == nil {
			break
		}
		e.sleep(e.cfg.LoadRetryInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.Fence.Less(e.assignment.fence) || e.cfg.IgnoresFences {
		e.assignment.load(o)
	}
}

func (e *Engine) fetchWeights(o backendapi.Order) error {
	u := e.cfg.WeightsURL + "/weights/" + url.PathEscape(o.Model) + "/" + url.PathEscape(o.Version)
	req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, u, nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Minute}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store: status %d", resp.StatusCode)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
