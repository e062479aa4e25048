package entry

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/node/internal/httpdrain"
	"github.com/rosemaryhill/rosemaryhill/node/internal/httpguard"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// defaultCallerLimits apply where the configuration names none. Callers keep to lower ones.
var defaultCallerLimits = httpguard.Limits{HeadBytes: 64 << 10, HeadTime: 5 * time.Second, IdleTime: 60 * time.Second}

// Ports of a host, as named in logs and metrics.
const (
	portCallers   = "callers"
	portDirectory = "directory"
	portReadiness = "readiness"
	portMetrics   = "metrics"
	portHandover  = "handover"
)

func (h *Host) startServers() error {
	d := h.cfg.Dialect
	h.callerServer = h.newServer(h)
	h.callerServer.ConnState = h.connections.Observe
	directory := h.newServer(d.Directory(h.addresses, settings.MS(h.settings.AddressTTLMS)))
	readiness := h.newServer(d.Readiness(h.ready))
	var err error
	if h.callerListener, err = h.serve(h.callerServer, portCallers, h.settings.HTTPAddress); err != nil {
		return err
	}
	if _, err = h.serve(directory, portDirectory, h.settings.DirectoryAddress); err != nil {
		return err
	}
	if _, err = h.serve(readiness, portReadiness, h.settings.ReadyAddress); err != nil {
		return err
	}
	h.startHandover()
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
	if _, err := h.serve(h.newServer(mux), portMetrics, address); err != nil {
		h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("metrics not served")
	}
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ErrorLog: h.obs.StdLog()}
}

// serve opens a listener and serves its connections in the background, within the budgets for callers.
func (h *Host) serve(s *http.Server, port, address string) (*httpdrain.Listener, error) {
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
	draining.Wrap = h.guard.Protect(s, port)
	h.listeners = append(h.listeners, draining)
	go func() {
		if err := draining.Serve(s); err != nil {
			h.log.WithFields(fields{"address": address, "error": err.Error()}).Error("listener ended")
		}
	}()
	return draining, nil
}
