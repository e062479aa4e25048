package trail

import (
	"cmp"
	"context"
	"fmt"
	"math/rand"
	"slices"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// fault is a kind of fault. inject repeats it until the context ends.
type fault struct {
	name   string
	inject func(*run, context.Context, *rand.Rand)
}

const (
	// defaultPause is the mean time between two faults. It leaves room for the calm time and the bound.
	defaultPause = 6 * time.Second
	// pauseSpread is the greatest difference from the mean.
	pauseSpread = 500 * time.Millisecond

	// copyInterval is the time between two copies of the store, and minAge and maxAge bound the age of the one that comes back.
	copyInterval   = 200 * time.Millisecond
	minAge, maxAge = time.Second, 8 * time.Second
	// maxRewrite is the greatest time until what a copy lacks is written again.
	maxRewrite = 2 * time.Second
	// maxApart lets some hosts read between two changes while others wait for their next try, which is at most 0.7 s away.
	maxApart = 500 * time.Millisecond
	// maxCopies is the greatest number of copies in a row.
	maxCopies = 4

	// minWatch and maxWatch bound how long a watch waits before it is cut. The time changes every cutChange.
	minWatch, maxWatch = 20 * time.Millisecond, time.Second
	cutChange          = 2 * time.Second
	// silentWatch is how long a watch waits before it falls silent.
	silentWatch = 50 * time.Millisecond
	// minAway and maxAway bound how long the store turns hosts away, and minDelay and maxDelay how long it is slow.
	minAway, maxAway   = time.Second, 4 * time.Second
	minDelay, maxDelay = 3 * time.Second, 5 * time.Second
	// pageLen makes the store's answers have several pages, the later ones latePage late. Hosts wait 1.2 s for all of them.
	pageLen  = 5
	latePage = time.Second
	// The gaps bound the time between two changes that are dropped from the history at once.
	minCompactionGap, maxCompactionGap = 20 * time.Millisecond, 200 * time.Millisecond

	// The gaps bound the time between two faults of processes. A version is published at most versionDelay after the start of one.
	minProcessGap, maxProcessGap = 500 * time.Millisecond, 2 * time.Second
	versionDelay                 = 100 * time.Millisecond
	// minPaused and maxPaused bound how long a process is stopped by SIGSTOP.
	minPaused, maxPaused = 200 * time.Millisecond, 1500 * time.Millisecond

	// burstLength is the length of a burst of versions, and the gaps bound the time between two of them.
	burstLength              = 1500 * time.Millisecond
	minBurstGap, maxBurstGap = 50 * time.Millisecond, 100 * time.Millisecond
	// The gaps bound the time between two versions that are published together with leaving servers.
	minTogetherGap, maxTogetherGap = 300 * time.Millisecond, 700 * time.Millisecond
)

var (
	// awayTimes are how long the store is away before it comes back from a copy.
	awayTimes = []time.Duration{0, 500 * time.Millisecond, 2 * time.Second}
	// answerTimes are those of a slow store. Hosts wait 1.2 s for a read.
	answerTimes = []time.Duration{60 * time.Millisecond, 300 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond}
	storeFaults = []standin.Fault{standin.Busy, standin.RateLimited, standin.Reset, standin.Silent}
)

var faults = []fault{
	{"none", func(*run, context.Context, *rand.Rand) {}},
	{"store-copy", func(r *run, ctx context.Context, rng *rand.Rand) { r.restoreStore(ctx, rng, 1, 0) }},
	{"store-copy-apart", func(r *run, ctx context.Context, rng *rand.Rand) { r.restoreStore(ctx, rng, 1, maxApart) }},
	{"store-copies", func(r *run, ctx context.Context, rng *rand.Rand) { r.restoreStore(ctx, rng, maxCopies, 0) }},
	{"cut-watches", (*run).cutWatches},
	{"silent-connections-one", func(r *run, ctx context.Context, rng *rand.Rand) { r.silenceConnections(ctx, rng, false) }},
	{"silent-connections-all", func(r *run, ctx context.Context, rng *rand.Rand) { r.silenceConnections(ctx, rng, true) }},
	{"silent-watches", (*run).silenceWatches},
	{"slow-store", (*run).slowStore},
	{"late-page", (*run).latePages},
	{"turned-away", (*run).turnAway},
	{"compaction", (*run).compact},
	{"stop", func(r *run, ctx context.Context, rng *rand.Rand) { r.disturbProcesses(ctx, rng, (*host).stop) }},
	{"kill", func(r *run, ctx context.Context, rng *rand.Rand) { r.disturbProcesses(ctx, rng, (*host).killAndStart) }},
	{"reload", (*run).reload},
	{"pause", func(r *run, ctx context.Context, rng *rand.Rand) { r.disturbProcesses(ctx, rng, (*host).pause) }},
	{"burst", (*run).burst},
	{"together", (*run).together},
}

// FaultNames returns the names of the faults.
func FaultNames() []string {
	var names []string
	for _, f := range faults {
		names = append(names, f.name)
	}
	return names
}

func faultsNamed(names []string) (chosen []fault, err error) {
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("fault %q is none of %q", name, FaultNames())
		}
		chosen = append(chosen, faults[i])
	}
	return chosen, nil
}

