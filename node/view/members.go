package view

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/drain"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// Process describes a process of the system, joined from membership and the host list.
type Process struct {
	Host        ident.HostID
	Role        settings.Role
	Zone        ident.Zone
	Region      string
	Incarnation ident.Incarnation
	State       member.State
	Leaving     bool
	// Presumed is set, for a short time after the start, for a process that is in the host list but not yet
	// in membership.
	Presumed bool
	// Entry is the host's entry in the host list. Its ID is empty if the host is not in the list.
	Entry platformapi.Host
}

// Usable reports whether new requests may be sent to the process.
func (p *Process) Usable() bool { return p.State != member.Dead && !p.Leaving }

// Candidate returns the process as a candidate for responsibilities.
func (p *Process) Candidate() owner.Candidate {
	return owner.Candidate{Host: p.Host, Zone: p.Zone, Region: p.Region}
}

// gossipHandler implements gossip.Handler, to keep its methods out of View's API.
type gossipHandler View

// OnChange implements gossip.Handler. It runs on the gossip goroutine and must not call the gossip service.
func (h *gossipHandler) OnChange(a member.Action) {
	v := (*View)(h)
	switch a := a.(type) {
	case member.MemberChanged:
		v.log.WithFields(fields{
			"member": a.Member.ID, "state": a.Member.State, "leaving": a.Member.Leaving, "incarnation": a.Member.Incarnation.String(),
		}).Info("member changed")
		trySend(v.membersChanged, struct{}{})
	case member.LeavingLearned:
		v.observeBackend(a.Name, drain.Gossip, true)
		trySend(v.membersChanged, struct{}{})
	case member.ConfigSeen:
		trySend(v.configSeen, a.Config)
	}
}

func trySend[T any](c chan T, x T) {
	select {
	case c <- x:
	default:
	}
}

// rebuildProcesses rebuilds the process list from membership and the host list.
func (v *View) rebuildProcesses() {
	v.processesMu.Lock()
	defer v.processesMu.Unlock()
	var members []member.Member
	v.gossip.View(func(m *member.Machine) { members = m.Members() })
	entries := map[string]platformapi.Host{}
	regions := map[ident.Zone]string{v.Zone(): v.cfg.Settings.Region}
	if hosts := v.hosts.Load(); hosts != nil {
		for _, h := range hosts.Hosts {
			regions[ident.Zone(h.AvailabilityZone)] = h.Region
			if h.Kind == "entry" {
				entries[h.ID] = h
			}
		}
	}
	known := map[member.ID]bool{}
	processes := make([]Process, 0, len(members))
	for _, m := range members {
		known[m.ID] = true
		host, role := splitID(m.ID)
		e := entries[string(host)]
		processes = append(processes, Process{
			Host: host, Role: settings.Role(role), Zone: m.Zone, Region: regions[m.Zone], Incarnation: m.Incarnation,
			State: m.State, Leaving: m.Leaving || e.State == platformapi.Leaving, Entry: e,
		})
	}
	if v.Now() < startGrace {
		processes = append(processes, presumedProcesses(entries, known)...)
	}
	v.processes.Store(&processes)
}

// startGrace is the time after the start during which processes in the host list count as alive even if
// membership does not know them yet. Without it, a starting process would briefly take over all engine
// groups.
const startGrace = 3 * time.Second

// presumedProcesses returns the processes that are in the host list but not in membership.
func presumedProcesses(entries map[string]platformapi.Host, known map[member.ID]bool) []Process {
	var out []Process
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		e := entries[id]
		for role, address := range map[settings.Role]string{
			settings.RoleGateway: e.Address, settings.RoleDispatcher: e.LinkAddress,
		} {
			if address == "" || known[member.MakeID(ident.HostID(id), string(role))] {
				continue
			}
			out = append(out, Process{
				Host: ident.HostID(id), Role: role, Zone: ident.Zone(e.AvailabilityZone), Region: e.Region,
				State: member.Alive, Leaving: e.State == platformapi.Leaving, Presumed: true, Entry: e,
			})
		}
	}
	return out
}

// splitID is the inverse of member.MakeID.
func splitID(id member.ID) (ident.HostID, string) {
	host, role, _ := strings.Cut(string(id), "/")
	return ident.HostID(host), role
}

// Processes returns all known processes, including this one and dead ones.
func (v *View) Processes() []Process { return *v.processes.Load() }

// Find returns the process with the given host and role.
func (v *View) Find(host ident.HostID, role settings.Role) (Process, bool) {
	ps := v.Processes()
	i := slices.IndexFunc(ps, func(p Process) bool { return p.Host == host && p.Role == role })
	if i < 0 {
		return Process{}, false
	}
	return ps[i], true
}

// Dispatchers returns the candidates for the ownership of engine groups.
func (v *View) Dispatchers() []owner.Candidate { return v.candidates(settings.RoleDispatcher) }

