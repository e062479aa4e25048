package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/outcome"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

const (
	// addressTTLFactor times the TTL is how long callers may go on using an address list.
	addressTTLFactor = 3
	// shutdownMargin is reserved at the end of the shutdown time for ending the requests that still run. Within the first
	// lastAnswerTime of it, their callers get a response, unless a stream has begun.
	shutdownMargin = 300 * time.Millisecond
	lastAnswerTime = 200 * time.Millisecond
	// finishShare is the part of the shutdown time that is kept for requests in progress, although callers may use old address
	// lists for longer: a listener that is closed sends them to other hosts, a killed process cuts their requests.
	finishShare = 1.0 / 3
	// drainPoll is the interval at which a stopping host checks for running requests.
	drainPoll = 20 * time.Millisecond
	// otherHostRetry is the retry delay sent to callers that another host can serve at once.
	otherHostRetry = 50 * time.Millisecond
	// streamTimeFactor times the predicted time of a stream must be left when it is accepted. Streams that follow make the
	// passes of its engine longer.
	streamTimeFactor = 1.5
)

// stopPlan holds the times of a shutdown, on the clock of Host.now.
type stopPlan struct {
	listedUntil time.Duration // new connections are accepted, since callers use old address lists
	end         time.Duration // requests that still run are ended
}

func (h *Host) newStopPlan() stopPlan {
	now, shutdown := h.now(), settings.MS(h.settings.ShutdownMS)
	end := now + shutdown - shutdownMargin
	lists := now + addressTTLFactor*settings.MS(h.settings.AddressTTLMS)
	return stopPlan{listedUntil: min(lists, end-time.Duration(finishShare*float64(shutdown))), end: end}
}

// stopping reports whether the host shuts down.
func (h *Host) stopping() bool { return h.stop.Load() != nil }

// closeWhenStopping makes a response whose header is not written yet the last one on its connection if the host shuts down.
func (h *Host) closeWhenStopping(w http.ResponseWriter) {
	if h.stopping() {
		w.Header().Set("Connection", "close")
	}
}

// Shutdown removes this host from the address lists, keeps serving for as long as callers may use old lists, answers
// every request that has arrived by then, and returns when no request runs any more or the shutdown time has passed.
func (h *Host) Shutdown() error {
	began := time.Now()
	stop := h.newStopPlan()
	h.stop.Store(&stop)
	h.log.WithContext(obs.Essential).WithField("running", h.running.Load()).Info("stopping")
	h.requestReport()
	ctxtime.Sleep(h.ctx, stop.listedUntil-h.now())
	ctx, cancel := context.WithTimeout(context.Background(), stop.end-h.now())
	defer cancel()
	h.callerListener.Drain(ctx)
	h.connections.Wait(ctx)
	err := h.callerServer.Shutdown(ctx)
	for h.running.Load() > 0 && ctx.Err() == nil {
		ctxtime.Sleep(ctx, drainPoll)
	}
	ended := h.running.Load()
	h.answerRest()
	h.log.WithContext(obs.Essential).WithFields(fields{
		"ended": ended, "running": h.running.Load(), "took_ms": time.Since(began).Milliseconds(),
	}).Info("stopped")
	h.Close()
	if err != nil {
		return Error.New("step=shutdown: %w", err)
	}
	return nil
}

// answerRest ends the requests that still run, and waits until their callers have a response. Closing their connections at
// once would leave the callers without an answer or a refusal.
func (h *Host) answerRest() {
	h.endRequests()
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswerTime)
	defer cancel()
	h.connections.Wait(ctx)
}

// endedByShutdown reports whether a request whose context has ended did so because the shutdown time is over.
func (h *Host) endedByShutdown(ctx context.Context, q *request) bool {
	return h.serving.Err() != nil || q.stopBound && errors.Is(ctx.Err(), context.DeadlineExceeded)
}

// admitToStopping bounds the time of a request during a shutdown, and refuses it if the time may be too short for its answer.
// While callers may use old address lists, only the placement decides that (see refuseOverlong); later requests come on
// connections that were kept open, from callers that another host can serve. The state must be locked.
func (h *Host) admitToStopping(q *request) *outcome.Error {
	stop := h.stop.Load()
	if stop == nil || q.deadline < stop.end {
		return nil
	}
	q.deadline, q.stopBound = max(stop.end, q.arrived), true
	if q.arrived < stop.listedUntil || h.isShort(q) {
		return nil
	}
	return h.refuseStopping(q.arrived)
}

// refuseStopping refuses a request that another host can serve, or this one after its restart. The state must be locked.
func (h *Host) refuseStopping(now time.Duration) *outcome.Error {
	e := outcome.Refuse("admit", outcome.Draining, "this host stops before the request may be answered")
	e.RetryAfter = otherHostRetry
	if !h.otherHostReady(now) {
		e.RetryAfter = max(0, h.stop.Load().end-now) + noBackendRetry
	}
	return e
}

// otherHostReady reports whether another host takes callers. The state must be locked.
func (h *Host) otherHostReady(now time.Duration) bool { return len(h.state.peers.Ready(now, 1)) > 0 }

// refuseOverlong refuses a stream that would be cut at the end of a shutdown. While callers may use old address lists, it
// does so only if another host is ready. The state must be locked.
func (h *Host) refuseOverlong(q *request, now, predicted time.Duration) *outcome.Error {
	stop := h.stop.Load()
	if stop == nil || q.mayHaveRun || q.deadline < stop.end || (now < stop.listedUntil && !h.otherHostReady(now)) {
		return nil
	}
	if now+time.Duration(streamTimeFactor*float64(predicted)) <= stop.end {
		return nil
	}
	return h.refuseStopping(now)
}

// isShort reports whether a request is answered within the time that is left even if its server is slow. How long a stream
// takes is not known before its placement. The state must be locked.
func (h *Host) isShort(q *request) bool {
	if q.route.Kind == catalog.Streaming {
		return false
	}
	slowest := maxServerTimeout
	for _, srv := range h.state.catalog.Usable(q.service) {
		slowest = max(slowest, serverTimeoutFactor*h.state.health.AnswerTime(srv.ID))
	}
	return slowest <= q.timeLeft(q.arrived)
}
