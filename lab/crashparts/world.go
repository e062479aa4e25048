// Package crashparts simulates entry hosts, servers and requests with a part that crashes servers, in virtual time, to
// compare ways in which the hosts can share the evidence. Hosts run the production code of core/quarantine, and
// core/peers chooses who gets their reports. The same scenario and seed give the same result.
package crashparts

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/partition"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/virtual"
)

const (
	enginesPerHost = 3.5
	minEngines     = 21
	zones          = 3
	requestsPerS   = 10 // at each host
	firstParts     = 60 // shared by sound requests and those with the bad part
	badShare       = 0.05
	badPart        = quarantine.Part(1_000_000)
	firstEvent     = 80 * time.Millisecond // from the sending of a request, or until its server crashes
	restart        = 3 * time.Second       // of a server
	attempts       = 2                     // of a host, for each request
	calm           = 12 * time.Second      // before the first request with the bad part
	restartHosts   = calm + time.Second
	length         = 30 * time.Second
	graceTime      = 3 * time.Second // after the fifth crash
	graceCrashes   = 5
	tickInterval   = 100 * time.Millisecond
	intervals      = 124 // report intervals whose receivers are determined; more than a run has
)

// fleet holds what does not change between the runs with the same number of hosts.
type fleet struct {
	engines [][]int   // by host: those on which it places requests
	targets [][][]int // by host and report interval: the receivers
	count   int       // of engines
}

// newFleet lets core/peers divide the fleet and choose the receivers of the reports. All hosts start at the same time,
// which makes them send to the same far peers in each interval.
func newFleet(hosts int) *fleet {
	f := &fleet{count: max(minEngines, int(enginesPerHost*float64(hosts)))}
	var nodes []partition.Node
	for i := range f.count {
		nodes = append(nodes, partition.Node{ID: fmt.Sprintf("e%d", i), Zone: uint32(i % zones)})
	}
	index := map[member.Addr]int{}
	var addrs []member.Addr
	for i := range hosts {
		addrs = append(addrs, member.Addr(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)))
		index[addrs[i]] = i
	}
	for i, self := range addrs {
		t := peers.NewTable()
		t.SetSelf(self, uint32(i%zones))
		for j, a := range addrs {
			if i != j {
				status := peers.Status{Incarnation: 1, Ready: true, Zone: uint32(j % zones)}
				t.Observe(0, a, peers.Report{Status: status, Validity: time.Hour})
			}
		}
		t.SetServices(map[string][]partition.Node{"models": nodes})
		t.Replan(0)
		f.addHost(t, nodes, index)
	}
	return f
}

func (f *fleet) addHost(t *peers.Table, nodes []partition.Node, index map[member.Addr]int) {
	var engines []int
	for i, n := range nodes {
		if t.OwnsPartition(t.PartitionOf(ident.BackendID(n.ID))) {
			engines = append(engines, i)
		}
	}
	const announced = 4 // intervals after the start with reports to everybody
	var targets [][]int
	for i := range intervals + announced {
		x := t.IntervalTargets(peers.Status{Incarnation: 1, Ready: true})
		if i < announced {
			continue
		}
		var to []int
		for _, a := range slices.Concat(x.Near, x.Far) {
			to = append(to, index[a])
		}
		targets = append(targets, to)
	}
	f.engines, f.targets = append(f.engines, engines), append(f.targets, targets)
}

// Scenario is a run.
type Scenario struct {
	Candidate Candidate
	Hosts     int
	Loss      float64 // share of datagrams lost
	Restarts  bool    // a third of the hosts starts again 1 s after the first request with the bad part
	Seed      int64
}

type host struct {
	index       int
	table       *quarantine.Table
	bytes       [length/time.Second + 1]int // sent in each second
	quarantined time.Duration               // when the host first had the bad part in quarantine
}

type server struct {
	id      quarantine.Server
	down    time.Duration // until then
	waiting []*request
}

type request struct {
	host     *host
	parts    []quarantine.Part
	bad      bool
	attempts int
}

// world is the state of a run.
type world struct {
	virtual.Clock
	Scenario
	*fleet
	rng     *rand.Rand
	hosts   []*host
	servers []*server
	result  Result
	crashes []time.Duration
	badSent []time.Duration
}

