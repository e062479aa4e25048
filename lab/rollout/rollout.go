// Package rollout plays planned work on a whole site: entry hosts that run as processes are stopped, started and reloaded,
// configurations are published and backend servers are replaced, while callers use their connections until the process is
// gone. No server fails a request, so each request that ends without a complete answer is lost by a host.
package rollout

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/hostprocess"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// Config holds the settings of a run.
type Config struct {
	Profile *Profile
	Seed    int64
	Program string // path of the rosemaryhill binary
	Dir     string // for settings and logs; not removed after the run
	Port    int    // first of PortCount ports
}

// PortCount is the number of ports that a run uses.
const PortCount = 10

const (
	engines = "models"
	plain   = "ledger"
	// startTimeout bounds the time until all hosts are ready.
	startTimeout = 10 * time.Second
	// plainTimeout is the timeout of the plain routes, which configurations change by a tenth.
	plainTimeout = 2 * time.Second
	// expiredCode is the exit status of a host whose shutdown time was over before its last request.
	expiredCode = 1
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
)

// run is the state of a running site.
type run struct {
	Config
	fleet *standin.Fleet
	hosts []*host
	began time.Time

	publishing sync.Mutex
	version    int

	mu        sync.Mutex
	exchanges []exchange
	servers   map[string][]*standin.Server // by service; those that are not being taken away
	work      []work
	expired   int      // stops that ended with requests in progress
	problems  []string // ends of processes that were not planned
}

// host is an entry host.
type host struct {
	*hostprocess.Process
	mu sync.Mutex // held while the process is stopped and started
}

// work is planned work on a host, or on all of them.
type work struct {
	kind workKind
	host *host // nil for all
	at   time.Time
}

type workKind string

const (
	stopWork   workKind = "stop"
	reloadWork workKind = "reload"
	configWork workKind = "configuration"
	serverWork workKind = "replaced server"
)

// Run plays the work that the seed draws. An error means that it could not run.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	r := &run{Config: cfg, servers: map[string][]*standin.Server{}}
	defer func() { err = errors.Join(err, r.close()) }()
	if err := r.start(ctx); err != nil {
		return res, err
	}
	r.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, ms(1000*r.Profile.LengthS))
	defer cancel()
	var running sync.WaitGroup
	r.startCallers(ctx, &running)
	r.startWork(ctx, &running)
	running.Wait()
	return r.check(), nil
}

func (r *run) start(ctx context.Context) (err error) {
	if r.fleet, err = standin.NewFleet(r.Port, r.Profile.hosts(), nil); err != nil {
		return err
	}
	longest := time.Duration(0)
	for _, k := range r.Profile.Kinds {
		longest = max(longest, time.Duration(k.TimeoutMS)*time.Millisecond)
	}
	r.fleet.StreamTimeout = longest
	for _, z := range r.Profile.Zones {
		for range z.Engines {
			err = errors.Join(err, r.addServer(engines))
		}
		for range z.Servers {
			err = errors.Join(err, r.addServer(plain))
		}
	}
	if err != nil {
		return err
	}
	r.publish()
	for _, z := range r.Profile.Zones {
		for range z.Hosts {
			if err := r.addHost(z.Name); err != nil {
				return err
			}
		}
	}
	for end := time.Now().Add(startTimeout); !r.ready(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the hosts are not ready after %v; logs in %s", startTimeout, r.Dir)
		}
	}
	return nil
}

// addServer starts a server. It is sound until it is taken away.
func (r *run) addServer(service string) error {
	s, err := r.fleet.Add(service)
	if err != nil {
		return err
	}
	s.StreamTimeOf, s.ServiceTimeOf = r.Profile.streamTime, r.Profile.serviceTime
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers[service] = append(r.servers[service], s)
	return nil
}

func (r *run) addHost(zone string) error {
	n := len(r.hosts) + 1
	h := &host{Process: &hostprocess.Process{Program: r.Program, File: filepath.Join(r.Dir, fmt.Sprintf("h%d.toml", n))}}
	h.Settings = r.fleet.HostSettings(n, r.Port+2)
	h.Settings.AvailabilityZone = zone
	h.Settings.Entry.AddressTTLMS = 1000
	h.Settings.Entry.ShutdownMS = r.Profile.ShutdownMS
	r.hosts = append(r.hosts, h)
	return errors.Join(h.WriteSettings(), h.Start())
}

func (r *run) ready() bool {
	for _, h := range r.hosts {
		resp, err := http.Get(standin.ReadyURL(h.Settings))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// publish publishes a configuration with other timeouts than the last one.
func (r *run) publish() {
	r.publishing.Lock()
	defer r.publishing.Unlock()
	r.version++
	r.fleet.Configure(r.version, plainTimeout+time.Duration(r.version%2)*plainTimeout/10)
}

func (r *run) record(kind workKind, h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work = append(r.work, work{kind, h, time.Now()})
}

// stop sends SIGTERM and starts the process again when it has ended.
func (r *run) stop(h *host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.Starting() {
		return
	}
	r.record(stopWork, h)
	err := h.Terminate(time.Duration(h.Settings.Entry.ShutdownMS) * time.Millisecond)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit) && exit.ExitCode() == expiredCode:
		r.mu.Lock()
		r.expired++
		r.mu.Unlock()
	case err != nil:
		r.problem("host %s ended with %v", h.Settings.HostID, err)
	}
	time.Sleep(restartDelay)
	if err := h.Start(); err != nil {
		r.problem("host %s does not start: %v", h.Settings.HostID, err)
	}
}

// reload changes the order of the seeds in the settings file and sends SIGHUP, also to a process that stops.
func (r *run) reload(h *host) {
	if h.Starting() {
		return // the signal would end the process
	}
	slices.Reverse(h.Settings.Entry.Peers)
	if err := h.WriteSettings(); err != nil {
		r.problem("write settings of host %s: %v", h.Settings.HostID, err)
	}
	r.record(reloadWork, h)
	h.Signal(syscall.SIGHUP)
}

// replace takes a server away. If another one takes its place, that one starts first.
func (r *run) replace(service string, rng *rand.Rand, announced, again bool) {
	r.mu.Lock()
	list := r.servers[service]
	if len(list) < 2 {
		r.mu.Unlock()
		return
	}
	i := rng.Intn(len(list))
	s := list[i]
	r.servers[service] = append(append([]*standin.Server(nil), list[:i]...), list[i+1:]...)
	r.mu.Unlock()
	r.record(serverWork, nil)
	if again {
		if err := r.addServer(service); err != nil {
			r.problem("no server in the place of %s: %v", s.ID, err)
		}
	}
	if announced {
		r.fleet.Register(s, service, "draining")
		time.Sleep(time.Duration(r.Profile.DrainMS) * time.Millisecond)
	}
	r.fleet.Deregister(s)
}

func (r *run) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

func (r *run) close() error {
	for _, h := range r.hosts {
		h.Kill()
	}
	if r.fleet != nil {
		return r.fleet.Close()
	}
	return nil
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never fails
	return h.Sum64()
}
