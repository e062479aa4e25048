package fleet

import (
	"container/heap"
	"fmt"
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// service is the only service of the emulation.
const service = "models"

// world is one run: a policy, its hosts and engines, and virtual time.
type world struct {
	profile  *Profile
	runtime  *catalog.Runtime
	now      time.Duration
	queue    eventHeap
	sequence uint64
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
		r := &request{arrival: a, deadline: a.at + fromMS(a.kind.DeadlineMS), lastTry: 1}
		w.requests = append(w.requests, r)
		w.at(a.at, func() { w.hosts[r.host].arrive(r) })
	}
	for _, h := range w.hosts {
		w.after(fullExchange, h.exchangeAll)
	}
	end := w.profile.length()
	for _, k := range w.profile.Kinds {
		end = max(end, w.profile.length()+2*fromMS(k.DeadlineMS))
	}
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
}

func (w *world) network() time.Duration { return fromMS(w.profile.NetworkMS) }

// event is something that happens at a time. Events of one time keep the order in which they were made.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

func (w *world) at(t time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{t, w.sequence, run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
