package gateway

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/owner"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/node/view"
	"github.com/rosemaryhill/rosemaryhill/transport/link"
)

// crossZonePenalty is added to the predicted delay of dispatchers in other availability zones. Without it,
// small differences in load would move requests back and forth between zones.
const crossZonePenalty = 100 * time.Millisecond

// dispatcherPicker selects the dispatcher that gets an attempt.
type dispatcherPicker struct {
	g               *Gateway
	ownership       atomic.Pointer[ownership]
	linkAddresses   map[ident.HostID]string // by dispatcher host; used by refresh only
	firstReadyCheck atomic.Int64            // time of the first call of ready, in nanoseconds of the view's clock
	linksReady      atomic.Bool             // all links were up once, or linkGrace has passed
}

// linkGrace bounds how long a starting gateway waits for its links before it reports ready. A dispatcher
// that is down must not keep the gateway from serving requests through the others.
const linkGrace = 3 * time.Second

// ownership holds the dispatchers that own the engine groups of the region.
type ownership struct {
	byModel map[ident.Model][]ownerDispatcher
	// fallback holds the owners if the dispatchers that this process takes for leaving or dead are counted too.
	fallback map[ident.Model][]ownerDispatcher
	unowned  string // name of a group without an owner, because no dispatcher of the region is known yet; empty if none
}

// ownerDispatcher is a dispatcher with the engines of one model that it owns.
type ownerDispatcher struct {
	host         ident.HostID
	zone         ident.Zone
	totalMemory  int // memory tokens of all its engines of the model
	largestGroup int // memory tokens of its largest engine group: the longest request that it can serve
	sameZone     bool
}

func newDispatcherPicker(g *Gateway) *dispatcherPicker {
	return &dispatcherPicker{g: g, linkAddresses: map[ident.HostID]string{}}
}

// ready reports whether every engine group had an owner and the links to all owners were up at the same time, or
// linkGrace has passed. Without this wait, requests right after the start are refused with "no_backend". It stays true
// afterwards: a gateway that loses its links still serves plain services.
func (dp *dispatcherPicker) ready() (ok bool, reason string) {
	if dp.linksReady.Load() {
		return true, ""
	}
	now := int64(dp.g.view.Now())
	dp.firstReadyCheck.CompareAndSwap(0, now)
	missing, ok := dp.missingLink()
	if ok || now-dp.firstReadyCheck.Load() >= int64(linkGrace) {
		dp.linksReady.Store(true)
		return true, ""
	}
	return false, "no link yet to " + missing
}

// missingLink returns the name of a dispatcher that owns engines and has no link; ok is true if there is none.
func (dp *dispatcherPicker) missingLink() (name string, ok bool) {
	owned := dp.ownership.Load()
	if owned == nil {
		return "any dispatcher", false
	}
	if owned.unowned != "" {
		return "any dispatcher for engine group " + owned.unowned, false
	}
	for _, targets := range owned.byModel {
		for _, t := range targets {
			if _, up := dp.g.client.Peer(t.host); !up {
				return "the dispatcher of " + string(t.host), false
			}
		}
	}
	return "", true
}

// refresh updates the links to the dispatchers of the region and recomputes the owner of each engine group.
func (dp *dispatcherPicker) refresh() {
	dp.refreshLinks()
	s := dp.g.view.Config()
	if s == nil {
		return
	}
	owned := dp.assignGroups(s, dp.g.view.Dispatchers())
	owned.fallback = dp.assignGroups(s, dp.linkedDispatchers()).byModel
	dp.ownership.Store(owned)
}

// linkedDispatchers returns the dispatchers of the region that this gateway has a link to, whatever their state in
// membership.
func (dp *dispatcherPicker) linkedDispatchers() (out []owner.Candidate) {
	for _, p := range dp.g.view.Processes() {
		if p.Role != settings.RoleDispatcher {
			continue
		}
		if _, up := dp.g.client.Peer(p.Host); up {
			out = append(out, p.Candidate())
		}
	}
	return out
}

// assignGroups assigns the engine groups of the region to dispatchers.
func (dp *dispatcherPicker) assignGroups(s *view.Snapshot, candidates []owner.Candidate) *ownership {
	owned := &ownership{byModel: map[ident.Model][]ownerDispatcher{}}
	for _, group := range s.Groups {
		if group.Region != dp.g.cfg.Settings.Region {
			continue
		}
		host, ok := owner.Of(group, candidates)
		if !ok {
			owned.unowned = group.Name
			continue
		}
		dp.addGroup(owned.byModel, host, candidates, s.Group(group.Name))
	}
	return owned
}

