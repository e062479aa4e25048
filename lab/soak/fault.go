package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/netfault"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// link is a proxied address. Faults on one link do not overlap.
type link struct {
	*netfault.Proxy
	mu     sync.Mutex
	resets timeWindows // when connections were reset
	faults timeWindows // when any fault was set, or the server behind it was silent on accept
	failed timeWindows // when the store behind it failed
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

// applyFault sets a fault on the link for the given duration.
func (l *link) applyFault(f netfault.Fault, length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.faults.open(recoveryTime)()
	l.SetFault(f)
	time.Sleep(length)
	l.SetFault(netfault.Fault{})
}

// hostFaults are the faults that affect a host's process.
var hostFaults = map[string]func(r *run, h *host, length time.Duration){
	"kill": func(r *run, h *host, length time.Duration) {
		h.Signal(syscall.SIGKILL)
		<-h.Exited
		time.Sleep(length)
		h.restart(r)
	},
	"stop": func(r *run, h *host, _ time.Duration) {
		h.stop(r)
		h.restart(r)
	},
	"pause": func(_ *run, h *host, length time.Duration) {
		h.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		h.Signal(syscall.SIGCONT)
	},
	"reload": func(_ *run, h *host, _ time.Duration) { h.reload() },
	"settings": func(r *run, h *host, _ time.Duration) {
		h.Settings.Entry.AddressTTLMS = 300 - h.Settings.Entry.AddressTTLMS // alternates between 100 and 200
		if err := h.WriteSettings(); err != nil {
			r.reportViolation("write settings of host %s: %v", h.Settings.HostID, err)
		}
		h.reload()
	},
}

func (h *host) reload() {
	h.reloadedEarly = h.reloadedEarly || h.Starting()
	h.Signal(syscall.SIGHUP)
}

// linkFaults are the faults that affect all connections of a link.
var linkFaults = map[string]netfault.Fault{
	"delay":         {Delay: 60 * time.Millisecond},
	"hold requests": {HoldRequests: true},
	"hold answers":  {HoldAnswers: true},
	"silence":       {HoldRequests: true, HoldAnswers: true},
}

// faultKinds lists all kinds of faults. The order is fixed, since a seed draws by index.
var faultKinds = []string{
	"kill", "stop", "pause", "reload", "settings", // on a host
	"store", "config", "outage",
	"delay", "hold requests", "hold answers", "silence", "reset", // on a link
	silentServer, storeSeries, settingsSeries,
}

// storeSeries and settingsSeries are faults of the store, and reloads with other settings, one after the other on one host
// or all. Beside the faults of the store, hosts stop and configurations change.
const (
	storeSeries    = "store series"
	settingsSeries = "settings series"
)

// FaultKinds returns the kinds of faults, which Config.Without may name.
func FaultKinds() []string {
	return append(slices.Clone(faultKinds), rawAnswers, badPart, serverNotice, serverLimit, evacuation, coldServer, restoredStore, cutWatches)
}

// independentFaults are the kinds of faults that draw from sources of their own, so that the schedule of the others does
// not depend on them.
var independentFaults = []struct {
	kind           string
	seed           int64
	minGap, maxGap time.Duration // between the starts of two
	inject         func(*run, context.Context, *rand.Rand, *sync.WaitGroup)
}{
	{serverNotice, 0x6e6f7469, minNoticeGap, maxNoticeGap, (*run).injectNotice},
	{serverLimit, 0x6c696d74, minLimitGap, maxLimitGap, (*run).injectLimit},
	{evacuation, 0x65766163, minEvacuationGap, maxEvacuationGap, (*run).injectEvacuation},
	{coldServer, 0x636f6c64, minColdGap, maxColdGap, (*run).injectCold},
	{restoredStore, 0x72657374, minRestoreGap, maxRestoreGap, (*run).injectRestore},
	{cutWatches, 0x63757473, minCutGap, maxCutGap, (*run).injectCuts},
}

// injectIndependentFaults injects the independent kinds of faults until the context ends, and waits for the last ones.
func (r *run) injectIndependentFaults(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for _, x := range independentFaults {
		if r.leftOut(x.kind) {
			continue
		}
		rng := rand.New(rand.NewSource(r.cfg.Seed ^ x.seed))
		running.Go(func() {
			if r.hasBadPart() && (x.kind == evacuation || !r.leftOut(coldServer)) {
				// Whatever hosts know of the bad part, they have to refuse most streams while zones are evacuated, and while
				// limits and pauses of some engines come on top of others that are cold after a crash.
				ctxSleep(ctx, badPartOver)
			}
			for ctx.Err() == nil {
				x.inject(r, ctx, rng, &running)
				r.countFault(x.kind)
				ctxSleep(ctx, randomDuration(rng, x.minGap, x.maxGap))
			}
		})
	}
}

// silentServer is the kind of fault in which sound servers fall silent and go on.
const silentServer = "silent server"

// rawAnswers is a failure of servers that Config.Without may name: they answer with random bytes.
const rawAnswers = "raw answers"

// injectFaults injects random faults for the configured duration and waits for the last ones to end.
func (r *run) injectFaults(ctx context.Context, rng *rand.Rand) {
	var running sync.WaitGroup
	for end := time.Now().Add(r.cfg.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		kind := faultKinds[rng.Intn(len(faultKinds))]
		r.restartExited()
		r.inject(kind, rng, &running)
		time.Sleep(r.faultPause(rng))
	}
	running.Wait()
	time.Sleep(startupTime)
}

func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int63n(int64(high-low)))
}

