package quarantine

import (
	"math/rand"
	"slices"
	"time"
)

const (
	step       = 10 * time.Millisecond
	firstEvent = 80 * time.Millisecond
	restart    = 3 * time.Second
	interval   = 250 * time.Millisecond
	service    = Service(7)
	shared     = Part(1)    // of all requests
	bad        = Part(1000) // crashes servers once it is on
	docs       = 60
)

type stream struct {
	host, server int
	parts        []Part
	at           time.Duration // of its first event
}

// fleet simulates hosts that serve requests on servers of one service.
type fleet struct {
	rng     *rand.Rand
	now     time.Duration
	hosts   []*Table
	servers []Server
	down    []time.Duration // until then
	streams []stream
	bad     Part
	badRate float64                   // share of requests with the bad part
	parts   func(r *rand.Rand) []Part // of a sound request
	sent    []time.Duration           // requests with the bad part
	crashes []time.Duration
	refused int // sound requests
	changes []Change
}

func newFleet(hosts, servers int, seed int64) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), bad: bad, down: make([]time.Duration, servers)}
	f.parts = func(r *rand.Rand) []Part { return []Part{shared, Part(10 + r.Intn(docs))} }
	for range hosts {
		f.hosts = append(f.hosts, NewTable(0, Config{}))
	}
	for range servers {
		f.servers = append(f.servers, Server{service, Lifetime(f.rng.Uint64())})
	}
	return f
}

// run serves 120 requests/s for a while.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		for range 1 + f.rng.Intn(5)/4 {
			parts := f.parts(f.rng)
			if f.rng.Float64() < f.badRate && !slices.Contains(parts, f.bad) {
				parts = append(parts, f.bad)
			}
			f.send(f.rng.Intn(len(f.hosts)), parts)
		}
		f.serve()
		for _, t := range f.hosts {
			f.changes = append(f.changes, t.Tick(f.now)...)
		}
		if f.now%interval == 0 {
			f.exchange()
		}
	}
}

func (f *fleet) send(host int, parts []Part) {
	isBad := slices.Contains(parts, f.bad)
	tester := func(_ Part, n int) bool { return host < n }
	if !f.hosts[host].Check(f.now, parts, tester).Admit {
		if !isBad {
			f.refused++
		}
		return
	}
	s := f.rng.Intn(len(f.servers))
	if f.now < f.down[s] {
		return
	}
	if isBad {
		f.sent = append(f.sent, f.now)
	}
	f.streams = append(f.streams, stream{host, s, parts, f.now + firstEvent})
}

func (f *fleet) serve() {
	due := func(s stream) bool { return s.at <= f.now }
	for i := slices.IndexFunc(f.streams, due); i >= 0; i = slices.IndexFunc(f.streams, due) {
		s := f.streams[i]
		if f.badRate > 0 && slices.Contains(s.parts, f.bad) {
			f.crashes = append(f.crashes, f.now)
			f.crash(s.server)
			continue
		}
		f.streams = slices.Delete(f.streams, i, i+1)
		f.hosts[s.host].RecordAnswer(f.now, f.servers[s.server], s.parts)
	}
}

func (f *fleet) crash(server int) {
	f.hosts[f.rng.Intn(len(f.hosts))].RecordCrash(f.now, f.servers[server], nil) // a stream that had received events
	f.breakOff(func(s stream) bool { return s.server == server })
	f.servers[server].Lifetime = Lifetime(f.rng.Uint64())
	f.down[server] = f.now + restart
}

func (f *fleet) breakOff(which func(stream) bool) {
	f.streams = slices.DeleteFunc(f.streams, func(s stream) bool {
		if which(s) {
			f.hosts[s.host].RecordCrash(f.now, f.servers[s.server], s.parts)
		}
		return which(s)
	})
}

func (f *fleet) exchange() {
	for i, t := range f.hosts {
		u := t.TakeUpdate(f.now, true)
		for j, o := range f.hosts {
			if i != j && f.rng.Float64() > 0.02 {
				o.Apply(f.now+time.Millisecond, u)
			}
		}
	}
}

// quarantined returns the parts that any host has quarantined.
func (f *fleet) quarantined() (out []Part) {
	for _, t := range f.hosts {
		for _, e := range t.sortedEntries() {
			if !e.released && !slices.Contains(out, e.part) {
				out = append(out, e.part)
			}
		}
	}
	return out
}

// late returns the number of bad requests sent later than 3 s after the fifth crash, or the last one if there are fewer.
func (f *fleet) late() (n int) {
	from := f.crashes[min(5, len(f.crashes))-1] + 3*time.Second
	for _, at := range f.sent {
		if at > from {
			n++
		}
	}
	return n
}
