package dispatcher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/orders"
	"github.com/rosemaryhill/rosemaryhill/node/enginehttp"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
)

// orderPollPeriod is the interval at which the controller is updated. It is also the maximum delay before the
// controller learns of contact with a peer.
const orderPollPeriod = 200 * time.Millisecond

// orderRunner runs the controller that brings the owned engines to their configured state, and sends its
// orders. The mutex lets the goroutine of an order confirm the order immediately before the call.
type orderRunner struct {
	d            *Dispatcher
	orderResults obs.Counter

	mu          sync.Mutex
	ctl         *orders.Controller
	clients     map[ident.BackendID]*enginehttp.Client
	lastContact time.Duration
	version     ident.Version // last configuration version passed to the controller
}

func newOrderRunner(d *Dispatcher) *orderRunner {
	return &orderRunner{
		d:            d,
		orderResults: d.obs.Counter("dispatcher_orders", "result", "Orders to engines, by result."),
		ctl:          orders.New(orders.Config{Host: d.host()}),
		clients:      map[ident.BackendID]*enginehttp.Client{},
	}
}

func (o *orderRunner) run(ctx context.Context) {
	t := time.NewTicker(orderPollPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			o.poll()
		}
	}
}

// poll passes changes of the view since the last poll to the controller, followed by a tick.
func (o *orderRunner) poll() {
	if o.d.view.JustPaused() {
		o.step(orders.Paused{})
	}
	if s := o.d.view.Config(); s != nil && s.Version != o.version {
		o.version = s.Version
		o.step(orders.ConfigAccepted{Version: s.Version, Desired: orders.FromConfig(s.Config)})
	}
	if contact := o.d.view.LastContact(); contact > o.lastContact {
		o.lastContact = contact
		o.step(orders.MessageReceived{})
	}
	o.step(orders.Tick{})
}

// setEngines replaces the set of owned engines.
func (o *orderRunner) setEngines(clients map[ident.BackendID]*enginehttp.Client) {
	ids := make([]ident.BackendID, 0, len(clients))
	for id := range clients {
		ids = append(ids, id)
	}
	o.mu.Lock()
	o.clients = clients
	o.mu.Unlock()
	o.step(orders.Owned{Engines: ids})
}

// reportReceived passes an engine's report to the controller. requested is the time of the request.
func (o *orderRunner) reportReceived(id ident.BackendID, requested time.Duration, r backendapi.Report) {
	taken := requested - time.Duration(r.AgeMS)*time.Millisecond
	o.step(orders.Reported{Engine: id, Taken: taken, Report: r})
}

func (o *orderRunner) step(ev orders.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.ctl.Step(o.d.view.Now(), ev) {
		if client := o.clients[s.Engine]; client != nil {
			o.d.calls.Go(func() { o.send(client, s) })
		}
	}
}

func (o *orderRunner) send(client *enginehttp.Client, s orders.Send) {
	o.mu.Lock()
	ok := o.ctl.Confirm(o.d.view.Now(), s.Engine, s.ID)
	o.mu.Unlock()
	if !ok {
		o.orderResults.Add(1, "dropped")
		return
	}
	r, err := client.Order(o.d.callCtx, s.Order)
	ended := orders.Ended{Engine: s.Engine, ID: s.ID, Result: orders.Done, Highest: r.Highest}
	result := "done"
	var stale *enginehttp.StaleFenceError
	switch {
	case errors.As(err, &stale):
		ended.Result, result = orders.Refused, "refused"
	case err != nil:
		ended.Result, result = orders.Failed, "failed"
	}
	o.orderResults.Add(1, result)
	o.d.log.WithFields(fields{
		"peer": s.Engine, "kind": s.Order.Kind, "model": s.Order.Model, "version": s.Order.Version,
		"adapter": s.Order.Adapter, "config": s.Order.Fence.Config, "term": s.Order.Fence.Term, "result": result,
	}).Info("order")
	o.step(ended)
}