func (dp *dispatcherPicker) addGroup(owners map[ident.Model][]ownerDispatcher, host ident.HostID, candidates []owner.Candidate, engines []view.Backend) {
	memory := 0
	for _, e := range engines {
		if !dp.g.view.BackendLeaving(string(e.ID)) {
			memory += e.MemoryTokens
		}
	}
	if memory == 0 {
		return
	}
	model := engines[0].Model
	for i := range owners[model] {
		if t := &owners[model][i]; t.host == host {
			t.totalMemory += memory
			t.largestGroup = max(t.largestGroup, memory)
			return
		}
	}
	t := ownerDispatcher{host: host, totalMemory: memory, largestGroup: memory}
	for _, cand := range candidates {
		if cand.Host == host {
			t.zone = cand.Zone
		}
	}
	t.sameZone = t.zone == dp.g.view.Zone()
	owners[model] = append(owners[model], t)
}

// refreshLinks opens and closes links to match the host list. A host that was removed from the list keeps
// its link until membership considers it dead, because the list lags behind.
func (dp *dispatcherPicker) refreshLinks() {
	hosts := dp.g.view.Hosts()
	if hosts == nil {
		return
	}
	listed := map[ident.HostID]string{}
	for _, h := range hosts.Hosts {
		if h.Kind == "entry" && h.LinkAddress != "" && h.Region == dp.g.cfg.Settings.Region {
			listed[ident.HostID(h.ID)] = h.LinkAddress
		}
	}
	for host, addr := range listed {
		if dp.linkAddresses[host] != addr {
			dp.linkAddresses[host] = addr
			dp.g.client.Add(host, addr)
		}
	}
	for host := range dp.linkAddresses {
		p, known := dp.g.view.Find(host, settings.RoleDispatcher)
		if _, ok := listed[host]; !ok && (!known || p.State == member.Dead) {
			delete(dp.linkAddresses, host)
			dp.g.client.Remove(host)
		}
	}
}

// pick returns the link to a dispatcher for a request of the given size, leaving out excluded ones.
func (dp *dispatcherPicker) pick(model ident.Model, tokens int, excluded map[ident.HostID]bool) (*link.Peer, bool) {
	owned := dp.ownership.Load()
	if owned == nil {
		return nil, false
	}
	if peer, ok := dp.pickOwner(owned.byModel[model], model, tokens, excluded); ok {
		return peer, true
	}
	// Membership may lag behind: a dispatcher that has just started again can still count as leaving here, while the
	// others have already given its engines back.
	return dp.pickOwner(owned.fallback[model], model, tokens, excluded)
}

// pickOwner returns the link to the owner with the lowest predicted delay. Among owners with equal delay, such as those
// of one zone, it takes the one with the fewest outstanding attempts of this gateway relative to its memory.
func (dp *dispatcherPicker) pickOwner(owners []ownerDispatcher, model ident.Model, tokens int, excluded map[ident.HostID]bool) (*link.Peer, bool) {
	outstanding := dp.g.routes.outstanding()
	var best *link.Peer
	var bestDelay time.Duration
	var bestLoad float64
	offset := rand.IntN(len(owners) + 1)
	for i := range owners {
		t := &owners[(i+offset)%len(owners)]
		if excluded[t.host] || t.largestGroup < tokens {
			continue
		}
		peer, up := dp.g.client.Peer(t.host)
		if !up {
			continue
		}
		delay := dp.predictedDelay(t, model)
		load := float64(outstanding[t.host]+1) / float64(t.totalMemory)
		if best == nil || delay < bestDelay || (delay == bestDelay && load < bestLoad) {
			best, bestDelay, bestLoad = peer, delay, load
		}
	}
	return best, best != nil
}

func (dp *dispatcherPicker) predictedDelay(t *ownerDispatcher, model ident.Model) time.Duration {
	load, _ := dp.g.view.ZoneLoad(t.zone, model)
	if t.sameZone {
		return load.QueueDelay
	}
	return load.QueueDelay + crossZonePenalty
}
