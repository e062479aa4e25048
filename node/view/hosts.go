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

// followHosts keeps the host list up to date. Watchers read the platform; the others fetch from a peer
// when gossip tells of a newer list.
func (v *View) followHosts(ctx context.Context) {
	if !v.hostsFromPeers(ctx) {
		ctxtime.Sleep(ctx, v.spread())
	}
	period := time.Duration(v.cfg.Settings.Platform.HostsMS) * time.Millisecond
	for ctx.Err() == nil {
		switch {
		case v.watcher():
			v.hostsFromPlatform(ctx)
		case v.newerHosts():
			if !v.hostsFromPeers(ctx) {
				v.hostsFromPlatform(ctx)
			}
		}
		if v.hosts.Load() == nil && !v.hostsFromPeers(ctx) {
			v.hostsFromPlatform(ctx)
		}
		if v.hosts.Load() == nil {
			ctxtime.Sleep(ctx, unreadyRetry)
			continue
		}
		ctxtime.Sleep(ctx, period)
	}
}

func (v *View) newerHosts() (newer bool) {
	held := uint64(0)
	if h := v.hosts.Load(); h != nil {
		held = h.Version
	}
	v.gossip.View(func(m *member.Machine) {
		_, _, seen, _ := m.NewestVersions()
		newer = seen > held
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
	v.heardAt = v.Now()
	v.mu.Unlock()
	v.takeHosts(got)
}

func (v *View) hostsFromPeers(ctx context.Context) bool {
	for _, addr := range v.peers() {
		call, cancel := context.WithTimeout(ctx, peerTimeout)
		r, err := v.control.Hosts(call, addr, &control.HostsRequest{})
		cancel()
		if err != nil {
			v.log.WithFields(fields{"step": "hosts_peer", "peer": addr, "error": err.Error()}).Debug("peer not read")
			continue
		}
		if len(r.Hosts.Hosts) > 0 && v.takeHosts(r.Hosts) {
			return true
		}
	}
	return false
}

// takeHosts installs a host list unless an equal or newer one is held.
func (v *View) takeHosts(list platformapi.Hosts) (newer bool) {
	old := v.hosts.Load()
	if old != nil && list.Version <= old.Version {
		v.repeatMarks(old)
		return false
	}
	v.hosts.Store(&list)
	v.repeatMarks(&list)
	v.joinSeeds()
	v.rebuildRoster()
	if s := v.snapshot.Load(); s != nil {
		v.install(s.Config)
	}
	v.publish()
	v.notify()
	v.log.WithFields(fields{"version": list.Version, "hosts": len(list.Hosts)}).Info("host list")
	return true
}

// repeatMarks passes the states of backend servers on. Leaving marks must be repeated while the list
// says so, because membership lets them expire.
func (v *View) repeatMarks(list *platformapi.Hosts) {
	for _, h := range list.Hosts {
		switch {
		case h.Kind == "entry":
		case h.State == platformapi.Leaving:
			v.markLeaving(h.ID, drain.HostList)
		default:
			v.observe(h.ID, drain.HostList, false)
		}
	}
}
