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
	owners          atomic.Pointer[map[ident.Model][]target]
	linkAddresses   map[ident.HostID]string // by dispatcher host; used by refresh only
	firstReadyCheck atomic.Int64            // time of the first call of ready, in nanoseconds of the view's clock
	linksReady      atomic.Bool             // all links were up once, or linkGrace has passed
}

// linkGrace bounds how long a starting gateway waits for its links before it reports ready. A dispatcher
// that is down must not keep the gateway from serving with the others.
const linkGrace = 3 * time.Second

// target is a dispatcher with the engines of one model that it owns.
type target struct {
	host         ident.HostID
	zone         ident.Zone
	totalMemory  int // memory tokens of all its engines of the model
	largestGroup int // memory tokens of its largest engine group: the longest request that it can serve
	sameZone     bool
}

func newDispatcherPicker(g *Gateway) *dispatcherPicker {
	return &dispatcherPicker{g: g, linkAddresses: map[ident.HostID]string{}}
}

// ready reports whether the links to all dispatchers that own engines have been up at the same time. Without
// this wait, requests right after the start were refused with "no_backend". It stays true afterwards: a
// gateway that loses its links still serves plain services.
func (c *dispatcherPicker) ready() (ok bool, reason string) {
	if c.linksReady.Load() {
		return true, ""
	}
	now := int64(c.g.view.Now())
	c.firstReadyCheck.CompareAndSwap(0, now)
	missing, ok := c.missingLink()
	if ok || now-c.firstReadyCheck.Load() >= int64(linkGrace) {
		c.linksReady.Store(true)
		return true, ""
	}
	return false, "no link yet to " + missing
}

// missingLink returns the name of a dispatcher that owns engines and has no link; ok is true if there is none.
func (c *dispatcherPicker) missingLink() (name string, ok bool) {
	owners := c.owners.Load()
	if owners == nil {
		return "any dispatcher", false
	}
	for _, targets := range *owners {
		for _, t := range targets {
			if _, up := c.g.client.Peer(t.host); !up {
				return "the dispatcher of " + string(t.host), false
			}
		}
	}
	return "", true
}

// refresh updates the links to the dispatchers of the region and recomputes the owner of each engine group.
func (c *dispatcherPicker) refresh() {
	c.refreshLinks()
	s := c.g.view.Config()
	if s == nil {
		return
	}
	candidates := c.g.view.Dispatchers()
	owners := map[ident.Model][]target{}
	for _, group := range s.Groups {
		if group.Region != c.g.cfg.Settings.Region {
			continue
		}
		host, ok := owner.Of(group, candidates)
		if !ok {
			continue
		}
		c.addGroup(owners, host, candidates, s.Group(group.Name))
	}
	c.owners.Store(&owners)
}

func (c *dispatcherPicker) addGroup(owners map[ident.Model][]target, host ident.HostID, candidates []owner.Candidate, engines []view.Backend) {
	memory := 0
	for _, e := range engines {
		if !c.g.view.Leaving(string(e.ID)) {
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
	t := target{host: host, totalMemory: memory, largestGroup: memory}
	for _, cand := range candidates {
		if cand.Host == host {
			t.zone = cand.Zone
		}
	}
	t.sameZone = t.zone == c.g.view.Zone()
	owners[model] = append(owners[model], t)
}

// refreshLinks opens and closes links to match the host list. A host that was removed from the list keeps
// its link until membership considers it dead, because the list lags behind.
func (c *dispatcherPicker) refreshLinks() {
	hosts := c.g.view.Hosts()
	if hosts == nil {
		return
	}
	listed := map[ident.HostID]string{}
	for _, h := range hosts.Hosts {
		if h.Kind == "entry" && h.LinkAddress != "" && h.Region == c.g.cfg.Settings.Region {
			listed[ident.HostID(h.ID)] = h.LinkAddress
		}
	}
	for host, addr := range listed {
		if c.linkAddresses[host] != addr {
			c.linkAddresses[host] = addr
			c.g.client.Add(host, addr)
		}
	}
	for host := range c.linkAddresses {
		p, known := c.g.view.Find(host, settings.RoleDispatcher)
		if _, ok := listed[host]; !ok && (!known || p.State == member.Dead) {
			delete(c.linkAddresses, host)
			c.g.client.Remove(host)
		}
	}
}

// pick returns the link to the dispatcher with the lowest predicted delay for a request of the given size,
// leaving out excluded ones. Among dispatchers with equal delay, such as those of one zone, it takes the one
// with the fewest outstanding attempts of this gateway relative to its memory.
func (c *dispatcherPicker) pick(model ident.Model, tokens int, excluded map[ident.HostID]bool) (*link.Peer, bool) {
	owners := c.owners.Load()
	if owners == nil {
		return nil, false
	}
	outstanding := c.g.routes.outstanding()
	var best *link.Peer
	var bestDelay time.Duration
	var bestLoad float64
	offset := rand.IntN(len((*owners)[model]) + 1)
	for i := range (*owners)[model] {
		t := &(*owners)[model][(i+offset)%len((*owners)[model])]
		if excluded[t.host] || t.largestGroup < tokens {
			continue
		}
		peer, up := c.g.client.Peer(t.host)
		if !up {
			continue
		}
		delay := c.predictedDelay(t, model)
		load := float64(outstanding[t.host]+1) / float64(t.totalMemory)
		if best == nil || delay < bestDelay || (delay == bestDelay && load < bestLoad) {
			best, bestDelay, bestLoad = peer, delay, load
		}
	}
	return best, best != nil
}

func (c *dispatcherPicker) predictedDelay(t *target, model ident.Model) time.Duration {
	load, _ := c.g.view.ZoneLoad(t.zone, model)
	if t.sameZone {
		return load.QueueDelay
	}
	return load.QueueDelay + crossZonePenalty
}
