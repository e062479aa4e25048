// Package soak runs entry hosts as separate processes, injects overlapping faults from outside, and checks what
// callers and backend servers observe meanwhile. The seed determines faults and requests, but their effect depends
// on the machine's timing, so a seed reproduces the schedule and not every outcome.
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

// Config holds the settings of a run.
type Config struct {
	Seed     int64
	Duration time.Duration // how long faults are injected
	Hosts    int           // entry hosts, 2 to MaxHosts
	Program  string        // path of the rosemaryhill binary
	Dir      string        // for settings and logs; not removed after the run
	Port     int           // first of PortCount ports
	Without  []string      // kinds of faults that are left out; the schedule of the others stays the same
}

// PortCount is the number of ports that a run uses.
const PortCount = 10

// MaxHosts limits a run to a few dozen processes.
const MaxHosts = 40

// Result holds the counts and the violated guarantees of a run.
type Result struct {
	Requests, Served int
	Unserved         map[string]int // by what the caller saw
	Faults           map[string]int // by kind
	BadPart          string         // what became of the bad part; empty without one
	Violations       []string       // guarantees to callers that were violated
}

const (
	// soundShare is the fraction of requests that no server fails, apart from outages. Streams among them must not be cut.
	soundShare = 0.4
	// requestTimeout is the timeout of the plain routes. It is short, so that many requests complete in a run.
	requestTimeout = 1500 * time.Millisecond
	// streamTimeout is the timeout of streams. It is longer than maxSilence, so that a stream outlasts a silence.
	streamTimeout = 4 * time.Second
	// answerSlack is how much later than the timeout the final answer may arrive.
	answerSlack = 500 * time.Millisecond
	// prefillSpeedup multiplies the prefill speed of the engines, so that a prompt larger than one engine's memory
	// is processed within streamTimeout.
	prefillSpeedup = 25
	// minFault and maxFault bound the duration of a fault, minPause and maxPause the time between the starts of two.
	minFault, maxFault = 100 * time.Millisecond, 1500 * time.Millisecond
	// minSilence and maxSilence bound how long a sound server is silent.
	minSilence, maxSilence = 500 * time.Millisecond, 2 * time.Second
	minPause, maxPause     = 80 * time.Millisecond, 400 * time.Millisecond
	// retryRatio and retrySlack are low, so that retries beyond the budget show up within a run.
	retryRatio, retrySlack = 0.05, 10
	// recoveryTimeout is how long after the last fault hosts may take to serve again and release memory.
	recoveryTimeout = 10 * time.Second
)

// services are the services of the routes.
var services = []string{"ledger", "models"}

// serverCounts is the number of servers of each service: enough for a request to find another server while one fails, and
// enough engines that some are left after the crashes by which hosts learn of a bad part.
var serverCounts = map[string]int{"ledger": 3, "models": 12}

// run is the state of a running soak.
type run struct {
	cfg     Config
	fleet   *standin.Fleet
	links   []*link // to the hosts' stores, to the servers and from callers to hosts
	hosts   []*host
	servers []*standin.Server
	caller  standin.Caller
	outage  atomic.Pointer[outage]
	outages timeWindows
	zones   map[string]*timeWindows // when each zone was evacuated

	publishing sync.Mutex
	version    int // last published configuration version

	began    time.Time      // when callers started
	reviving sync.WaitGroup // crashed engines that start again

	mu      sync.Mutex
	result  Result
	calls   []call
	crashes []crash
}

// outage makes all servers of a service fail in the same way.
type outage struct {
	service string
	failure standin.Failure
}

// Run runs a soak. An error means that it could not run; violated guarantees are in the result.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	r := &run{cfg: cfg, result: Result{Faults: map[string]int{}, Unserved: map[string]int{}}, zones: map[string]*timeWindows{}}
	for _, zone := range zones {
		r.zones[zone] = &timeWindows{}
	}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return r.result, err
	}
	rng := rand.New(rand.NewSource(cfg.Seed))
	r.began = time.Now()
	stop := r.startCallers()
	independentCtx, endIndependent := context.WithCancel(ctx)
	var independent sync.WaitGroup
	independent.Go(func() { r.injectIndependentFaults(independentCtx) })
	r.injectFaults(ctx, rng)
	endIndependent()
	independent.Wait()
	stop()
	r.reviving.Wait()
	r.checkCalls()
	r.checkRecovery(ctx)
	return r.result, nil
}

