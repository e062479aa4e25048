package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

const (
	// releaseMargin is kept between the end of a lease and the time at which its memory must be free.
	releaseMargin = 800 * time.Millisecond
	// renewals is the number of renewals in a lease, so that one may be lost.
	renewals = 3
	// leaseMargin is kept before the end of a lease that could not be renewed; by then the request is cut off.
	leaseMargin = 200 * time.Millisecond
	// orderTimeout bounds an order to an engine, which answers within some ms.
	orderTimeout = 300 * time.Millisecond
	// releaseTries and releasePause bound the release of memory; a lease also ends by itself.
	releaseTries = 4
	releasePause = 250 * time.Millisecond
)

// reservations is the memory that one attempt holds on its helpers. Each attempt has reservation ids of its
// own, so no two requests ever use one.
type reservations struct {
	host  *Host
	lease time.Duration
	held  []reserved
	stop  context.CancelFunc
	ended sync.WaitGroup
}

// reserved is memory on one engine.
type reserved struct {
	Reservation
	engine  ident.BackendID
	address string
}

// reserveError tells which engine set no memory aside.
type reserveError struct {
	engine ident.BackendID
	err    error
}

// Error implements error.
func (e *reserveError) Error() string {
	return fmt.Sprintf("step=reserve peer=%s: %v", e.engine, e.err)
}

// Unwrap returns the cause.
func (e *reserveError) Unwrap() error { return e.err }

// reserve sets aside the memory that a placement needs, on all engines or on none. lose is called when a
// lease can't be renewed.
func (h *Host) reserve(ctx context.Context, choice placement.Choice, lose context.CancelFunc) (*reservations, error) {
	lease := min(settings.MS(h.set.MaxHoldMS), settings.MS(h.set.ReleaseMS)-releaseMargin)
	r := &reservations{host: h, lease: lease}
	h.state.mu.Lock()
	for i, x := range choice.Reservations {
		address, _ := h.state.engines.Address(x.Engine)
		id := fmt.Sprintf("%s-%d-%d", h.incarnation, h.sequence.Add(1), i)
		r.held = append(r.held, reserved{Reservation{id, x.Tokens, lease}, x.Engine, address})
	}
	h.state.mu.Unlock()
	begun := h.now()
	if failed, err := r.orderAll(ctx); err != nil {
		r.release()
		return nil, &reserveError{failed, err}
	}
	renewing, stop := context.WithCancel(h.ctx)
	r.stop = stop
	r.ended.Add(1)
	go r.renew(renewing, begun, lose)
	return r, nil
}

// orderAll sends all reservations at once and returns the first failure.
func (r *reservations) orderAll(ctx context.Context) (failed ident.BackendID, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	errs := make([]error, len(r.held))
	var wg sync.WaitGroup
	for i, x := range r.held {
		wg.Go(func() { errs[i] = r.host.cfg.Dialect.Reserve(ctx, r.host.client, x.address, x.Reservation) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return r.held[i].engine, err
		}
	}
	return "", nil
}

// renew keeps the leases alive until the attempt ends. A renewal that is not confirmed may not have
// happened, so the attempt is given up before the last confirmed lease ends.
func (r *reservations) renew(ctx context.Context, confirmed time.Duration, lose context.CancelFunc) {
	defer r.ended.Done()
	every := r.lease / renewals
	for ctx.Err() == nil {
		sleep(ctx, every)
		sentAt := r.host.now()
		failed, err := r.orderAll(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			confirmed = sentAt
		case r.host.now()-confirmed > r.lease-leaseMargin-every:
			r.host.log.WithFields(fields{"server": failed, "error": err.Error()}).Warn("reservation lost")
			lose()
			return
		}
	}
}

// release gives the memory back, in the background: an order that got no answer is sent again.
func (r *reservations) release() {
	if r == nil {
		return
	}
	if r.stop != nil {
		r.stop()
		r.ended.Wait() // a renewal that is still under way would set the memory aside again
	}
	for _, x := range r.held {
		r.host.running.Add(1)
		go func() {
			defer r.host.running.Add(-1)
			r.host.releaseOne(x)
		}()
	}
}

func (h *Host) releaseOne(x reserved) {
	var err error
	for range releaseTries {
		ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
		err = h.cfg.Dialect.Release(ctx, h.client, x.address, x.ID)
		cancel()
		if err == nil || h.ctx.Err() != nil {
			return
		}
		sleep(h.ctx, releasePause)
	}
	h.log.WithFields(fields{"server": x.engine, "reservation": x.ID, "error": err.Error()}).Warn("memory not released, its lease ends it")
}

// idFor returns the reservation id on an engine, empty when there is none.
func (r *reservations) idFor(id ident.BackendID) string {
	if r == nil {
		return ""
	}
	for _, x := range r.held {
		if x.engine == id {
			return x.ID
		}
	}
	return ""
}
