package view

import (
	"context"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/drain"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/internal/ctxtime"
	"github.com/rosemaryhill/rosemaryhill/transport/control"
)

// followHosts keeps the host list up to date. Watchers read it from the platform; other processes fetch it
// from a peer when gossip announces a newer version.
func (v *View) followHosts(ctx context.Context) {
	if !v.hostsFromPeers(ctx) {
		ctxtime.Sleep(ctx, v.startDelay())
	}
	period := time.Duration(v.cfg.Settings.Platform.HostsMS) * time.Millisecond
	for ctx.Err() == nil {
		switch {
		case v.isWatcher():
			v.hostsFromPlatform(ctx)
		case v.newerHostsKnown():
			if !v.hostsFromPeers(ctx) {
				v.hostsFromPlatform(ctx)
			}
		}
		if v.hosts.Load() == nil && !v.hostsFromPeers(ctx) {
			v.hostsFromPlatform(ctx)
		}
		if v.hosts.Load() == nil {
			ctxtime.Sleep(ctx, notReadyRetry)
			continue
		}
		ctxtime.Sleep(ctx, period)
	}
}

// newerHostsKnown reports whether gossip has announced a newer host list than the current one.
func (v *View) newerHostsKnown() (newer bool) {
	current := uint64(0)
	if h := v.hosts.Load(); h != nil {
		current = h.Version
	}
	v.gossip.View(func(m *member.Machine) {
		_, _, seen, _ := m.NewestVersions()
		newer = seen > current
	})
	return newer
}

func (v *View) hostsFromPlatform(ctx context.Context) {
	got, err := v.platform.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			v.log.WithFields(fields{"step": "hosts", "error": err.Error()}).Warn("host list not read")
		}
		return
	}
	v.mu.Lock()
	v.lastPlatformRead = v.Now()
	v.mu.Unlock()
	v.installHosts(got)
}

func (v *View) hostsFromPeers(ctx context.Context) bool {
	for _, addr := range v.peers() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		r, err := v.control.Hosts(call, addr, &control.HostsRequest{})
		cancel()
		if err != nil {
			v.log.WithFields(fields{"step": "hosts_peer", "peer": addr, "error": err.Error()}).Debug("host list not read from peer")
			continue
		}
		if len(r.Hosts.Hosts) > 0 && v.installHosts(r.Hosts) {
			return true
		}
	}
	return false
}

// installHosts makes list the current host list unless its version is not newer than the current one.
func (v *View) installHosts(list platformapi.Hosts) (newer bool) {
	old := v.hosts.Load()
	if old != nil && list.Version <= old.Version {
		v.refreshLeavingMarks(old)
		return false
	}
	v.hosts.Store(&list)
	v.refreshLeavingMarks(&list)
	v.updateSeeds()
	v.rebuildProcesses()
	if s := v.snapshot.Load(); s != nil {
		v.installConfig(s.Config)
	}
	v.publishState()
	v.notify()
	v.log.WithFields(fields{"version": list.Version, "hosts": len(list.Hosts)}).Info("host list updated")
	return true
}

// refreshLeavingMarks records the states of the backend servers in the host list. A leaving mark must be
// repeated for as long as the list says so, because membership lets marks expire.
func (v *View) refreshLeavingMarks(list *platformapi.Hosts) {
	for _, h := range list.Hosts {
		switch {
		case h.Kind == "entry":
		case h.State == platformapi.Leaving:
			v.markBackendLeaving(h.ID, drain.HostList)
		default:
			v.observeBackend(h.ID, drain.HostList, false)
		}
	}
}