func run(f *fleet, s Scenario) Result {
	w := &world{Scenario: s, fleet: f, rng: rand.New(rand.NewSource(s.Seed))}
	for i := range s.Hosts {
		w.hosts = append(w.hosts, &host{index: i, table: quarantine.NewTable(w.Now(), quarantine.Config{})})
	}
	for range f.count {
		w.servers = append(w.servers, &server{id: quarantine.Server{Service: 1, Lifetime: w.lifetime()}})
	}
	for _, h := range w.hosts {
		w.nextRequest(h)
		w.After(w.within(tickInterval), func() { w.tick(h) })
		w.After(w.within(peers.ReportInterval), func() { w.nextReport(h, 0) })
	}
	if s.Restarts {
		w.At(restartHosts, w.restartThird)
	}
	w.Run(length)
	w.measure()
	return w.result
}

func (w *world) lifetime() quarantine.Lifetime { return quarantine.Lifetime(w.rng.Uint64()) }

func (w *world) within(d time.Duration) time.Duration { return time.Duration(w.rng.Int63n(int64(d))) }

func (w *world) nextRequest(h *host) {
	w.After(time.Duration(w.rng.ExpFloat64()/requestsPerS*float64(time.Second)), func() {
		r := &request{host: h, parts: []quarantine.Part{quarantine.Part(1 + w.rng.Intn(firstParts))}}
		if r.bad = w.rng.Float64() < badShare && w.Now() >= calm; r.bad {
			r.parts = append(r.parts, badPart)
		}
		w.place(r)
		w.nextRequest(h)
	})
}

// place sends a request to a server that is up.
func (w *world) place(r *request) {
	h := r.host
	if !h.table.Check(w.Now(), r.parts, func(p quarantine.Part, n int) bool { return w.owner(p) == h }).Admit {
		if !r.bad {
			w.result.SoundRefused++
		}
		return
	}
	var s *server
	for range 3 * len(w.engines[h.index]) {
		if s = w.servers[w.engines[h.index][w.rng.Intn(len(w.engines[h.index]))]]; w.Now() >= s.down {
			break
		}
	}
	if w.Now() < s.down {
		return
	}
	r.attempts++
	s.waiting = append(s.waiting, r)
	if r.bad {
		w.badSent = append(w.badSent, w.Now())
	}
	w.After(firstEvent, func() { w.begin(s, r) })
}

// begin is the moment at which a server begins to answer, or crashes.
func (w *world) begin(s *server, r *request) {
	i := slices.Index(s.waiting, r)
	switch {
	case i < 0: // broken off
	case r.bad:
		w.crash(s)
	default:
		s.waiting = slices.Delete(s.waiting, i, i+1)
		r.host.table.RecordAnswer(w.Now(), s.id, r.parts)
	}
}

func (w *world) crash(s *server) {
	w.crashes = append(w.crashes, w.Now())
	broken, old := s.waiting, s.id
	s.waiting, s.id.Lifetime, s.down = nil, w.lifetime(), w.Now()+restart
	for _, r := range broken {
		w.recordCrash(r.host, old, r.parts)
	}
	for _, r := range broken {
		if r.attempts < attempts {
			w.place(r)
		}
	}
}

func (w *world) tick(h *host) {
	for _, c := range h.table.Tick(w.Now()) {
		if c.Part == badPart && h.quarantined == 0 {
			h.quarantined = w.Now()
		}
		w.decided(h, c)
	}
	w.After(tickInterval, func() { w.tick(h) })
}

func (w *world) nextReport(h *host, interval int) {
	w.report(h, interval)
	w.After(peers.ReportInterval, func() { w.nextReport(h, interval+1) })
}

// restartThird replaces the tables of a third of the hosts. A peer sends each what it knows.
func (w *world) restartThird() {
	for i := 0; i < len(w.hosts); i += 3 {
		h, peer := w.hosts[i], w.hosts[(i+1)%len(w.hosts)]
		h.table, h.quarantined = quarantine.NewTable(w.Now(), quarantine.Config{}), 0
		if w.Candidate != Alone {
			w.send(peer, []int{i}, peer.table.Whole(w.Now()), datagramHeader)
		}
	}
}