func (r *run) start(ctx context.Context) error {
	fleet, err := standin.NewFleet(r.cfg.Port, r.cfg.Hosts, func(address, target string) (standin.Proxy, error) {
		return r.addLink(address, target)
	})
	if err != nil {
		return err
	}
	r.fleet = fleet
	fleet.ReadSpeedup, fleet.StreamTimeout = prefillSpeedup, streamTimeout
	if !r.leftOut(coldServer) {
		fleet.ColdTime, fleet.ColdPerSecond = coldTime, coldPerSecond
	}
	for _, service := range services {
		for i := range serverCounts[service] {
			s, err := fleet.Add(service)
			if err != nil {
				return err
			}
			s.Zone = zones[i%len(zones)]
			fleet.Register(s, service, "ready")
			seed := r.cfg.Seed + int64(i)
			s.FailureFor, s.RawFor = keepLimit(s, r.failureFunc(seed, service)), rawFunc(seed, service)
			if r.hasBadPart() && service == "models" {
				s.BadPart, s.OnCrash = badPartID, r.crash
			}
			r.servers = append(r.servers, s)
		}
	}
	r.publishConfig()
	for n := 1; n <= r.cfg.Hosts; n++ {
		if err := r.addHost(n); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if !eventually(ctx, func() bool { return ready(h) }) {
			return fmt.Errorf("host %s is not ready", h.Settings.HostID)
		}
	}
	return nil
}

// failureFunc returns a function that fails about half of the requests outside soundShare at a server, with a failure derived from seed
// and request ID, so that the same request always fails in the same way there. During an outage of the service, all
// requests fail with the outage's failure.
func (r *run) failureFunc(seed int64, service string) func(string) standin.Failure {
	kinds := []standin.Failure{standin.Shed, standin.ConnectionReset, standin.Truncated, standin.WrongResponse, standin.Hang, standin.Raw}
	if service == "ledger" {
		kinds = append(kinds, standin.Error500, standin.Error503, standin.Unsigned)
	}
	return func(id string) standin.Failure {
		if o := r.outage.Load(); o != nil && o.service == service {
			return o.failure
		}
		rng := requestRNG(seed, id)
		if soundRequest(id) || rng.Intn(2) == 0 {
			return standin.NoFailure
		}
		kind := kinds[rng.Intn(len(kinds))]
		if kind == standin.Raw && r.leftOut(rawAnswers) {
			return standin.NoFailure
		}
		return kind
	}
}

// rawFunc returns a function that returns the random answer to a request with the failure Raw. It depends on seed and
// request ID only.
func rawFunc(seed int64, service string) func(string) standin.AnswerShape {
	body := standin.RawBody
	if service == "models" {
		body = standin.StreamBody(standin.StreamEvents)
	}
	return func(id string) standin.AnswerShape {
		rng := requestRNG(seed, "raw "+id)
		return standin.RandomAnswer(func(n int, _ string) int { return rng.Intn(n) }, body)
	}
}

// soundRequest reports whether no server fails a request, apart from outages.
func soundRequest(id string) bool { return requestRNG(0, id).Float64() < soundShare }

// requestRNG returns a source of random numbers that depends on the seed and the request only.
func requestRNG(seed int64, id string) *rand.Rand {
	for _, b := range []byte(id) {
		seed = seed*31 + int64(b)
	}
	return rand.New(rand.NewSource(seed))
}

// publishConfig publishes the next version of the configuration.
func (r *run) publishConfig() {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	r.version++
	r.fleet.Configure(r.version, requestTimeout)
}

func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func ready(h *host) bool {
	resp, err := http.Get(standin.ReadyURL(h.Settings))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// eventually polls a condition for at most recoveryTimeout.
func eventually(ctx context.Context, cond func() bool) bool {
	for end := time.Now().Add(recoveryTimeout); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// checkRecovery checks that all hosts serve again once the faults have ended, and that no reservations are left.
func (r *run) checkRecovery(ctx context.Context) {
	for _, h := range r.hosts {
		h.restartIfExited(r)
		for _, path := range []string{standin.SafePath, standin.StreamPath} {
			if !eventually(ctx, func() bool { return r.callDirect(ctx, h, path).Served() }) && ctx.Err() == nil {
				r.reportViolation("host %s does not serve %s after the faults", h.Settings.HostID, path)
			}
		}
	}
	// The reservations of the last requests expire last, after the release time.
	release := time.Duration(r.hosts[0].Settings.Entry.ReleaseMS) * time.Millisecond
	for end := time.Now().Add(release); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if n, _ := r.fleet.Reservations(); n == 0 {
			break
		}
	}
	reserved, shared := r.fleet.Reservations()
	if reserved > 0 && ctx.Err() == nil {
		r.reportViolation("%d reservations not released %v after the last request", reserved, release)
	}
	for _, s := range shared {
		r.reportViolation("%s", s)
	}
}

func (r *run) close() error {
	var all []error
	for _, h := range r.hosts {
		h.Kill()
	}
	for _, l := range r.links {
		all = append(all, l.Close())
	}
	if r.fleet != nil {
		all = append(all, r.fleet.Close())
	}
	return errors.Join(all...)
}

// Kinds returns the kinds of injected faults, sorted.
func (r *Result) Kinds() []string { return slices.Sorted(maps.Keys(r.Faults)) }

// Causes returns the keys of Unserved, the most frequent first.
func (r *Result) Causes() []string {
	causes := slices.Sorted(maps.Keys(r.Unserved))
	slices.SortStableFunc(causes, func(a, b string) int { return r.Unserved[b] - r.Unserved[a] })
	return causes
}