// pause returns the time until the next fault.
func (r *run) pause(rng *rand.Rand) time.Duration {
	mean := cmp.Or(r.Pause, defaultPause)
	return between(rng, mean-pauseSpread, mean+pauseSpread)
}

// restoreStore lets the store come back from copies, up to a number of them in a row. In the seconds that are lost a version is
// published, a server drains and the entry of another one is removed. The next version is written up to a time apart from what is
// written again.
func (r *run) restoreStore(ctx context.Context, rng *rand.Rand, most int, apart time.Duration) {
	type copied struct {
		at    time.Time
		state standin.Copy
	}
	var copies []copied
	for ctx.Err() == nil {
		for end := time.Now().Add(r.pause(rng)); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, copyInterval) {
			copies = append(copies, copied{time.Now(), r.fleet.Store.Copy()})
		}
		if ctx.Err() != nil {
			return
		}
		count, rewrite := 1+rng.Intn(most), time.Duration(0)
		if rng.Intn(3) == 0 {
			rewrite = between(rng, 0, maxRewrite)
		}
		for range count {
			age, away := between(rng, minAge, maxAge), awayTimes[rng.Intn(len(awayTimes))]
			r.writing.Lock()
			r.writeNews()
			r.writing.Unlock()
			sleep(ctx, between(rng, 0, minAge/2))
			oldest := time.Now().Add(-age)
			i := slices.IndexFunc(copies, func(c copied) bool { return c.at.After(oldest) })
			r.writing.Lock() // nobody writes to a store that is away
			end := r.disturb(nil)
			r.fleet.Store.SetFault(0, standin.Reset)
			sleep(ctx, away)
			r.fleet.Store.Restore(copies[max(i, 0)].state)
			r.fleet.Store.SetFault(0, standin.Healthy)
			end()
			r.writing.Unlock()
			copies = copies[:max(i, 0)+1] // the later ones are of a state that is gone
		}
		sleep(ctx, rewrite)
		r.writing.Lock()
		if rng.Intn(3) > 0 {
			r.writeNews() // before the rest, so that it gets revisions that hosts have seen before
			if apart > 0 {
				r.writing.Unlock()
				sleep(ctx, between(rng, 0, apart))
				r.writing.Lock()
			}
		}
		r.fleet.Store.Rewrite()
		r.writing.Unlock()
	}
}

// writeNews writes a version and lets servers leave. The caller holds r.writing.
func (r *run) writeNews() {
	r.publishLocked()
	r.replaceLocked(true)
	r.replaceLocked(false)
}

// cutWatches lets the store cut watches that wait. The bound holds all the while, since the store answers every call.
func (r *run) cutWatches(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r.fleet.Store.CutWatches(between(rng, minWatch, maxWatch))
		r.countFault()
		sleep(ctx, cutChange)
	}
}

// silenceConnections makes the open connections of one host or all to the store silent for good. New ones work, so the fault of the
// store is over at once.
func (r *run) silenceConnections(ctx context.Context, rng *rand.Rand, all bool) {
	for ctx.Err() == nil {
		chosen := r.hosts
		if i := rng.Intn(len(r.hosts)); !all {
			chosen = r.hosts[i : i+1]
		}
		for _, h := range chosen {
			end := r.disturb(h)
			r.storeLink(h).HoldOpen()
			end()
		}
		sleep(ctx, r.pause(rng))
	}
}

// silenceWatches lets the store leave watches that wait without an answer for a while.
func (r *run) silenceWatches(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r.delayAnswers(ctx, standin.Delays{SilentWatch: silentWatch}, between(rng, minDelay, maxDelay))
		sleep(ctx, r.pause(rng))
	}
}

func (r *run) slowStore(ctx context.Context, rng *rand.Rand) {
	for first := rng.Intn(len(answerTimes)); ctx.Err() == nil; first++ {
		r.delayAnswers(ctx, standin.Delays{Answer: answerTimes[first%len(answerTimes)]}, between(rng, minDelay, maxDelay))
		sleep(ctx, r.pause(rng))
	}
}

func (r *run) delayAnswers(ctx context.Context, d standin.Delays, length time.Duration) {
	defer r.disturb(nil)()
	r.fleet.Store.SetDelays(0, d)
	sleep(ctx, length)
	r.fleet.Store.SetDelays(0, standin.Delays{})
}

// latePages lets the store answer reads in pages, the later ones of which are late, and drop its history, so that hosts read pages.
func (r *run) latePages(ctx context.Context, rng *rand.Rand) {
	r.fleet.Store.SetPageLen(pageLen)
	for ctx.Err() == nil {
		end := r.disturb(nil)
		r.fleet.Store.SetDelays(0, standin.Delays{LaterPage: latePage})
		r.changeAndCompact()
		sleep(ctx, between(rng, minDelay, maxDelay))
		r.fleet.Store.SetDelays(0, standin.Delays{})
		end()
		sleep(ctx, r.pause(rng))
	}
}