// inject starts one fault, concurrently with those that are running.
func (r *run) inject(kind string, rng *rand.Rand, running *sync.WaitGroup) {
	length := randomDuration(rng, minFault, maxFault)
	h, l := r.hosts[rng.Intn(len(r.hosts))], r.links[rng.Intn(len(r.links))]
	storeFault := storeFaults[rng.Intn(len(storeFaults))]
	service := services[rng.Intn(len(services))]
	failure := []standin.Failure{standin.ConnectionReset, standin.Shed, standin.Truncated}[rng.Intn(3)]
	storeHost := rng.Intn(len(r.hosts) + 1) // 0 means all hosts
	silence, series := r.randomSilence(rng), r.randomSeries(rng)
	if r.leftOut(kind) {
		return // drawn nevertheless, so that the rest of the schedule stays the same
	}
	r.countFault(kind)
	switch {
	case kind == "config":
		r.publishConfig()
	case kind == "store":
		running.Go(func() { r.failStore(storeHost, storeFault, length) })
	case kind == storeSeries:
		running.Go(func() { r.storeSeries(series, running) })
	case kind == settingsSeries:
		running.Go(func() { r.settingsSeries(series) })
	case kind == "outage":
		r.outage.Store(&outage{service, failure})
		endOutage := r.outages.open(0)
		running.Go(func() {
			defer endOutage()
			time.Sleep(length)
			r.outage.Store(nil)
		})
	case kind == silentServer:
		r.silence(silence)
		switch {
		case silence.with == "config":
			r.publishConfig()
		case hostFaults[silence.with] != nil:
			r.injectHostFault(silence.with, h, length, running)
		}
	case hostFaults[kind] != nil:
		r.injectHostFault(kind, h, length, running)
	default:
		running.Go(func() {
			defer r.allowLateAnswers(l)()
			if kind == "reset" {
				defer l.resets.open(0)()
				l.Reset()
				return
			}
			l.applyFault(linkFaults[kind], length)
		})
	}
}

func (r *run) leftOut(kind string) bool { return slices.Contains(r.cfg.Without, kind) }

var storeFaults = []standin.Fault{standin.Busy, standin.RateLimited, standin.Reset, standin.Silent}