// Gateways returns the gateways that accept new requests.
func (v *View) Gateways() []owner.Candidate { return v.candidates(settings.RoleGateway) }

func (v *View) candidates(role settings.Role) []owner.Candidate {
	var out []owner.Candidate
	for _, p := range v.Processes() {
		if p.Role == role && p.Usable() {
			out = append(out, p.Candidate())
		}
	}
	return out
}

// Reachable reports whether membership considers the process alive and its zone reachable. Presumed
// processes count as reachable.
func (v *View) Reachable(host ident.HostID, role settings.Role) (ok bool) {
	if p, known := v.Find(host, role); known && p.Presumed {
		return true
	}
	v.gossip.View(func(m *member.Machine) { ok = m.Reachable(v.Now(), member.MakeID(host, string(role))) })
	return ok
}

// zoneModel is the key of the loads map.
type zoneModel struct {
	zone  ident.Zone
	model ident.Model
}

// ZoneLoad returns the latest load of a model in an availability zone. Loads
// are copied from membership once per maxLoadAge.
func (v *View) ZoneLoad(zone ident.Zone, model ident.Model) (load member.ModelLoad, ok bool) {
	if loads := v.loads.Load(); loads != nil {
		load, ok = (*loads)[zoneModel{zone, model}]
	}
	return load, ok
}

// copyLoads copies the loads out of membership, so that requests don't have to query the membership
// goroutine.
func (v *View) copyLoads() {
	loads := map[zoneModel]member.ModelLoad{}
	zones := map[ident.Zone]bool{}
	for _, p := range v.Processes() {
		zones[p.Zone] = true
	}
	v.gossip.View(func(m *member.Machine) {
		for zone := range zones {
			for _, l := range m.Load(zone) {
				loads[zoneModel{zone, l.Model}] = l
			}
		}
	})
	v.loads.Store(&loads)
}

// TeamDemand returns the teams with the highest demand and their demand over all gateways.
func (v *View) TeamDemand() (demand []member.TeamDemand) {
	v.gossip.View(func(m *member.Machine) { demand = m.Teams() })
	return demand
}

// GossipStats returns the numbers of bytes received and sent by the gossip service.
func (v *View) GossipStats() (in, out uint64) {
	s := v.gossip.Stats()
	return s.BytesIn, s.BytesOut
}

// SetLoad sets the load that this process reports to membership.
func (v *View) SetLoad(load []member.ModelLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.load = load
}

// SetDemand sets the team demand that this process reports to membership.
func (v *View) SetDemand(demand []member.TeamDemand) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.demand = demand
}

// publishState passes the state of this process to membership.
func (v *View) publishState() {
	v.mu.Lock()
	local := member.LocalState{Load: v.load, Teams: v.demand, Leaving: v.leaving.Load()}
	v.mu.Unlock()
	if s := v.snapshot.Load(); s != nil {
		local.Config = member.ConfigVersion{Version: s.Version, Digest: s.ShortDigest()}
	}
	if h := v.hosts.Load(); h != nil {
		local.Hosts = h.Version
	}
	v.gossip.Enqueue(member.UpdateLocal{Local: local})
}

// BackendLeaving reports whether a backend server is leaving and must get no new requests.
func (v *View) BackendLeaving(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.backends.Leaving(ident.BackendID(name))
}

// MarkBackendLeaving announces to all processes that a backend server is leaving, as stated by its report
// or a refusal. The caller must repeat the call for as long as the source states it, because marks expire.
func (v *View) MarkBackendLeaving(name string) { v.markBackendLeaving(name, drain.Report) }

func (v *View) markBackendLeaving(name string, source drain.Source) {
	v.gossip.Enqueue(member.MarkLeaving{Name: name})
	if v.observeBackend(name, source, true) {
		v.log.WithField("peer", name).Info("backend server is leaving")
		v.notify()
	}
}

func (v *View) observeBackend(name string, source drain.Source, leaving bool) (changed bool) {
	var version uint64
	if h := v.hosts.Load(); h != nil {
		version = h.Version
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.backends.Observe(v.Now(), drain.Observation{
		Server: ident.BackendID(name), Source: source, Leaving: leaving, Stamp: drain.Stamp{ListVersion: version},
	})
}

// updateSeeds passes the gossip addresses to join through to membership.
func (v *View) updateSeeds() {
	var seeds []member.Seed
	for _, a := range v.cfg.Settings.Platform.GossipSeeds {
		seeds = append(seeds, member.Seed{Addr: member.Addr(a)})
	}
	if hosts := v.hosts.Load(); hosts != nil {
		for _, h := range hosts.Hosts {
			if h.Kind == "entry" && h.GossipAddress != "" && h.GossipAddress != v.cfg.GossipAddress {
				seeds = append(seeds, member.Seed{Addr: member.Addr(h.GossipAddress), Zone: ident.Zone(h.AvailabilityZone)})
			}
		}
	}
	v.gossip.Enqueue(member.Seeds{Seeds: seeds})
}
