// Package process runs a process of one role: its logs, metrics and traces, its view of the system, the
// role itself, the control server and the administration API.
package process

import (
	"context"
	"io"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/node/admin"
	"github.com/rosemaryhill/rosemaryhill/node/dispatcher"
	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/node/obs"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// Error is the class of all errors returned by this package.
var Error = errs.Class("process")

// Config holds the role to run, its settings and its outputs.
type Config struct {
	Settings settings.Settings
	Role     settings.Role
	LogTo    io.Writer // nil discards the log
	LogAside bool      // see obs.Config
	TraceTo  io.Writer // for trace.exporter "stdout"
}

// Process is a running role.
type Process struct {
	cfg        Config
	Obs        *obs.Obs
	View       *view.View
	Gateway    *gateway.Gateway       // nil for a dispatcher
	Dispatcher *dispatcher.Dispatcher // nil for a gateway
	control    *control.Server
	admin      *admin.Server
}

// addresses holds the listen addresses that both roles have and the role's shutdown timeout.
type addresses struct {
	control, gossip, admin string
	shutdown               time.Duration
}

func (c *Config) addresses() addresses {
	if c.Role == settings.RoleGateway {
		g := c.Settings.Gateway
		return addresses{g.ControlAddress, g.GossipAddress, g.AdminAddress, settings.MS(g.KeepMS + g.ShutdownMS)}
	}
	d := c.Settings.Dispatcher
	return addresses{d.ControlAddress, d.GossipAddress, d.AdminAddress, settings.MS(d.ShutdownMS)}
}

// Start starts the process. It returns once all ports are open. The process becomes ready later, when it
// has the configuration and the host list.
func Start(cfg Config) (*Process, error) {
	p := &Process{cfg: cfg}
	if err := p.start(); err != nil {
		return nil, errs.Combine(Error.Wrap(err), p.Close())
	}
	return p, nil
}

func (p *Process) start() (err error) {
	s, addr := p.cfg.Settings, p.cfg.addresses()
	p.Obs, err = obs.New(obs.Config{
		HostID: s.HostID, Role: string(p.cfg.Role), Zone: s.AvailabilityZone, LogLevel: s.Log.Level, LogTo: p.cfg.LogTo, LogAside: p.cfg.LogAside,
		Exporter: s.Trace.Exporter, OTLPURL: s.Trace.OTLPURL, TraceTo: p.cfg.TraceTo, SampleRatio: s.Trace.SampleRatio,
	})
	if err != nil {
		return err
	}
	p.View, err = view.Start(view.Config{Settings: s, Role: p.cfg.Role, GossipAddress: addr.gossip, Obs: p.Obs})
	if err != nil {
		return err
	}
	handler, err := p.startRole()
	if err != nil {
		return err
	}
	p.control, err = control.Listen(control.Config{OnError: func(err error) {
		p.Obs.Log.WithField("error", err.Error()).Warn("control connection failed")
	}}, addr.control, handler)
	if err != nil {
		return err
	}
	return p.startAdmin(addr.admin)
}

func (p *Process) startRole() (control.Handler, error) {
	var err error
	if p.cfg.Role == settings.RoleGateway {
		p.Gateway, err = gateway.Start(gateway.Config{Settings: p.cfg.Settings, View: p.View, Obs: p.Obs})
		if err != nil {
			return nil, err
		}
		return p.Gateway.Control(), nil
	}
	p.Dispatcher, err = dispatcher.Start(dispatcher.Config{Settings: p.cfg.Settings, View: p.View, Obs: p.Obs})
	return view.Handler{View: p.View}, err
}

func (p *Process) startAdmin(address string) (err error) {
	c := admin.Config{Address: address, Token: p.cfg.Settings.Admin.Token, View: p.View, Obs: p.Obs}
	if p.Gateway != nil {
		c.Gateway = p.Gateway
	}
	if p.Dispatcher != nil {
		c.Dispatcher = p.Dispatcher
	}
	p.admin, err = admin.Start(c)
	return err
}

// Run waits until the context ends, which the caller triggers on SIGTERM, and then shuts down.
func (p *Process) Run(ctx context.Context) error {
	p.Obs.Log.WithContext(obs.Essential).WithField("incarnation", p.View.Incarnation().String()).Info("started")
	<-ctx.Done()
	p.Obs.Log.Info("shutting down")
	err := p.Shutdown(context.Background())
	if err != nil {
		p.Obs.Log.WithField("error", err.Error()).Error("shutdown failed")
		return err
	}
	p.Obs.Log.WithContext(obs.Essential).Info("stopped")
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	p.Obs.FlushLog(ctx)
	return nil
}

// Shutdown stops the process without interrupting requests, within the shutdown time of the settings.
func (p *Process) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.addresses().shutdown)
	defer cancel()
	var err error
	if p.Gateway != nil {
		err = p.Gateway.Shutdown(ctx)
		p.Gateway = nil
	}
	if p.Dispatcher != nil {
		err = p.Dispatcher.Shutdown(ctx)
		p.Dispatcher = nil
	}
	return errs.Combine(err, p.Close())
}

// closeTimeout bounds the time that Close takes to stop the servers.
const closeTimeout = 3 * time.Second

// Close stops the process immediately.
func (p *Process) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var err error
	if p.admin != nil {
		err = errs.Combine(err, p.admin.Close())
	}
	if p.control != nil {
		err = errs.Combine(err, p.control.Close(ctx))
	}
	if p.Gateway != nil {
		err = errs.Combine(err, p.Gateway.Close())
	}
	if p.Dispatcher != nil {
		err = errs.Combine(err, p.Dispatcher.Close())
	}
	if p.View != nil {
		err = errs.Combine(err, p.View.Close(ctx))
	}
	if p.Obs != nil {
		err = errs.Combine(err, p.Obs.Shutdown(ctx))
	}
	return err
}

// Kill stops the process immediately and aborts running requests, as a crash of the process would. It is
// for tests and the demo.
func (p *Process) Kill() {
	if p.control != nil {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = p.control.Close(ctx) // first, because a crashed process answers no forwarded calls
		p.control = nil
	}
	if p.Gateway != nil {
		p.Gateway.Kill()
	}
	if p.Dispatcher != nil {
		p.Dispatcher.Kill()
	}
	_ = p.Close() // the errors only report that running requests were aborted
}