// turnAway lets the store turn some hosts away, but not all if there are several.
func (r *run) turnAway(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		count := 1 + rng.Intn(max(1, len(r.hosts)-1))
		kind, length := storeFaults[rng.Intn(len(storeFaults))], between(rng, minAway, maxAway)
		var ends []func()
		chosen := rng.Perm(len(r.hosts))[:count]
		for _, i := range chosen {
			ends = append(ends, r.disturb(r.hosts[i]))
			r.fleet.Store.SetFault(r.hosts[i].number, kind)
		}
		sleep(ctx, length)
		for k, i := range chosen {
			r.fleet.Store.SetFault(r.hosts[i].number, standin.Healthy)
			ends[k]()
		}
		sleep(ctx, r.pause(rng))
	}
}

// compact lets the store drop its history with each of many changes, so that watches end with 410 one after the other.
func (r *run) compact(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r.changeAndCompact()
		r.countFault()
		sleep(ctx, between(rng, minCompactionGap, maxCompactionGap))
	}
}

// changeAndCompact writes the entry of a server again and drops the history.
func (r *run) changeAndCompact() {
	r.writing.Lock()
	defer r.writing.Unlock()
	s := r.pool[len(r.pool)-1]
	r.fleet.Register(s, poolService, "ready")
	r.fleet.Store.Compact()
}

// disturbProcesses lets a process stop, end or pause while a version is published.
func (r *run) disturbProcesses(ctx context.Context, rng *rand.Rand, how func(*host, *run, *rand.Rand)) {
	for ctx.Err() == nil {
		h := r.hosts[rng.Intn(len(r.hosts))]
		time.AfterFunc(between(rng, 0, versionDelay), r.publish)
		end := r.disturb(h)
		h.mu.Lock()
		how(h, r, rng)
		h.mu.Unlock()
		end()
		sleep(ctx, between(rng, minProcessGap, maxProcessGap))
	}
}

func (h *host) stop(r *run, _ *rand.Rand) {
	if h.Starting() {
		return // the signal would end the process at once
	}
	if err := h.Terminate(time.Duration(h.Settings.Entry.ShutdownMS) * time.Millisecond); err != nil {
		r.problem("host %s ended with %v", h.Settings.HostID, err)
	}
	time.Sleep(restartDelay)
	h.startAgain(r)
}

func (h *host) killAndStart(r *run, _ *rand.Rand) {
	h.Signal(syscall.SIGKILL)
	<-h.Exited
	time.Sleep(restartDelay)
	h.startAgain(r)
}

func (h *host) startAgain(r *run) {
	if err := h.Start(); err != nil {
		r.problem("host %s does not start: %v", h.Settings.HostID, err)
		return
	}
	if !h.awaitReady(context.Background()) {
		r.problem("host %s is not ready %v after its start", h.Settings.HostID, startTimeout)
	}
}

func (h *host) pause(_ *run, rng *rand.Rand) {
	h.Signal(syscall.SIGSTOP)
	time.Sleep(between(rng, minPaused, maxPaused))
	h.Signal(syscall.SIGCONT)
}

// reload sends SIGHUP to a host whose settings have changed while a version is published.
func (r *run) reload(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		h := r.hosts[rng.Intn(len(r.hosts))]
		h.mu.Lock()
		if !h.Starting() { // the signal would end the process
			time.AfterFunc(between(rng, 0, versionDelay), r.publish)
			slices.Reverse(h.Settings.Entry.Peers)
			if err := h.WriteSettings(); err != nil {
				r.problem("write settings of host %s: %v", h.Settings.HostID, err)
			}
			h.Signal(syscall.SIGHUP)
			r.countFault()
		}
		h.mu.Unlock()
		sleep(ctx, between(rng, minProcessGap, maxProcessGap))
	}
}

// burst publishes versions in quick succession. One of them can't be read.
func (r *run) burst(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r.countFault()
		unreadable := time.Now().Add(between(rng, 0, burstLength))
		published := false
		for end := time.Now().Add(burstLength); time.Now().Before(end) && ctx.Err() == nil; {
			if !published && time.Now().After(unreadable) {
				r.publishUnreadable()
				published = true
			} else {
				r.publish()
			}
			sleep(ctx, between(rng, minBurstGap, maxBurstGap))
		}
		sleep(ctx, r.pause(rng))
	}
}

// together publishes a version and lets servers leave at the same moment.
func (r *run) together(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		r.countFault()
		r.writing.Lock()
		r.replaceLocked(false)
		r.publishLocked()
		r.replaceLocked(true)
		r.writing.Unlock()
		sleep(ctx, between(rng, minTogetherGap, maxTogetherGap))
	}
}
