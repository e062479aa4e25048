package fleet

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/virtual"
)

// service is the only service of the emulation.
const service = "models"

// world is one run: a policy, its hosts and engines, and virtual time.
type world struct {
	virtual.Clock
	profile  *Profile
	runtime  *catalog.Runtime
	rng      *rand.Rand // losses of messages, and draws of the policy
	servers  []catalog.Server
	engines  []*engine
	byID     map[ident.BackendID]*engine
	hosts    []*host
	requests []*request
}

func newWorld(p *Profile, policy Policy, seed int64) *world {
	w := &world{profile: p, runtime: p.Engine.runtime(), rng: rand.New(rand.NewSource(seed + 1)), byID: map[ident.BackendID]*engine{}}
	for i := range p.Engines {
		s := catalog.Server{ID: ident.BackendID(fmt.Sprintf("e%02d", i)), Service: service, Slots: p.Engine.Slots}
		e := &engine{w: w, index: i}
		w.servers, w.engines = append(w.servers, s), append(w.engines, e)
		w.byID[s.ID] = e
	}
	for i := range p.Hosts {
		w.hosts = append(w.hosts, newHost(w, i, policy))
	}
	return w
}

// run serves the workload until the last request has ended.
func (w *world) run(list []arrival) {
	for _, a := range list {
		r := &request{arrival: a, deadline: a.at + fromMS(a.kind.DeadlineMS)}
		w.requests = append(w.requests, r)
		h := w.hosts[r.host]
		w.At(a.at, func() { h.decide.arrive(h, r) })
	}
	for _, h := range w.hosts {
		w.After(fullExchange, h.exchangeAll)
	}
	end := w.profile.length()
	for _, k := range w.profile.Kinds {
		end = max(end, w.profile.length()+2*fromMS(k.DeadlineMS))
	}
	w.Run(end)
}

func (w *world) network() time.Duration { return fromMS(w.profile.NetworkMS) }
