package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strings"
)

const (
	validName    = "1 to 64 of the characters a-z, A-Z, 0-9, _ and -"
	validAddress = `an IP number and a port from 1 to 65535, such as "10.0.0.1:8080"; no host name`
	validURL     = `http or https, an IP number and a port, such as "http://10.0.0.5:7000"; no host name, no path`
	minTokenLen  = 16 // characters
	// minDescriptors leaves 50 connections of callers beside files, other hosts and the store.
	minDescriptors = 300
	maxDescriptors = 1 << 30
)

// namePattern excludes the dot, because it separates the fields of a ticket.
var namePattern = regexp.MustCompile(`^[a-zA-Z0-9_-]{1,64}$`)

type checker struct {
	file     string
	mistakes Mistakes
}

// add records a mistake. Only the first mistake of a key is recorded; otherwise a value of the wrong type
// would also be reported as missing.
func (c *checker) add(key string, value any, valid string) {
	if c.has(key) {
		return
	}
	text := ""
	switch v := value.(type) {
	case nil:
	case string:
		if v != "" {
			text = fmt.Sprintf("%q", v)
		}
	default:
		text = fmt.Sprint(v)
	}
	c.mistakes = append(c.mistakes, Mistake{File: c.file, Key: key, Value: text, Valid: valid})
}

func (c *checker) has(key string) bool {
	return slices.ContainsFunc(c.mistakes, func(m Mistake) bool { return m.Key == key })
}

