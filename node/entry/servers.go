package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpdrain"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

const (
	// idleTimeout closes a caller's connection that carries no requests. Callers close idle connections
	// earlier.
	idleTimeout = 60 * time.Second
	// headerTimeout bounds the time for reading a request header.
	headerTimeout = 5 * time.Second
	// maxHeader is the maximum size of a request header in bytes.
	maxHeader = 64 << 10
	// addressTTLFactor times the TTL is how long callers may go on using an address list.
	addressTTLFactor = 3
	// shutdownMargin is reserved at the end of the shutdown time for ending the requests that still run. Within the first
	// lastAnswerTime of it, their callers get a response, unless a stream has begun.
	shutdownMargin = 300 * time.Millisecond
	lastAnswerTime = 200 * time.Millisecond
	// drainPoll is the interval at which a stopping host checks for running requests.
	drainPoll = 20 * time.Millisecond
)

func (h *Host) startServers() error {
	d := h.cfg.Dialect
	h.callerServer = h.newServer(h)
	h.callerServer.ConnState = h.connections.Observe
	directory := h.newServer(d.Directory(h.addresses, settings.MS(h.settings.AddressTTLMS)))
	readiness := h.newServer(d.Readiness(h.ready))
	var err error
	if h.callerListener, err = h.serve(h.callerServer, h.settings.HTTPAddress); err != nil {
		return err
	}
	if _, err = h.serve(directory, h.settings.DirectoryAddress); err != nil {
		return err
	}
	if _, err = h.serve(readiness, h.settings.ReadyAddress); err != nil {
		return err
	}
	h.startMetrics()
	return nil
}

// startMetrics starts the metrics endpoint. If its port is taken, the host runs without it, since serving
// callers does not depend on metrics.
func (h *Host) startMetrics() {
	if h.settings.AdminPort == 0 {
		return
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", h.obs.MetricsHandler())
	ip, _, _ := net.SplitHostPort(h.settings.HTTPAddress)
	address := net.JoinHostPort(ip, strconv.Itoa(h.settings.AdminPort))
	if _, err := h.serve(h.newServer(mux), address); err != nil {
		h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("metrics not served")
	}
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: h.obs.StdLog(),
	}
}

// serve opens a listener and serves its connections in the background.
func (h *Host) serve(s *http.Server, address string) (*httpdrain.Listener, error) {
	lc := net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	ln, err := lc.Listen(h.ctx, "tcp", address)
	if err != nil {
		return nil, Error.New("step=listen peer=%s: %w", address, err)
	}
	h.servers = append(h.servers, s)
	draining := httpdrain.NewListener(ln.(*net.TCPListener))
	h.listeners = append(h.listeners, draining)
	go func() {
		if err := draining.Serve(s); err != nil {
			h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("listener ended")
		}
	}()
	return draining, nil
}

// Shutdown removes this host from the address lists, keeps serving for as long as callers may use old lists, answers
// every request that has arrived by then, and returns when no request runs any more or the shutdown time has passed.
func (h *Host) Shutdown() error {
	began := time.Now()
	h.stopping.Store(true)
	h.log.WithField("running", h.running.Load()).Info("stopping")
	h.requestReport()
	deadline := began.Add(settings.MS(h.settings.ShutdownMS) - shutdownMargin)
	ctxtime.Sleep(h.ctx, addressTTLFactor*settings.MS(h.settings.AddressTTLMS))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.callerListener.Drain(ctx)
	h.connections.Wait(ctx)
	err := h.callerServer.Shutdown(ctx)
	for h.running.Load() > 0 && ctx.Err() == nil {
		ctxtime.Sleep(ctx, drainPoll)
	}
	h.answerRest()
	h.log.WithFields(fields{"running": h.running.Load(), "took_ms": time.Since(began).Milliseconds()}).Info("stopped")
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
