// Package cluster plans and runs a whole system on loopback: stand-ins for the platform and the backend
// servers, and entry hosts with both roles. The demo, the scenarios and the load generator use it.
package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// AdminToken is the bearer token for the administration APIs of all planned processes.
const AdminToken = "loopback-admin-token"

// Spec describes a system. All of its hosts are in one region.
type Spec struct {
	Region          string
	Hosts           []HostSpec
	Groups          []GroupSpec
	Services        []ServiceSpec
	Model           string
	MaxPromptTokens int
	Teams           map[ident.Team]config.Team
	KeepMS          int64         // how long callers may use an address; 0 means the default of the settings
	ShutdownMS      int64         // limit of a graceful shutdown; 0 means the default of the settings
	LogLevel        string        // empty means the default of the settings
	HostListLag     time.Duration // delay until a change of the host list is visible
}

// HostSpec is one entry host.
type HostSpec struct{ ID, Zone string }

// GroupSpec is a group of engines with the same configuration, named "<group>-1" and so on.
type GroupSpec struct {
	Name, Zone string
	Engines    int
	Engine     engine.Config // NewPlan sets ID, Model and Version
}

// ServiceSpec describes one server of a plain service.
type ServiceSpec struct {
	ID, Name, Zone string
	Service        service.Config
}

// Engine is an engine of the plan with its address.
type Engine struct {
	engine.Config
	Address, Group, Zone string
}

// Service is a server of a plain service with its address.
type Service struct {
	ServiceSpec
	Address string
}

// Plan is a Spec with the addresses and settings of all its processes.
type Plan struct {
	Spec
	PlatformAddress string
	HostListAddress string
	Engines         []Engine
	ServiceServers  []Service
	Settings        map[string]settings.Settings // by host ID
}

// modelVersion is the model version in the initial configuration.
const modelVersion = "v1"

// NewPlan plans a system and picks free loopback ports for all its processes.
func NewPlan(spec Spec) (*Plan, error) {
	p := &Plan{Spec: spec, Settings: map[string]settings.Settings{}}
	ports := newPortPicker()
	p.PlatformAddress = ports.next()
	p.HostListAddress = ports.next()
	for _, g := range spec.Groups {
		for i := range g.Engines {
			cfg := g.Engine
			cfg.ID = fmt.Sprintf("%s-%d", g.Name, i+1)
			cfg.Model, cfg.Version = spec.Model, modelVersion
			p.Engines = append(p.Engines, Engine{Config: cfg, Address: ports.next(), Group: g.Name, Zone: g.Zone})
		}
	}
	for _, s := range spec.Services {
		p.ServiceServers = append(p.ServiceServers, Service{ServiceSpec: s, Address: ports.next()})
	}
	for _, h := range spec.Hosts {
		p.Settings[h.ID] = p.settings(h, ports)
	}
	return p, ports.err
}

func (p *Plan) settings(h HostSpec, ports *portPicker) settings.Settings {
	s := settings.Default()
	s.HostID, s.Region, s.AvailabilityZone = h.ID, p.Region, h.Zone
	s.Gateway.HTTPAddress = ports.next()
	s.Gateway.ControlAddress = ports.next()
	s.Gateway.GossipAddress = ports.next()
	s.Gateway.AdminAddress = ports.next()
	s.Dispatcher.LinkAddress = ports.next()
	s.Dispatcher.ControlAddress = ports.next()
	s.Dispatcher.GossipAddress = ports.next()
	s.Dispatcher.AdminAddress = ports.next()
	s.Dispatcher.ReportMS = 100
	s.Platform.ConfigURL = "http://" + p.PlatformAddress
	s.Platform.HostsURL = "http://" + p.HostListAddress
	s.Platform.HostsMS = 500
	s.Platform.ReadsPerS = 20
	s.Platform.StartSpreadMS = 50
	s.Admin.Token = AdminToken
	if p.KeepMS > 0 {
		s.Gateway.KeepMS = p.KeepMS
	}
	if p.ShutdownMS > 0 {
		s.Gateway.ShutdownMS, s.Dispatcher.ShutdownMS = p.ShutdownMS, p.ShutdownMS
	}
	if p.LogLevel != "" {
		s.Log.Level = p.LogLevel
	}
	return s
}