func (c *checker) check(s *Settings, roles []Role) {
	c.name("host_id", s.HostID)
	c.name("region", s.Region)
	c.name("availability_zone", s.AvailabilityZone)
	for _, role := range roles {
		switch role {
		case RoleGateway:
			c.checkGateway(&s.Gateway)
		case RoleDispatcher:
			c.checkDispatcher(&s.Dispatcher)
		case RoleEntry:
			c.checkEntry(&s.Entry)
		}
	}
	if !slices.Equal(roles, []Role{RoleEntry}) {
		c.checkPlatform(&s.Platform)
		c.checkAdmin(&s.Admin)
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkTrace(&s.Trace)
}

func (c *checker) checkGateway(g *Gateway) {
	c.address("gateway.http_address", g.HTTPAddress)
	c.address("gateway.control_address", g.ControlAddress)
	c.address("gateway.gossip_address", g.GossipAddress)
	c.address("gateway.admin_address", g.AdminAddress)
	c.inRange("gateway.keep_ms", g.KeepMS, 1, 3_600_000)
	c.inRange("gateway.max_requests", int64(g.MaxRequests), 1, 1_000_000)
	c.inRange("gateway.max_prompt_bytes_held", g.MaxPromptBytesHeld, 8<<20, 1<<40)
	c.inRange("gateway.shutdown_ms", g.ShutdownMS, 1, 86_400_000)
	c.inRange("gateway.accept_queue_ms", g.AcceptQueueMS, 100, 60_000)
	c.inRange("gateway.memory_mb", g.MemoryMB, 0, 1<<20)
	c.descriptors("gateway.max_descriptors", g.MaxDescriptors)
}

func (c *checker) checkDispatcher(d *Dispatcher) {
	c.address("dispatcher.link_address", d.LinkAddress)
	c.address("dispatcher.control_address", d.ControlAddress)
	c.address("dispatcher.gossip_address", d.GossipAddress)
	c.address("dispatcher.admin_address", d.AdminAddress)
	c.inRange("dispatcher.report_ms", d.ReportMS, 20, 60_000)
	c.inRange("dispatcher.event_ring", int64(d.EventRing), 64, 1<<20)
	c.inRange("dispatcher.max_prompt_bytes_held", d.MaxPromptBytesHeld, 8<<20, 1<<40)
	c.inRange("dispatcher.shutdown_ms", d.ShutdownMS, 1, 86_400_000)
}

func (c *checker) checkAdmin(a *Admin) {
	if len(a.Token) < minTokenLen {
		c.addSecret("admin.token", a.Token, fmt.Sprintf("at least %d characters", minTokenLen))
	}
}

func (c *checker) checkEntry(e *Entry) {
	c.address("entry.http_address", e.HTTPAddress)
	c.address("entry.ready_address", e.ReadyAddress)
	c.address("entry.directory_address", e.DirectoryAddress)
	c.address("entry.control_address", e.ControlAddress)
	c.address("entry.store_address", e.StoreAddress)
	for _, a := range e.Peers {
		c.address("entry.peers", a)
	}
	c.inRange("entry.gossip_port", int64(e.GossipPort), 1, 65_535)
	c.inRange("entry.admin_port", int64(e.AdminPort), 0, 65_535)
	c.inRange("entry.address_ttl_ms", e.AddressTTLMS, 100, 600_000)
	c.inRange("entry.shutdown_ms", e.ShutdownMS, 1_000, 3_600_000)
	c.inRange("entry.retry_window_ms", e.RetryWindowMS, 100, 600_000)
	c.inRange("entry.max_hold_ms", e.MaxHoldMS, 1_000, 3_600_000)
	c.inRange("entry.release_ms", e.ReleaseMS, 2_000, 3_600_000)
	c.inRange("entry.evacuate_ms", e.EvacuateMS, 0, 3_600_000)
	c.inRange("entry.memory_mb", e.MemoryMB, 0, 1<<20)
	c.descriptors("entry.max_descriptors", e.MaxDescriptors)
	if !(e.RetryRatio >= 0 && e.RetryRatio <= 10) {
		c.add("entry.retry_ratio", e.RetryRatio, "0 to 10")
	}
	if !(e.RetrySlack >= 0 && e.RetrySlack <= 1e6) {
		c.add("entry.retry_slack", e.RetrySlack, "0 to 1000000")
	}
}

func (c *checker) checkPlatform(p *Platform) {
	c.url("platform.config_url", p.ConfigURL)
	c.url("platform.hosts_url", p.HostsURL)
	c.inRange("platform.hosts_ms", p.HostsMS, 50, 600_000)
	if !(p.ReadsPerS > 0 && p.ReadsPerS <= 2_000) {
		c.add("platform.reads_per_s", p.ReadsPerS, "above 0 and at most 2000")
	}
	if p.StartSpreadMS < 0 || p.StartSpreadMS > 60_000 {
		c.add("platform.start_spread_ms", p.StartSpreadMS, "0 to 60000")
	}
	for _, a := range p.Peers {
		c.address("platform.peers", a)
	}
	for _, a := range p.GossipSeeds {
		c.address("platform.gossip_seeds", a)
	}
}

func (c *checker) checkTrace(t *Trace) {
	c.oneOf("trace.exporter", t.Exporter, "none", "stdout", "otlp")
	if t.Exporter == "otlp" || t.OTLPURL != "" {
		c.url("trace.otlp_url", t.OTLPURL)
	}
	if !(t.SampleRatio >= 0 && t.SampleRatio <= 1) {
		c.add("trace.sample_ratio", t.SampleRatio, "0 to 1")
	}
}

// addSecret records an invalid secret without including its value.
func (c *checker) addSecret(key, value, valid string) {
	if value == "" {
		c.add(key, nil, valid)
		return
	}
	c.add(key, fmt.Sprintf("(%d characters)", len(value)), valid)
}

func (c *checker) name(key, value string) {
	if !namePattern.MatchString(value) {
		c.add(key, value, validName)
	}
}

func (c *checker) address(key, value string) {
	ap, err := netip.ParseAddrPort(value)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		c.add(key, value, validAddress)
	}
}

func (c *checker) url(key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || strings.Trim(u.Path, "/") != "" || u.User != nil || u.RawQuery != "" {
		c.add(key, value, validURL)
		return
	}
	if ap, err := netip.ParseAddrPort(u.Host); err != nil || ap.Port() == 0 {
		c.add(key, value, validURL)
	}
}

func (c *checker) inRange(key string, value, low, high int64) {
	if value < low || value > high {
		c.add(key, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// descriptors checks a limit of descriptors. Zero stands for that of the process.
func (c *checker) descriptors(key string, value int64) {
	if value != 0 && (value < minDescriptors || value > maxDescriptors) {
		c.add(key, value, fmt.Sprintf("0 or %d to %d", minDescriptors, maxDescriptors))
	}
}

func (c *checker) oneOf(key, value string, valid ...string) {
	if !slices.Contains(valid, value) {
		c.add(key, value, "one of "+strings.Join(valid, ", "))
	}
}
