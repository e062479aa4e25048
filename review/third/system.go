package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// zones of a small deployment.
var zones = []string{"zone-leuven", "zone-mechelen", "zone-wavre"}

// Bounds of the deployment, as on its sheet.
const (
	drainTime  = 2 * time.Second // drain_ms
	stableTime = 3 * time.Second // stable_ms
	configTime = 2 * time.Second // config_apply_ms
)

const (
	ledger   = "ledger-app"
	engines  = "assistant-pool"
	apiKey   = "n2ctnfzs989anu6wsjnb"
	otherKey = "k7wq0fzs431mnu6wsjtd"
	tenant   = "hule930"
	workTime = 10 * time.Millisecond
	// engineTokens is the number of tokens of an engine's answer, engineTime the time that they take.
	engineTokens = 8
	engineTime   = 40 * time.Millisecond
)

// startStore serves the store and returns its address.
func (s *system) startStore() (address string, err error) {
	address = fmt.Sprintf("%s1:%d", storeNet, s.ports)
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: s.store}
	go func() { _ = srv.Serve(ln) }()
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return address, nil
}

// startBackend starts server n of a service and registers it.
func (s *system) startBackend(service string, n int) (*server, error) {
	id := fmt.Sprintf("i-%04x", 0x7f30+n)
	srv, err := startServer(id, service, zones[n%len(zones)], fmt.Sprintf("%s%d:%d", serverNet, n, s.ports), workTime, s.log)
	if err != nil {
		return nil, err
	}
	if service == engines {
		srv.work, srv.tokens = engineTime, engineTokens
	}
	s.closers = append(s.closers, func() { _ = srv.http.Close() })
	s.store.put("servers/"+id, srv.entry("ready", 1))
	return srv, nil
}

// startHosts starts hosts in the zones in turn and waits until they are ready.
func (s *system) startHosts(n int, store string) error {
	for i := 1; i <= n; i++ {
		h, err := newHost(s.dir, i, s.ports, hostConfig{zones: zones, store: store, memoryMB: 284})
		if err != nil {
			return err
		}
		if err := h.start(s.root, s.dir); err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := h.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// config returns a configuration with the routes of the ledger and a number of further ones, for a tenant with some keys.
func config(version, more int, keys ...string) map[string]any {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "prefix": "/" + name + "/", "type": kind, "service": ledger, "timeout_ms": 4000,
			"aim_ms": 300, "max_attempts": attempts, "priority": 1, "public": false,
		}
	}
	routes := []any{route("payment", "unsafe", 1), route("lookup", "safe", 2)}
	for i := range more {
		routes = append(routes, route(fmt.Sprintf("more%d", i), "safe", 2))
	}
	return map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": ledger}},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": keys}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 60000,
		},
	}
}

// begin starts the store, servers of the ledger and hosts, with a configuration that has some keys.
func (s *system) begin(servers, hosts int, keys ...string) ([]*server, error) {
	return s.beginWith(config(7, 0, keys...), ledger, servers, hosts)
}

// beginWith is begin with any configuration and service.
func (s *system) beginWith(config map[string]any, service string, servers, hosts int) (list []*server, err error) {
	store, err := s.startStore()
	if err != nil {
		return nil, err
	}
	s.store.put("op/config", config)
	for n := 1; n <= servers; n++ {
		srv, err := s.startBackend(service, n)
		if err != nil {
			return nil, err
		}
		list = append(list, srv)
	}
	return list, s.startHosts(hosts, store)
}

// countStatus counts answers by status.
func countStatus(list []answer) map[int]int {
	n := map[int]int{}
	for _, x := range list {
		n[x.status]++
	}
	return n
}