// Snapshot returns the initial configuration.
func (p *Plan) Snapshot() (json.RawMessage, error) {
	body := struct {
		Models   map[string]config.Model           `json:"models"`
		Teams    map[ident.Team]config.Team        `json:"teams"`
		Servers  map[string]config.BackendServer   `json:"backend_servers"`
		Services map[string]map[string]interface{} `json:"services"`
		Policy   config.Policy                     `json:"policy"`
	}{
		Models:   map[string]config.Model{p.Model: {Version: modelVersion, MaxPromptTokens: p.MaxPromptTokens}},
		Teams:    p.Teams,
		Servers:  map[string]config.BackendServer{},
		Services: map[string]map[string]interface{}{},
		Policy:   config.Policy{Name: config.PolicyPredict},
	}
	for _, e := range p.Engines {
		fencing := config.FencingHonoured
		if e.IgnoresFences {
			fencing = config.FencingIgnored
		}
		body.Servers[e.ID] = config.BackendServer{
			Kind: config.KindEngine, Address: e.Address, AvailabilityZone: ident.Zone(e.Zone), Group: e.Group,
			Model: ident.Model(p.Model), MemoryTokens: e.MemoryTokens, Fencing: fencing,
		}
	}
	for _, s := range p.ServiceServers {
		body.Servers[s.ID] = config.BackendServer{
			Kind: config.KindService, Address: s.Address, AvailabilityZone: ident.Zone(s.Zone), Service: s.Name,
		}
		body.Services[s.Name] = map[string]interface{}{"idempotent_methods": []string{"GET"}}
	}
	return json.Marshal(body)
}

// HostList returns the host list of the plan, with all hosts live.
func (p *Plan) HostList() []platformapi.Host {
	var out []platformapi.Host
	for _, h := range p.Hosts {
		s := p.Settings[h.ID]
		out = append(out, platformapi.Host{
			ID: h.ID, Kind: "entry", Address: s.Gateway.HTTPAddress, ControlAddress: s.Gateway.ControlAddress,
			GossipAddress: s.Gateway.GossipAddress, LinkAddress: s.Dispatcher.LinkAddress,
			AvailabilityZone: h.Zone, Region: p.Region, State: platformapi.Live,
		})
	}
	backend := func(id, address, zone string) {
		out = append(out, platformapi.Host{
			ID: id, Kind: "backend", Address: address, AvailabilityZone: zone, Region: p.Region, State: platformapi.Live,
		})
	}
	for _, e := range p.Engines {
		backend(e.ID, e.Address, e.Zone)
	}
	for _, s := range p.ServiceServers {
		backend(s.ID, s.Address, s.Zone)
	}
	return out
}

// GatewayURL returns the URL of a host's gateway.
func (p *Plan) GatewayURL(host string) string {
	return "http://" + p.Settings[host].Gateway.HTTPAddress
}

// portPicker picks ports that are free for TCP and UDP. They are below the kernel's range of ephemeral
// ports, since an outgoing connection could otherwise take one before its process starts. Each picker uses
// a loopback address of its own: with one shared address, systems that started at the same time took
// ports that another had picked but not yet bound.
type portPicker struct {
	ip   string
	used map[string]bool
	err  error
}

func newPortPicker() *portPicker {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(255), 2+rand.IntN(252))
	return &portPicker{ip: ip, used: map[string]bool{}}
}

const (
	firstPort = 10_240
	lastPort  = 32_000
)

func (p *portPicker) next() string {
	const tries = 1000
	for range tries {
		addr := fmt.Sprintf("%s:%d", p.ip, firstPort+rand.IntN(lastPort-firstPort))
		if !p.used[addr] && isFree(addr) {
			p.used[addr] = true
			return addr
		}
	}
	p.err = fmt.Errorf("no free loopback port after %d tries", tries)
	return ""
}

// isFree reports whether a port can be bound. A child process that is between fork and exec holds copies of all sockets of this
// process, so none is forked meanwhile: the port would stay taken until the child runs.
func isFree(addr string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	tcp, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	udp, err := net.ListenPacket("udp", addr)
	if err != nil {
		_ = tcp.Close() // the port is rejected either way
		return false
	}
	return tcp.Close() == nil && udp.Close() == nil
}
