package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/admin"
	"github.com/rosemaryhill/rosemaryhill/node/process"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
	"github.com/rosemaryhill/rosemaryhill/standin/hostlist"
	"github.com/rosemaryhill/rosemaryhill/standin/platform"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// Cluster is a system whose roles and stand-ins all run in this process.
type Cluster struct {
	Plan     *Plan
	Platform *platform.Server
	HostList *hostlist.Server
	options  Options

	mu       sync.Mutex
	engines  map[string]*engine.Engine
	services map[string]*service.Server
	standins map[string]*http.Server
	roles    map[string]*process.Process // by "host/role"
}

// Options configure the start of a system. The zero value is valid.
type Options struct {
	Log     io.Writer      // log lines of all roles; nil discards them
	Traces  io.Writer      // spans of the exporter "stdout"
	Prepare func(*Cluster) // called before anything is started, for example to set faults
}

// Start starts the stand-ins and all roles of a plan. log receives the log lines of all roles; nil discards
// them.
func Start(plan *Plan, log io.Writer) (*Cluster, error) {
	return StartWith(plan, Options{Log: log})
}

// StartWith is Start with options.
func StartWith(plan *Plan, o Options) (*Cluster, error) {
	c := &Cluster{
		Plan: plan, options: o, Platform: platform.New(platform.Config{}),
		HostList: hostlist.New(hostlist.Config{Lag: plan.HostListLag}, plan.HostList()),
		engines:  map[string]*engine.Engine{}, services: map[string]*service.Server{},
		standins: map[string]*http.Server{}, roles: map[string]*process.Process{},
	}
	if o.Prepare != nil {
		o.Prepare(c)
	}
	if err := c.start(); err != nil {
		return nil, errors.Join(err, c.Close())
	}
	return c, nil
}

func (c *Cluster) start() error {
	body, err := c.Plan.Snapshot()
	if err != nil {
		return err
	}
	c.Platform.Publish(platformapi.Entry{Kind: platformapi.KindSnapshot, Body: body})
	err = errors.Join(
		c.serve("platform", c.Plan.PlatformAddress, c.Platform),
		c.serve("hostlist", c.Plan.HostListAddress, c.HostList),
	)
	for _, e := range c.Plan.Engines {
		c.engines[e.ID] = engine.New(e.Config)
		err = errors.Join(err, c.serve(e.ID, e.Address, c.engines[e.ID]))
	}
	for _, s := range c.Plan.ServiceServers {
		c.services[s.ID] = service.New(s.Service)
		err = errors.Join(err, c.serve(s.ID, s.Address, c.services[s.ID]))
	}
	for _, h := range c.Plan.Hosts {
		err = errors.Join(err, c.StartRole(h.ID, settings.RoleDispatcher), c.StartRole(h.ID, settings.RoleGateway))
	}
	return err
}

func (c *Cluster) serve(name, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.standins[name] = s
	go func() { _ = s.Serve(l) }()
	return nil
}

// StartRole starts one role of a host.
func (c *Cluster) StartRole(host string, role settings.Role) error {
	s, ok := c.Plan.Settings[host]
	if !ok {
		return fmt.Errorf("host %q is not in the plan", host)
	}
	p, err := process.Start(process.Config{Settings: s, Role: role, LogTo: c.options.Log, TraceTo: c.options.Traces})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roles[host+"/"+string(role)] = p
	return nil
}

// Role returns a running role by "host/role".
func (c *Cluster) Role(name string) (*process.Process, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.roles[name]
	return p, ok
}

func (c *Cluster) removeRole(name string) (*process.Process, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.roles[name]
	delete(c.roles, name)
	return p, ok
}

// Kill stops a role, engine or service without a graceful shutdown.
func (c *Cluster) Kill(name string) error {
	if p, ok := c.removeRole(name); ok {
		p.Kill()
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.standins[name]
	if !ok {
		return fmt.Errorf("%q does not run", name)
	}
	delete(c.standins, name)
	err := s.Close()
	if e := c.engines[name]; e != nil {
		e.Close()
		delete(c.engines, name)
	}
	return err
}

// Shutdown stops a role gracefully and returns when it has stopped.
func (c *Cluster) Shutdown(ctx context.Context, name string) error {
	p, ok := c.removeRole(name)
	if !ok {
		return fmt.Errorf("%q does not run", name)
	}
	return p.Shutdown(ctx)
}

// Engine returns a running engine stand-in.
func (c *Cluster) Engine(id string) *engine.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engines[id]
}

// Service returns a running service stand-in.
func (c *Cluster) Service(id string) *service.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.services[id]
}

// Publish publishes a merge patch against the configuration version base and returns the number of the
// new version.
func (c *Cluster) Publish(base uint64, patch json.RawMessage) uint64 {
	return c.Platform.Publish(platformapi.Entry{Kind: platformapi.KindPatch, Base: base, Body: patch})
}

// readyPollInterval is the time between two probes of a process that is not ready yet.
const readyPollInterval = 10 * time.Millisecond

// WaitReady waits until all processes of the plan are ready and each sees all of them as alive.
func (p *Plan) WaitReady(ctx context.Context) error {
	for _, h := range p.Hosts {
		s := p.Settings[h.ID]
		for _, address := range []string{s.Gateway.AdminAddress, s.Dispatcher.AdminAddress} {
			if err := p.waitProcessReady(ctx, address); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *Plan) waitProcessReady(ctx context.Context, address string) error {
	for {
		r, err := admin.Probe(ctx, address)
		var seen []admin.Process
		if err == nil && r.Ready {
			err = AdminGet(ctx, address, "/v1/processes", &seen)
		}
		alive := 0
		for _, s := range seen {
			if s.State == "alive" {
				alive++
			}
		}
		if alive == 2*len(p.Hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("process at %s: ready=%t %s, sees %d of %d processes alive: %w", address, r.Ready, r.Reason, alive, 2*len(p.Hosts), errors.Join(ctx.Err(), err))
		case <-time.After(readyPollInterval):
		}
	}
}

// AdminGet reads a path of an administration API and decodes its JSON into out.
func AdminGet(ctx context.Context, address, path string, out any) error {
	text, err := AdminText(ctx, address, path)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(text), out)
}

// AdminText returns the body of a path of an administration API.
func AdminText(ctx context.Context, address, path string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+AdminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("GET %s: %s", path, resp.Status)
	}
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// Close stops all roles and stand-ins without a graceful shutdown.
func (c *Cluster) Close() error {
	c.mu.Lock()
	roles, standins, engines := c.roles, c.standins, c.engines
	c.roles, c.standins, c.engines = map[string]*process.Process{}, map[string]*http.Server{}, map[string]*engine.Engine{}
	c.mu.Unlock()
	names := make([]string, 0, len(roles))
	for name := range roles {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return strings.Compare(b, a) }) // gateways before dispatchers
	var wg sync.WaitGroup
	closeErrs := make([]error, len(names))
	for i, name := range names {
		wg.Go(func() { closeErrs[i] = roles[name].Close() })
	}
	wg.Wait()
	err := errors.Join(closeErrs...)
	for _, e := range engines {
		e.Close()
	}
	for _, s := range standins {
		err = errors.Join(err, s.Close())
	}
	return err
}
