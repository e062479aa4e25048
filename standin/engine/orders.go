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

// identity is what orders change.
type identity struct {
	model, version, adapter, role string
	fence                         backendapi.Fence // highest seen
}

// Orders returns the orders that were followed, oldest first.
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
	highest, followed := e.follow(o)
	status := http.StatusOK
	if !followed {
		status = http.StatusConflict
	}
	control.WriteJSON(w, status, backendapi.OrderResult{Highest: highest})
}

// follow records an order and starts it, unless its fence is old and the engine honours fences. An
// order with the highest fence itself is followed again, since one fence covers a model and a role.
func (e *Engine) follow(o backendapi.Order) (highest backendapi.Fence, followed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := &e.identity
	if o.Fence.Less(id.fence) && !e.cfg.IgnoresFences {
		return id.fence, false
	}
	if id.fence.Less(o.Fence) {
		id.fence = o.Fence
	}
	e.orders = append(e.orders, o)
	switch {
	case o.Kind == "role":
		id.role = o.Role
	case e.cfg.WeightsURL == "":
		id.load(o)
	default:
		e.done.Go(func() { e.loadWeights(o) })
	}
	return id.fence, true
}

func (id *identity) load(o backendapi.Order) {
	id.model, id.version, id.adapter = o.Model, o.Version, o.Adapter
}

// loadWeights reads the weights, waiting while the store refuses, and then takes the new version. A
// newer order makes this one void.
func (e *Engine) loadWeights(o backendapi.Order) {
	for e.ctx.Err() == nil {
		if err := e.fetch(o); err == nil {
			break
		}
		e.sleep(e.cfg.LoadRetryInterval)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !o.Fence.Less(e.identity.fence) || e.cfg.IgnoresFences {
		e.identity.load(o)
	}
}

func (e *Engine) fetch(o backendapi.Order) error {
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
