package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/eligibility"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

const (
	// releaseMargin is the time between the end of a lease and the time by which its memory must be free.
	releaseMargin = 800 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed before it ends, so that a single lost renewal is
	// harmless.
	renewalsPerLease = 3
	// renewRetryDelay is the time between two attempts to renew a lease.
	renewRetryDelay = 100 * time.Millisecond
	// leaseMargin is how long before the end of a lease that could not be renewed the request is cancelled.
	leaseMargin = 200 * time.Millisecond
	// orderTimeout bounds an order to an engine. Engines answer within a few ms.
	orderTimeout = 300 * time.Millisecond
	// releaseAttempts and releaseRetryDelay bound the attempts to release memory. If all fail, the memory is
	// freed when its lease expires.
	releaseAttempts   = 4
	releaseRetryDelay = 250 * time.Millisecond
)

// reservations are the memory reservations of one attempt on its helper engines. Each attempt uses new
// reservation IDs, so no two requests ever share one.
type reservations struct {
	host    *Host
	lease   time.Duration
	held    []heldReservation
	stop    context.CancelFunc
	renewal sync.WaitGroup
}

// heldReservation is a reservation on one engine.
type heldReservation struct {
	Reservation
	engine  Engine
	started int64 // start of the engine's lifetime
}

// reserveError reports the engine on which a reservation failed.
type reserveError struct {
	engine ident.BackendID
	err    error
}

// Error implements error.
func (e *reserveError) Error() string {
	return fmt.Sprintf("step=reserve peer=%s: %v", e.engine, e.err)
}

// Unwrap supports errors.Is and errors.As.
func (e *reserveError) Unwrap() error { return e.err }

// reserve reserves the memory that a placement needs, on all of its engines or on none. cancelAttempt is called
// when a lease can't be renewed.
func (h *Host) reserve(ctx context.Context, choice placement.Choice, cancelAttempt context.CancelFunc) (*reservations, error) {
	lease := min(settings.MS(h.settings.MaxHoldMS), settings.MS(h.settings.ReleaseMS)-releaseMargin)
	r := &reservations{host: h, lease: lease}
	h.awaitCatalog(ctx)
	h.state.mu.Lock()
	for i, x := range choice.Reservations {
		srv, why := h.state.beforeSend(h.now(), x.Engine)
		if why != eligibility.Eligible {
			h.state.mu.Unlock()
			return nil, &reserveError{x.Engine, ineligibleError{why}}
		}
		id := fmt.Sprintf("%s-%d-%d", h.incarnation, h.reservationSeq.Add(1), i)
		r.held = append(r.held, heldReservation{Reservation{id, x.Tokens, lease}, Engine{srv.ID, srv.Address}, srv.Started})
	}
	h.state.mu.Unlock()
	sentAt := h.now()
	if failed, err := r.sendReservations(ctx, true); err != nil {
		r.release()
		return nil, &reserveError{failed, err}
	}
	renewing, stop := context.WithCancel(h.ctx)
	r.stop = stop
	r.renewal.Add(1)
	go r.renew(renewing, sentAt, cancelAttempt)
	return r, nil
}

// sendReservations sends all reservations concurrently and returns the first failure. New ones are sent only to engines that
// still take new work; renewals are sent in any case.
func (r *reservations) sendReservations(ctx context.Context, isNew bool) (failed ident.BackendID, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	errs := make([]error, len(r.held))
	var wg sync.WaitGroup
	for i, x := range r.held {
		wg.Go(func() {
			ctx := ctx
			if isNew {
				ctx = withSendCheck(ctx, func() error { return r.host.checkBeforeSend(ctx, catalog.Server{ID: x.engine.ID, Started: x.started}) })
			}
			r.host.countOrder(x.engine.ID)
			sentAt := r.host.now()
			n, err := r.host.cfg.Dialect.Reserve(ctx, r.host.client, x.engine, x.Reservation)
			r.host.recordNotice(x.engine.ID, x.started, sentAt, n)
			errs[i] = err
		})
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return r.held[i].engine.ID, err
		}
	}
	return "", nil
}

// renew renews the leases until the attempt ends. A renewal that fails is tried again while the last confirmed lease
// lasts, since an engine may only be silent for a while. An unconfirmed renewal may not have taken effect, so the attempt
// is cancelled before that lease ends.
func (r *reservations) renew(ctx context.Context, confirmed time.Duration, cancelAttempt context.CancelFunc) {
	defer r.renewal.Done()
	wait := r.lease / renewalsPerLease
	for {
		ctxtime.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		sentAt, end := r.host.now(), confirmed+r.lease-leaseMargin
		failed, err := r.sendRenewals(ctx, end-sentAt)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			confirmed, wait = sentAt, r.lease/renewalsPerLease
		case r.host.now()+renewRetryDelay >= end:
			r.host.log.WithFields(fields{"server": failed, "error": err.Error()}).Warn("reservation lost")
			cancelAttempt()
			return
		default:
			wait = renewRetryDelay
		}
	}
}

// sendRenewals sends all reservations again within the given time.
func (r *reservations) sendRenewals(ctx context.Context, within time.Duration) (failed ident.BackendID, err error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return r.sendReservations(ctx, false)
}

// release releases the memory in the background. An order without an answer is sent again.
func (r *reservations) release() {
	if r == nil {
		return
	}
	if r.stop != nil {
		r.stop()
		r.renewal.Wait() // a renewal still in flight would reserve the memory again
	}
	for _, x := range r.held {
		r.host.running.Add(1)
		go func() {
			defer r.host.running.Add(-1)
			r.host.releaseOne(x)
		}()
	}
}

func (h *Host) releaseOne(x heldReservation) {
	var err error
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(h.ctx, orderTimeout)
		var n Notice
		h.countOrder(x.engine.ID)
		sentAt := h.now()
		n, err = h.cfg.Dialect.Release(ctx, h.client, x.engine, x.ID)
		cancel()
		h.recordNotice(x.engine.ID, x.started, sentAt, n)
		if err == nil || h.ctx.Err() != nil {
			return
		}
		ctxtime.Sleep(h.ctx, releaseRetryDelay)
	}
	h.log.WithFields(fields{"server": x.engine.ID, "reservation": x.ID, "error": err.Error()}).Warn("memory not released; it is freed when its lease expires")
}

// idFor returns the ID of the reservation on an engine, or an empty string if there is none.
func (r *reservations) idFor(id ident.BackendID) string {
	if r == nil {
		return ""
	}
	for _, x := range r.held {
		if x.engine.ID == id {
			return x.ID
		}
	}
	return ""
}
