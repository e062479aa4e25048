package fleet

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/virtual"
)

// service is the only service of the simulation.
const service = "models"

// world is the state of one simulation run: hosts that follow a policy, engines, and a virtual clock.
type world struct {
	virtual.Clock
	profile  *Profile
	runtime  *catalog.Runtime
	rng      *rand.Rand // message losses, and jitter of the queue checks
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

// run simulates the workload until every request has ended.
func (w *world) run(list []arrival) {
	for _, a := range list {
		r := &request{arrival: a, deadline: a.at + fromMS(a.kind.DeadlineMS)}
		w.requests = append(w.requests, r)
		h := w.hosts[r.host]
		w.At(a.at, func() { h.policy.handleArrival(h, r) })
	}
	for _, h := range w.hosts {
		w.After(fullUpdateInterval, h.sendFullUpdates)
	}
	end := w.profile.duration()
	for _, k := range w.profile.Kinds {
		end = max(end, w.profile.duration()+2*fromMS(k.DeadlineMS))
	}
	w.Run(end)
}

func (w *world) network() time.Duration { return fromMS(w.profile.NetworkMS) }

func (w *world) partitions() int { return max(1, w.profile.Partitions) }

// serversOf returns the engines of a partition.
func (w *world) serversOf(partition int) []catalog.Server {
	n, parts := len(w.servers), w.partitions()
	return w.servers[partition*n/parts : (partition+1)*n/parts]
}
