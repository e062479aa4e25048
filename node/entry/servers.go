package entry

import (
	"net"
	"net/http"
	"strconv"
	"time"

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
