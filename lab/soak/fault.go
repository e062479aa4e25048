package soak

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/netfault"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// link is a proxied address. Its faults do not overlap.
type link struct {
	*netfault.Proxy
	mu sync.Mutex
}

func (r *run) addLink(address, target string) (*link, error) {
	p, err := netfault.Listen(address, target)
	if err != nil {
		return nil, fmt.Errorf("link %s: %w", address, err)
	}
	l := &link{Proxy: p}
	r.links = append(r.links, l)
	return l, nil
}

// strike puts a fault on the link for a time.
func (l *link) strike(f netfault.Fault, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetFault(f)
	time.Sleep(length)
	l.SetFault(netfault.Fault{})
}

// hostFaults strike the process of a host.
var hostFaults = map[string]func(r *run, h *host, length time.Duration){
	"kill": func(r *run, h *host, length time.Duration) {
		h.signal(syscall.SIGKILL)
		<-h.ended
		time.Sleep(length)
		h.restart(r)
	},
	"stop": func(r *run, h *host, _ time.Duration) {
		h.stop(r)
		h.restart(r)
	},
	"pause": func(_ *run, h *host, length time.Duration) {
		h.signal(syscall.SIGSTOP)
		time.Sleep(length)
		h.signal(syscall.SIGCONT)
	},
	"reload": func(_ *run, h *host, _ time.Duration) { h.reload() },
	"settings": func(r *run, h *host, _ time.Duration) {
		h.set.Entry.AddressTTLMS = 300 - h.set.Entry.AddressTTLMS // 100 and 200 by turns
		if err := h.writeSettings(); err != nil {
			r.broken("settings of host %s: %v", h.set.HostID, err)
		}
		h.reload()
	},
}

func (h *host) reload() {
	h.reloadedEarly = h.reloadedEarly || h.starting()
	h.signal(syscall.SIGHUP)
}

// linkFaults strike a link, or all connections of it.
var linkFaults = map[string]netfault.Fault{
	"delay":         {Delay: 60 * time.Millisecond},
	"hold requests": {HoldRequests: true},
	"hold answers":  {HoldAnswers: true},
	"silence":       {HoldRequests: true, HoldAnswers: true},
}

// kinds lists all faults, in a fixed order that a seed draws from.
var kinds = []string{
	"kill", "stop", "pause", "reload", "settings", // of a host
	"store", "config", "outage",
	"delay", "hold requests", "hold answers", "silence", "reset", // of a link
}

// injectFaults draws faults until the time is over and waits for the last ones to end.
func (r *run) injectFaults(ctx context.Context, rng *rand.Rand) {
	var running sync.WaitGroup
	for end := time.Now().Add(r.cfg.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		kind := kinds[rng.Intn(len(kinds))]
		r.mu.Lock()
		r.result.Faults[kind]++
		r.mu.Unlock()
		r.inject(kind, rng, &running)
		time.Sleep(between(rng, minPause, maxPause))
	}
	running.Wait()
	time.Sleep(startTime)
}

func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int63n(int64(high-low)))
}

// inject lets one fault run beside the others.
func (r *run) inject(kind string, rng *rand.Rand, running *sync.WaitGroup) {
	length := between(rng, minFault, maxFault)
	h, l := r.hosts[rng.Intn(len(r.hosts))], r.links[rng.Intn(len(r.links))]
	storeFault := []standin.Fault{standin.Busy, standin.Many, standin.Reset, standin.Silent}[rng.Intn(4)]
	service := []string{"ledger", "models"}[rng.Intn(2)]
	failure := []standin.Failure{standin.Lost, standin.Shed, standin.Broken}[rng.Intn(3)]
	storeOf := rng.Intn(len(r.hosts) + 1) // 0 stands for all hosts
	switch {
	case kind == "config":
		r.configure()
	case kind == "store":
		running.Go(func() {
			r.fleet.Store.Fail(storeOf, storeFault)
			time.Sleep(length)
			r.fleet.Store.Fail(storeOf, standin.Well)
		})
	case kind == "outage":
		r.outage.Store(&outage{service, failure})
		running.Go(func() {
			time.Sleep(length)
			r.outage.Store(nil)
		})
	case hostFaults[kind] != nil:
		running.Go(func() { h.strike(r, func() { hostFaults[kind](r, h, length) }) })
	default:
		running.Go(func() {
			defer r.excuse(l)()
			if kind == "reset" {
				l.Reset()
				return
			}
			l.strike(linkFaults[kind], length)
		})
	}
}

// excuse lets the answers of a host be late while its link to callers has a fault.
func (r *run) excuse(l *link) (end func()) {
	for _, h := range r.hosts {
		if h.caller == l {
			return h.windows.open(recoveryTime)
		}
	}
	return func() {}
}
