// Package trail measures how long entry hosts trail behind the store. Hosts run as processes, new versions of the configuration
// add, move and drop routes and keys, and backend servers come and leave, while the store, its connections or the processes
// have a fault. Callers use their connections to every host until the process is gone. The seed determines faults and requests;
// their effect depends on the machine's timing.
package trail

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/hostprocess"
	"github.com/rosemaryhill/rosemaryhill/lab/netfault"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// Config holds the settings of a run.
type Config struct {
	Faults   []string // injected at the same time; see FaultNames
	Seed     int64
	Hosts    int // 1 to MaxHosts
	Duration time.Duration
	Interval time.Duration // mean time between two versions, and between two servers that leave
	Pause    time.Duration // mean time between two faults; zero for a time after which the bound holds again
	Quiet    time.Duration // without faults at the end
	Program  string        // path of the rosemaryhill binary
	Dir      string        // for settings and logs; not removed after the run
	Port     int           // first of PortCount ports
}

// PortCount is the number of ports that a run uses.
const PortCount = 10

// MaxHosts limits a run to a few processes, so that a busy machine does not delay them.
const MaxHosts = 12

const (
	// Bound is how long after the store's ack a host may still handle requests as an older state allows.
	Bound = 2 * time.Second
	// calmTime is how long a host and the store must have been without a fault for the bound to hold.
	calmTime = 3 * time.Second
	// startTimeout bounds the time until all hosts are ready.
	startTimeout = 10 * time.Second
	// settleTime is the time between the first requests and the first fault.
	settleTime = time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// zoneSizes are the numbers of hosts in the availability zones. A zone of three has a host that follows the two that read the store.
var zoneSizes = []int{3, 2, 2, 3, 2}

// run is the state of a run.
type run struct {
	Config
	fleet   *standin.Fleet
	hosts   []*host
	proxies map[string]*netfault.Proxy // by the address that hosts use

	writing  sync.Mutex // held while the store is written to, or is away
	versions []version  // those that can be read, in order
	number   int        // of the last version
	pool     []*standin.Server
	servers  int // that have been added to the pool so far
	leaves   map[string]time.Time

	mu       sync.Mutex
	requests []request
	troubles []trouble
	faults   int
	problems []string
}

// host is an entry host.
type host struct {
	*hostprocess.Process
	number int        // from 1
	mu     sync.Mutex // held during a fault of the process
}

// trouble is an interval in which the bound does not hold for a host, or for all if host is nil.
type trouble struct {
	host     *host
	from, to time.Time
}

// Run runs an experiment. An error means that it could not run.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	r := &run{Config: cfg, proxies: map[string]*netfault.Proxy{}, leaves: map[string]time.Time{}}
	defer func() { err = errors.Join(err, r.close()) }()
	chosen, err := faultsNamed(cfg.Faults)
	if err != nil {
		return res, err
	}
	if err := r.start(ctx); err != nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	var running sync.WaitGroup
	r.startCallers(ctx, &running)
	running.Go(func() { r.publishVersions(ctx, rand.New(rand.NewSource(cfg.Seed))) })
	running.Go(func() { r.replaceServers(ctx, rand.New(rand.NewSource(cfg.Seed+1))) })
	faultCtx, endFaults := context.WithTimeout(ctx, cfg.Duration-cfg.Quiet)
	defer endFaults()
	for i, f := range chosen {
		rng := rand.New(rand.NewSource(cfg.Seed + 2 + int64(i)))
		running.Go(func() {
			sleep(faultCtx, settleTime)
			f.inject(r, faultCtx, rng)
		})
	}
	running.Wait()
	return r.judge(), nil
}

func (r *run) start(ctx context.Context) (err error) {
	if r.fleet, err = standin.NewFleet(r.Port, r.Hosts, r.addProxy); err != nil {
		return err
	}
	for i := range movedServices {
		if _, err := r.fleet.Add(movedService(i)); err != nil {
			return err
		}
	}
	for range poolSize {
		if err := r.addServer(); err != nil {
			return err
		}
	}
	r.publish()
	for n := 1; n <= r.Hosts; n++ {
		if err := r.addHost(n); err != nil {
			return err
		}
	}
	for _, h := range r.hosts {
		if !h.awaitReady(ctx) {
			return fmt.Errorf("host %s is not ready after %v; logs in %s", h.Settings.HostID, startTimeout, r.Dir)
		}
	}
	return nil
}

func (r *run) addProxy(address, target string) (standin.Proxy, error) {
	p, err := netfault.Listen(address, target)
	if err != nil {
		return nil, err
	}
	r.proxies[address] = p
	return p, nil
}

func (r *run) addHost(n int) error {
	h := &host{number: n, Process: &hostprocess.Process{Program: r.Program, File: filepath.Join(r.Dir, fmt.Sprintf("h%d.toml", n))}}
	h.Settings = r.fleet.HostSettings(n, r.Port+2)
	h.Settings.AvailabilityZone = zoneOf(n)
	r.hosts = append(r.hosts, h)
	return errors.Join(h.WriteSettings(), h.Start())
}

// zoneOf returns the availability zone of a host.
func zoneOf(n int) string {
	zone := 0
	for n > zoneSizes[zone] {
		n -= zoneSizes[zone]
		zone++
	}
	return fmt.Sprintf("z%d", zone+1)
}

// storeLink returns the proxy between a host and the store.
func (r *run) storeLink(h *host) *netfault.Proxy { return r.proxies[r.fleet.StoreAddress(h.number)] }

// awaitReady waits until the host is ready.
func (h *host) awaitReady(ctx context.Context) bool {
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(standin.ReadyURL(h.Settings))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// disturb records that the bound does not hold for a host, or for all if it is nil. The returned function ends that.
func (r *run) disturb(h *host) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.troubles)
	// The end of a fault that lasts is not known yet and is assumed to be a day away.
	r.troubles = append(r.troubles, trouble{h, time.Now(), time.Now().Add(24 * time.Hour)})
	r.faults++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.troubles[i].to = time.Now()
	}
}

// countFault counts a fault that leaves the bound in force.
func (r *run) countFault() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults++
}

func (r *run) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

func (r *run) close() error {
	var all []error
	for _, h := range r.hosts {
		h.Kill()
	}
	for _, p := range r.proxies {
		all = append(all, p.Close())
	}
	if r.fleet != nil {
		all = append(all, r.fleet.Close())
	}
	return errors.Join(all...)
}

// sleep waits, at most until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// between returns a random duration.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int63n(int64(high-low)+1))
}
