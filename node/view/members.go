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

// Process is one process of the system, joined from membership and the host list.
type Process struct {
	Host        ident.HostID
	Role        settings.Role
	Zone        ident.Zone
	Region      string
	Incarnation ident.Incarnation
	State       member.State
	Leaving     bool
	// Presumed is set for a process that only the host list names, in the first time after the start.
	Presumed bool
	// Entry is the host's line of the host list; its ID is empty when the list does not name the host.
	Entry platformapi.Host
}

// Usable tells whether new work may go to the process.
func (p *Process) Usable() bool { return p.State != member.Dead && !p.Leaving }

// gossipHandler keeps the methods of gossip.Handler out of View's own.
type gossipHandler View

// OnChange implements gossip.Handler. It runs on the gossip goroutine and must not call back into it.
func (h *gossipHandler) OnChange(a member.Action) {
	v := (*View)(h)
	switch a := a.(type) {
	case member.MemberChanged:
		v.log.WithFields(fields{
			"member": a.Member.ID, "state": a.Member.State, "leaving": a.Member.Leaving, "incarnation": a.Member.Incarnation.String(),
		}).Info("member changed")
		signal(v.dirty, struct{}{})
	case member.LeavingLearned:
		v.observe(a.Name, drain.Gossip, true)
		signal(v.dirty, struct{}{})
	case member.ConfigSeen:
		signal(v.configSeen, a.Config)
	}
}

func signal[T any](c chan T, x T) {
	select {
	case c <- x:
	default:
	}
}

// rebuildRoster joins membership with the host list.
func (v *View) rebuildRoster() {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
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
	roster := make([]Process, 0, len(members))
	for _, m := range members {
		known[m.ID] = true
		host, role := splitID(m.ID)
		e := entries[string(host)]
		roster = append(roster, Process{
			Host: host, Role: settings.Role(role), Zone: m.Zone, Region: regions[m.Zone], Incarnation: m.Incarnation,
			State: m.State, Leaving: m.Leaving || e.State == platformapi.Leaving, Entry: e,
		})
	}
	if v.Now() < startGrace {
		roster = append(roster, presumed(entries, known)...)
	}
	v.roster.Store(&roster)
}

// startGrace is the time after the start in which hosts of the list count as alive although membership
// has not heard them. Without it a starting process would take over all engine groups for a moment.
const startGrace = 3 * time.Second

// presumed returns the processes that the host list names and membership does not know.
func presumed(entries map[string]platformapi.Host, known map[member.ID]bool) []Process {
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

// Processes returns all known processes, this one included, dead ones too.
func (v *View) Processes() []Process { return *v.roster.Load() }

// Find returns a process.
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

// Gateways returns the gateways that take new work.
func (v *View) Gateways() []owner.Candidate { return v.candidates(settings.RoleGateway) }

func (v *View) candidates(role settings.Role) []owner.Candidate {
	var out []owner.Candidate
	for _, p := range v.Processes() {
		if p.Role == role && p.Usable() {
			out = append(out, owner.Candidate{Host: p.Host, Zone: p.Zone, Region: p.Region})
		}
	}
	return out
}

// Reachable tells whether membership considers the process alive and its zone was heard.
func (v *View) Reachable(host ident.HostID, role settings.Role) (ok bool) {
	if p, known := v.Find(host, role); known && p.Presumed {
		return true
	}
	v.gossip.View(func(m *member.Machine) { ok = m.Reachable(v.Now(), member.MakeID(host, string(role))) })
	return ok
}

// zoneModel is the key of a load.
type zoneModel struct {
	zone  ident.Zone
	model ident.Model
}

// ZoneLoad returns the latest load of a model in an availability zone. It is at most loadAge old.
func (v *View) ZoneLoad(zone ident.Zone, model ident.Model) (load member.ModelLoad, ok bool) {
	if loads := v.loads.Load(); loads != nil {
		load, ok = (*loads)[zoneModel{zone, model}]
	}
	return load, ok
}

// copyLoads keeps requests from asking the membership goroutine.
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

// TeamDemand returns the demand of the heavy teams over all gateways.
func (v *View) TeamDemand() (demand []member.TeamDemand) {
	v.gossip.View(func(m *member.Machine) { demand = m.Teams() })
	return demand
}

// GossipStats returns the counters of the gossip service as in and out bytes.
func (v *View) GossipStats() (in, out uint64) {
	s := v.gossip.Stats()
	return s.BytesIn, s.BytesOut
}

// SetLoad replaces the load that this process reports.
func (v *View) SetLoad(load []member.ModelLoad) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.load = load
}

// SetDemand replaces the team demand that this process reports.
func (v *View) SetDemand(demand []member.TeamDemand) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.demand = demand
}

// publish hands the own state to membership.
func (v *View) publish() {
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

// BackendLeaving tells whether a backend server takes no new work.
func (v *View) BackendLeaving(name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.backends.Leaving(ident.BackendID(name))
}

// MarkBackendLeaving tells all processes that a backend server is leaving, as its report or a refusal said.
// Call it again while the source still says so.
func (v *View) MarkBackendLeaving(name string) { v.markLeaving(name, drain.Report) }

func (v *View) markLeaving(name string, source drain.Source) {
	v.gossip.Enqueue(member.MarkLeaving{Name: name})
	if v.observe(name, source, true) {
		v.log.WithField("peer", name).Info("backend server is leaving")
		v.notify()
	}
}

func (v *View) observe(name string, source drain.Source, leaving bool) (changed bool) {
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

// joinSeeds gives membership the addresses to join through.
func (v *View) joinSeeds() {
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