// failStore makes the store fail for one host, or for all if host is 0.
func (r *run) failStore(host int, f standin.Fault, length time.Duration) {
	for n, l := range r.storeLinks() {
		if host == 0 || host == n+1 {
			defer l.failed.open(0)()
		}
	}
	r.fleet.Store.SetFault(host, f)
	time.Sleep(length)
	r.fleet.Store.SetFault(host, standin.Healthy)
}

// seriesStep is a step of a series of faults.
type seriesStep struct {
	onHost     int // 0 means all hosts
	storeFault standin.Fault
	length     time.Duration
	with       string // kind of another fault on the host at the same time; empty for none
	host       *host
}

func (r *run) randomSeries(rng *rand.Rand) []seriesStep {
	steps := make([]seriesStep, 3+rng.Intn(3))
	for i := range steps {
		n := rng.Intn(len(r.hosts) + 1)
		steps[i] = seriesStep{
			onHost: n, storeFault: storeFaults[rng.Intn(len(storeFaults))], length: randomDuration(rng, minFault, maxFault/2),
			with: []string{"", "config", "stop"}[rng.Intn(3)], host: r.hosts[rng.Intn(len(r.hosts))],
		}
	}
	return steps
}

func (r *run) storeSeries(steps []seriesStep, running *sync.WaitGroup) {
	for _, x := range steps {
		switch x.with {
		case "config":
			r.publishConfig()
		case "stop":
			r.injectHostFault(x.with, x.host, x.length, running)
		}
		r.failStore(x.onHost, x.storeFault, x.length)
	}
}

func (r *run) settingsSeries(steps []seriesStep) {
	for _, x := range steps {
		for n, h := range r.hosts {
			if x.onHost == 0 || x.onHost == n+1 {
				h.injectFault(r, "settings", func() {
					if !h.Starting() { // else SIGHUP would end the process again and again
						hostFaults["settings"](r, h, x.length)
					}
				})
			}
		}
		time.Sleep(x.length / 2)
	}
}

func (r *run) countFault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Faults[kind]++
}

func (r *run) injectHostFault(kind string, h *host, length time.Duration, running *sync.WaitGroup) {
	running.Go(func() { h.injectFault(r, kind, func() { hostFaults[kind](r, h, length) }) })
}

// silence is a time during which a server, or all servers, are silent, and the fault that comes with it.
type silence struct {
	at     standin.Silence
	server int // index of the server; all of them if it is out of range
	length time.Duration
	with   string // kind of another fault at the same time; empty for none
}

func (r *run) randomSilence(rng *rand.Rand) silence {
	return silence{
		at:     []standin.Silence{standin.BeforeHead, standin.BetweenEvents, standin.OnAccept}[rng.Intn(3)],
		server: rng.Intn(len(r.servers) + 2),
		length: randomDuration(rng, minSilence, maxSilence),
		with:   []string{"", "config", "stop", "reload"}[rng.Intn(4)],
	}
}

func (r *run) silence(x silence) {
	r.mu.Lock()
	servers := slices.Clone(r.servers)
	r.mu.Unlock()
	for i, s := range servers {
		if i == x.server || x.server >= len(servers) {
			s.FallSilent(x.at, x.length)
			if x.at == standin.OnAccept {
				time.AfterFunc(x.length, r.links[r.cfg.Hosts+i].faults.open(recoveryTime))
			}
		}
	}
	if x.with != "" {
		r.countFault(silentServer + " with " + x.with)
	}
}

// allowLateAnswers permits late answers and cut streams of a host while the link from its callers has a fault.
func (r *run) allowLateAnswers(l *link) (end func()) {
	for _, h := range r.hosts {
		if h.callerLink == l {
			endLate, endCut := h.lateAllowed.open(recoveryTime), h.cutAllowed.open(recoveryTime)
			return func() {
				endLate()
				endCut()
			}
		}
	}
	return func() {}
}
