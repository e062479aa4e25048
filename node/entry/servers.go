package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

const (
	// idleTimeout closes a caller's connection without requests. Callers give up idle connections before.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// maxHeader bounds a request's header in bytes.
	maxHeader = 64 << 10
	// keptAnswers is how many times their validity callers may use an address answer.
	keptAnswers = 3
	// endMargin is kept from the end of the shutdown time for breaking off what still runs.
	endMargin = 300 * time.Millisecond
	// drainPoll is the interval at which a stopping host looks whether requests still run.
	drainPoll = 20 * time.Millisecond
)

func (h *Host) startServers() error {
	d := h.cfg.Dialect
	h.front = h.newServer(h)
	directory := h.newServer(d.Directory(h.addresses, settings.MS(h.set.AddressTTLMS)))
	readiness := h.newServer(d.Readiness(h.ready))
	if err := h.serve(h.front, h.set.HTTPAddress); err != nil {
		return err
	}
	if err := h.serve(directory, h.set.DirectoryAddress); err != nil {
		return err
	}
	if err := h.serve(readiness, h.set.ReadyAddress); err != nil {
		return err
	}
	h.startMetrics()
	return nil
}

// startMetrics serves the metrics. A host whose port is taken goes on without them, since callers need no
// metrics.
func (h *Host) startMetrics() {
	if h.set.AdminPort == 0 {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.obs.MetricsHandler())
	ip, _, _ := net.SplitHostPort(h.set.HTTPAddress)
	address := net.JoinHostPort(ip, strconv.Itoa(h.set.AdminPort))
	if err := h.serve(h.newServer(mux), address); err != nil {
		h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("metrics not served")
	}
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: h.obs.StdLog(),
	}
}

func (h *Host) serve(s *http.Server, address string) error {
	lc := net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	ln, err := lc.Listen(h.ctx, "tcp", address)
	if err != nil {
		return Error.New("step=listen peer=%s: %w", address, err)
	}
	h.servers = append(h.servers, s)
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("listener ended")
		}
	}()
	return nil
}

// Shutdown leaves the address answers, serves for as long as callers may use old ones, and ends when no
// request runs any more.
func (h *Host) Shutdown() error {
	began := time.Now()
	h.stopping.Store(true)
	h.log.WithField("running", h.running.Load()).Info("stopping")
	h.changed()
	deadline := began.Add(settings.MS(h.set.ShutdownMS) - endMargin)
	sleep(h.ctx, keptAnswers*settings.MS(h.set.AddressTTLMS))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := h.front.Shutdown(ctx)
	for h.running.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	h.log.WithFields(fields{"running": h.running.Load(), "took_ms": time.Since(began).Milliseconds()}).Info("stopped")
	h.Close()
	if err != nil {
		return Error.New("step=shutdown: %w", err)
	}
	return nil
}
