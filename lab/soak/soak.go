// Package soak runs entry hosts as processes of their own, injects faults from outside them in series that
// overlap, and checks what callers and backend servers see meanwhile. The seed draws faults and requests;
// what they meet depends on the machine's timing, so a seed repeats the schedule and not every outcome.
package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// Config sets up a run.
type Config struct {
	Seed     int64
	Duration time.Duration // with faults
	Hosts    int           // entry hosts, 2 to MaxHosts
	Program  string        // path of rosemaryhill
	Dir      string        // for settings and logs; kept
	Port     int           // first of Ports ports
}

// PortCount is the number of ports that a run takes.
const PortCount = 10

// MaxHosts keeps a run to a few dozen processes.
const MaxHosts = 40

// Result is what a run has shown.
type Result struct {
	Requests, Served int
	Faults           map[string]int // by kind
	Violations       []string       // promises that were not kept
}

const (
	// serversPerService is enough for a request to find another server while one fails.
	serversPerService = 3
	// requestTimeout is the routes' timeout. It is short, so that many requests end in a run.
	requestTimeout = 1500 * time.Millisecond
	// answerSlack is the time that a final answer may take beyond it.
	answerSlack = 500 * time.Millisecond
	// engineSpeed makes prompts above one engine's memory readable within requestTimeout.
	engineSpeed = 25
	// minFault and maxFault bound the length of a fault, minPause and maxPause the time between two.
	minFault, maxFault = 100 * time.Millisecond, 1500 * time.Millisecond
	minPause, maxPause = 80 * time.Millisecond, 400 * time.Millisecond
	// retryRatio and retrySlack are tight, so that repeats beyond the budget show within a run.
	retryRatio, retrySlack = 0.05, 10
	// settleTime is the time after the last fault in which hosts serve again and memory is given back.
	settleTime = 10 * time.Second
)

// run is a soak under way.
type run struct {
	cfg     Config
	fleet   *standin.Fleet
	links   []*link // of the hosts' stores, of the servers and of the callers
	hosts   []*host
	caller  standin.Caller
	version int // of the configuration
	outage  atomic.Pointer[outage]

	mu     sync.Mutex
	result Result
	calls  []call
}

// outage is a time in which all servers of a service fail alike.
type outage struct {
	service string
	failure standin.Failure
}

// Run runs a soak. An error means that it could not run; broken promises are in the result.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	r := &run{cfg: cfg, result: Result{Faults: map[string]int{}}}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return r.result, err
	}
	rng := rand.New(rand.NewSource(cfg.Seed))
	stop := r.startCallers()
	r.injectFaults(ctx, rng)
	stop()
	r.checkCalls()
	r.checkSettled(ctx)
	return r.result, nil
}

func (r *run) start(ctx context.Context) error {
	fleet, err := standin.NewFleet(r.cfg.Port, r.cfg.Hosts, func(address, target string) error {
		_, err := r.addLink(address, target)
		return err
	})
	if err != nil {
		return err
	}
	r.fleet = fleet
	fleet.Speed = engineSpeed
	for i := range serversPerService {
		for _, service := range []string{"ledger", "models"} {
			s, err := fleet.Add(service)
			if err != nil {
				return err
			}
			s.Fail = r.failures(r.cfg.Seed+int64(i), service)
		}
	}
	r.configure()
	for n := 1; n <= r.cfg.Hosts; n++ {
		if err := r.addHost(n); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if !eventually(ctx, func() bool { return ready(h) }) {
			return fmt.Errorf("host %s is not ready", h.set.HostID)
		}
	}
	return nil
}

// failures draws a failure of a server for every second request; the same request always fails alike there.
// During an outage of its service, all requests fail in one way.
func (r *run) failures(seed int64, service string) func(string) standin.Failure {
	kinds := []standin.Failure{standin.Shed, standin.Lost, standin.Broken, standin.Crossed, standin.Hang}
	if service == "ledger" {
		kinds = append(kinds, standin.Error500, standin.Overtaken, standin.Unsealed)
	}
	return func(id string) standin.Failure {
		if o := r.outage.Load(); o != nil && o.service == service {
			return o.failure
		}
		h := seed
		for _, b := range []byte(id) {
			h = h*31 + int64(b)
		}
		rng := rand.New(rand.NewSource(h))
		if rng.Intn(2) == 0 {
			return standin.None
		}
		return kinds[rng.Intn(len(kinds))]
	}
}

// configure publishes the next version of the configuration.
func (r *run) configure() {
	r.version++
	r.fleet.Configure(r.version, requestTimeout)
}

func (r *run) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func ready(h *host) bool {
	resp, err := http.Get(standin.ReadyURL(h.set))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually waits for a condition for at most settleTime.
func eventually(ctx context.Context, cond func() bool) bool {
	for end := time.Now().Add(settleTime); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// checkSettled checks that the system works again once all faults have ended, and holds nothing of before.
func (r *run) checkSettled(ctx context.Context) {
	for _, h := range r.hosts {
		h.restartEnded(r)
		for _, path := range []string{standin.SafePath, standin.StreamPath} {
			if !eventually(ctx, func() bool { return r.callDirect(ctx, h, path).Served() }) && ctx.Err() == nil {
				r.broken("host %s does not serve %s after the faults", h.set.HostID, path)
			}
		}
	}
	// Leases of the last requests are the longest that may still stand.
	release := time.Duration(r.hosts[0].set.Entry.ReleaseMS) * time.Millisecond
	for end := time.Now().Add(release); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if n, _ := r.fleet.Reservations(); n == 0 {
			break
		}
	}
	standing, shared := r.fleet.Reservations()
	if standing > 0 && ctx.Err() == nil {
		r.broken("%d reservations stand %v after the last request", standing, release)
	}
	for _, s := range shared {
		r.broken("%s", s)
	}
}

func (r *run) close() error {
	var all []error
	for _, h := range r.hosts {
		h.kill()
	}
	for _, l := range r.links {
		all = append(all, l.Close())
	}
	if r.fleet != nil {
		all = append(all, r.fleet.Close())
	}
	return errors.Join(all...)
}

// Kinds returns the kinds of faults of a result, in order.
func (r *Result) Kinds() []string { return slices.Sorted(maps.Keys(r.Faults)) }
