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

// farPenalty is the advantage in predicted delay that another availability zone must have before a
// request leaves its own. Without it, small differences in load would move requests back and forth.
const farPenalty = 100 * time.Millisecond

// chooser picks the dispatcher of an attempt.
type chooser struct {
	g      *Gateway
	owners atomic.Pointer[map[ident.Model][]target]
	linked map[ident.HostID]string // used by refresh only
	heldAt atomic.Int64            // first call of ready, in nanoseconds of the view's clock
	up     atomic.Bool             // the first links stood, or linkGrace is over
}

// linkGrace bounds how long a starting gateway waits for its links. A dispatcher that is down must not
// keep it from serving with the others.
const linkGrace = 3 * time.Second

// target is a dispatcher with the engines of one model that it owns.
type target struct {
	host     ident.HostID
	zone     ident.Zone
	memory   int // of all its engines of the model
	largest  int // memory of its largest group: the longest request that it can serve
	nearZone bool
}

func newChooser(g *Gateway) *chooser {
	return &chooser{g: g, linked: map[ident.HostID]string{}}
}

// ready tells whether the links to all dispatchers that own engines stood once. Without this wait the
// requests of the first moments were refused with "no_backend". It stays true afterwards: a gateway that
// loses its links still serves plain services.
func (c *chooser) ready() (ok bool, reason string) {
	if c.up.Load() {
		return true, ""
	}
	now := int64(c.g.view.Now())
	c.heldAt.CompareAndSwap(0, now)
	missing, ok := c.missingLink()
	if ok || now-c.heldAt.Load() >= int64(linkGrace) {
		c.up.Store(true)
		return true, ""
	}
	return false, "no link yet to " + missing
}

// missingLink names a dispatcher that owns engines and has no link; ok is true if there is none.
func (c *chooser) missingLink() (name string, ok bool) {
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

// refresh keeps a link to each dispatcher of the region and recomputes who owns what.
func (c *chooser) refresh() {
	c.refreshLinks()
	s := c.g.view.Config()
	if s == nil {
		return
	}
	cands := c.g.view.Dispatchers()
	owners := map[ident.Model][]target{}
	for _, group := range s.Groups {
		if group.Region != c.g.cfg.Settings.Region {
			continue
		}
		host, ok := owner.Of(group, cands)
		if !ok {
			continue
		}
		c.addGroup(owners, host, cands, s.Group(group.Name))
	}
	c.owners.Store(&owners)
}

func (c *chooser) addGroup(owners map[ident.Model][]target, host ident.HostID, cands []owner.Candidate, engines []view.Backend) {
	memory := 0
	for _, e := range engines {
		if !c.g.view.BackendLeaving(string(e.ID)) {
			memory += e.MemoryTokens
		}
	}
	if memory == 0 {
		return
	}
	model := engines[0].Model
	for i := range owners[model] {
		if t := &owners[model][i]; t.host == host {
			t.memory += memory
			t.largest = max(t.largest, memory)
			return
		}
	}
	t := target{host: host, memory: memory, largest: memory}
	for _, cand := range cands {
		if cand.Host == host {
			t.zone = cand.Zone
		}
	}
	t.nearZone = t.zone == c.g.view.Zone()
	owners[model] = append(owners[model], t)
}

// refreshLinks follows the host list. A host that the list dropped keeps its link while membership
// knows it as alive, because the list lags.
func (c *chooser) refreshLinks() {
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
		if c.linked[host] != addr {
			c.linked[host] = addr
			c.g.client.Add(host, addr)
		}
	}
	for host := range c.linked {
		p, known := c.g.view.Find(host, settings.RoleDispatcher)
		if _, ok := listed[host]; !ok && (!known || p.State == member.Dead) {
			delete(c.linked, host)
			c.g.client.Remove(host)
		}
	}
}

// pick returns the link to the best dispatcher for a request of the given size, leaving out excluded
// ones. Among dispatchers of a zone the one with the fewest attempts of this gateway for its memory
// wins.
func (c *chooser) pick(model ident.Model, tokens int, excluded map[ident.HostID]bool) (*link.Peer, bool) {
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
		if excluded[t.host] || t.largest < tokens {
			continue
		}
		peer, up := c.g.client.Peer(t.host)
		if !up {
			continue
		}
		delay := c.delay(t, model)
		load := float64(outstanding[t.host]+1) / float64(t.memory)
		if best == nil || delay < bestDelay || (delay == bestDelay && load < bestLoad) {
			best, bestDelay, bestLoad = peer, delay, load
		}
	}
	return best, best != nil
}

func (c *chooser) delay(t *target, model ident.Model) time.Duration {
	load, _ := c.g.view.ZoneLoad(t.zone, model)
	if t.nearZone {
		return load.QueueDelay
	}
	return load.QueueDelay + farPenalty
}
