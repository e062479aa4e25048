package member

import "time"

// versionTracker tracks the highest versions that other members announced.
type versionTracker struct {
	config     ConfigVersion
	configFrom ID
	hosts      uint64 // version of the host list
	hostsFrom  ID
	lastSeen   ConfigVersion // of the last ConfigSeen
	lastSeenAt time.Duration
}

// configSeenInterval is the minimum time between two ConfigSeen actions for the same version. Repeating the
// action lets the caller fetch the configuration from another member.
const configSeenInterval = time.Second

// trackVersions records the versions that a sender announces, and emits ConfigSeen if its configuration is
// newer than this process's or conflicts with it.
func (m *Machine) trackVersions(h *Head) {
	s := &m.versions
	if h.Config.Version > s.config.Version {
		s.config, s.configFrom = h.Config, h.ID
	}
	if h.Hosts > s.hosts {
		s.hosts, s.hostsFrom = h.Hosts, h.ID
	}
	own := m.local.Config
	differs := h.Config.Version == own.Version && h.Config.Digest != own.Digest
	if h.Config.Version < own.Version || h.Config.Version == own.Version && !differs {
		return
	}
	if h.Config == s.lastSeen && m.now-s.lastSeenAt < configSeenInterval {
		return
	}
	s.lastSeen, s.lastSeenAt = h.Config, m.now
	m.emit(ConfigSeen{Config: h.Config, From: h.ID})
}

// NewestVersions returns the highest known configuration and host list versions, each with a member that
// has it.
func (m *Machine) NewestVersions() (config ConfigVersion, configFrom ID, hosts uint64, hostsFrom ID) {
	s := &m.versions
	config, configFrom, hosts, hostsFrom = s.config, s.configFrom, s.hosts, s.hostsFrom
	if m.local.Config.Version >= config.Version {
		config, configFrom = m.local.Config, m.cfg.Self
	}
	if m.local.Hosts >= hosts {
		hosts, hostsFrom = m.local.Hosts, m.cfg.Self
	}
	return config, configFrom, hosts, hostsFrom
}
