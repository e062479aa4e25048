// Package isolation cuts entry hosts of a small site off from all backend servers while callers go on sending to every host, and
// counts the first attempts that are served at the hosts that are cut off and at the others. Hosts and stand-ins run in the
// process; callers do not try again.
package isolation

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rosemaryhill/rosemaryhill/node/entry"
	"github.com/rosemaryhill/rosemaryhill/platform"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

const (
	hostCount = 6
	zoneCount = 3
	// serversPerZone is the number of servers of each service in each zone.
	serversPerZone = 2
	// plainPerSecond is the number of requests a second that a plain server bears; it refuses more. Half of them may come at
	// once.
	plainPerSecond = 20
	burstShare     = 0.5
	// streamsPerSecond is the number of streams a second that fill the slots of an engine, which hosts keep to.
	streamsPerSecond = engineSlots / (standin.StreamEvents * 0.32)
	engineSlots      = 16
	// serviceTime is the time of a plain request, and eventInterval the one between two events of a stream.
	serviceTime   = 20 * time.Millisecond
	eventInterval = 320 * time.Millisecond
	// timeout is that of all routes.
	timeout = 4 * time.Second
	// warmUp is the time under load before the cut, and afterTime the one after it. Calls of the store count from startTime on; a
	// watch of the store waits for up to 3 s.
	warmUp    = 5 * time.Second
	startTime = time.Second
	afterTime = 2 * time.Second
	// DetectionTime is the time from the cut within which a host must serve through others.
	DetectionTime = 3 * time.Second
	// readyTimeout bounds the time until all hosts are ready and know each other.
	readyTimeout = 10 * time.Second
)

// PortCount is the number of ports that a run uses.
const PortCount = 11

// Sets are the hosts that are cut off, by the name of the set. Hosts are numbered from 1, and n and n+3 share a zone.
var Sets = []Set{
	{"1 host", []int{1}}, {"2 hosts", []int{1, 2}}, {"a zone", []int{1, 4}}, {"5 of 6", []int{1, 2, 3, 4, 5}}, {"all", []int{1, 2, 3, 4, 5, 6}},
}

// Set is a set of hosts that are cut off.
type Set struct {
	Name  string
	Hosts []int
}

// Loads are the shares of what the servers bear that callers send.
var Loads = []float64{0.1, 0.5, 1}

// Config holds the settings of a run.
type Config struct {
	Cut    standin.Cut
	Set    Set
	Load   float64       // share of what the servers bear
	During time.Duration // how long the cut lasts
	Port   int           // first of PortCount ports on the loopback network
}

// Count is a number of first attempts and how many of them were served.
type Count struct{ Sent, Served int }

// String returns the served share in percent, and the number of attempts.
func (n Count) String() string {
	if n.Sent == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%% of %d", 100*float64(n.Served)/float64(n.Sent), n.Sent)
}

// Result is the result of a run.
type Result struct {
	Config
	// Isolated and Others count by path what began from DetectionTime after the cut to its end; EarlyIsolated and EarlyOthers what
	// began before that.
	Isolated, Others, EarlyIsolated, EarlyOthers map[string]Count
	StoreBefore, StoreDuring                     float64 // calls of the store a second
	Broken                                       []string
}

// run is the state of a run.
type run struct {
	Config
	fleet  *standin.Fleet
	hosts  []*entry.Host
	links  []*standin.Links
	caller standin.Caller

	mu       sync.Mutex
	attempts []attempt
}

type attempt struct {
	standin.Result
	host int
	at   time.Duration // since the load began
}

// Run plays a run and returns its counts.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	r := &run{Config: cfg}
	if r.fleet, err = standin.NewFleet(cfg.Port, hostCount, nil); err != nil {
		return res, err
	}
	defer r.fleet.Close()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return res, err
	}
	res.Config = cfg
	r.play(ctx, &res)
	r.count(&res)
	return res, ctx.Err()
}

func (r *run) start(ctx context.Context) error {
	for zone := 1; zone <= zoneCount; zone++ {
		for range serversPerZone {
			plain, err := r.fleet.AddIn("ledger", fmt.Sprint("z", zone))
			if err != nil {
				return err
			}
			plain.ServiceTime, plain.FailureFor = serviceTime, (&bucket{perSecond: plainPerSecond}).failureFor
			engine, err := r.fleet.AddIn("models", fmt.Sprint("z", zone))
			if err != nil {
				return err
			}
			engine.EventInterval = eventInterval
		}
	}
	r.fleet.Configure(1, timeout)
	for n := 1; n <= hostCount; n++ {
		s := r.fleet.HostSettings(n, r.Port+1)
		s.AvailabilityZone = fmt.Sprint("z", 1+(n-1)%zoneCount)
		links := standin.NewLinks()
		h, err := entry.Start(entry.Config{
			Settings: s, Dialect: platform.Dialect{}, LogTo: io.Discard, DialServer: links.Dial,
			OpenStore: func(log *logrus.Entry) entry.Store { return platform.NewStore(s.Entry.StoreAddress, log) },
		})
		if err != nil {
			return err
		}
		r.hosts, r.links = append(r.hosts, h), append(r.links, links)
	}
	return r.awaitHosts(ctx)
}

// awaitHosts waits until each host names all to callers.
func (r *run) awaitHosts(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for n := 1; n <= hostCount; {
		a, err := standin.Resolve(ctx, r.fleet.HostSettings(n, r.Port+1).Entry.DirectoryAddress)
		if err == nil && len(a.List) == hostCount {
			n++
			continue
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("host %d names %d hosts: %w", n, len(a.List), ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (r *run) close() {
	for i, h := range r.hosts {
		r.links[i].Restore()
		h.Close()
	}
}

// play runs the load and the cut.
func (r *run) play(ctx context.Context, res *Result) {
	servers := float64(zoneCount * serversPerZone)
	began := time.Now()
	var senders sync.WaitGroup
	for path, perSecond := range map[string]float64{
		standin.SafePath: servers * plainPerSecond / 2, standin.UnsafePath: servers * plainPerSecond / 2, standin.StreamPath: servers * streamsPerSecond,
	} {
		senders.Go(func() { r.send(ctx, began, path, r.Load*perSecond) })
	}
	wait := func(until time.Duration) {
		select {
		case <-time.After(time.Until(began.Add(until))):
		case <-ctx.Done():
		}
	}
	wait(startTime)
	first := r.fleet.Store.Calls()
	wait(warmUp)
	cutAt := r.fleet.Store.Calls()
	for _, n := range r.Set.Hosts {
		r.links[n-1].Lose(r.Cut, nil)
	}
	wait(warmUp + r.During)
	res.StoreBefore = float64(cutAt-first) / (warmUp - startTime).Seconds()
	res.StoreDuring = float64(r.fleet.Store.Calls()-cutAt) / r.During.Seconds()
	for _, l := range r.links {
		l.Restore()
	}
	senders.Wait()
	wait(warmUp + r.During + afterTime + time.Second) // servers get what was written during the cut
}

// send sends requests of a path at a rate to the hosts in turn, and waits for their ends.
func (r *run) send(ctx context.Context, began time.Time, path string, perSecond float64) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		at := time.Duration(float64(i) / perSecond * float64(time.Second))
		if at > warmUp+r.During+afterTime || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(began.Add(at)))
		host := 1 + i%hostCount
		running.Go(func() {
			a := attempt{host: host, at: at}
			a.Result = r.caller.Call(ctx, r.fleet.HostSettings(host, r.Port+1).Entry.HTTPAddress, path)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.attempts = append(r.attempts, a)
		})
	}
}

// count sorts the attempts into the counts of the result.
func (r *run) count(res *Result) {
	res.Isolated, res.Others = map[string]Count{}, map[string]Count{}
	res.EarlyIsolated, res.EarlyOthers = map[string]Count{}, map[string]Count{}
	runs := r.fleet.Runs()
	for _, a := range r.attempts {
		res.Broken = append(res.Broken, a.Violations(runs[a.ID], standin.StreamEvents)...)
		isolated, others := res.Isolated, res.Others
		switch since := a.at - warmUp; {
		case since < 0 || since >= r.During:
			continue
		case since < DetectionTime:
			isolated, others = res.EarlyIsolated, res.EarlyOthers
		}
		counts := others
		if slices.Contains(r.Set.Hosts, a.host) {
			counts = isolated
		}
		n := counts[a.Path]
		n.Sent++
		if a.Served() {
			n.Served++
		}
		counts[a.Path] = n
	}
}

// bucket bounds the requests a second of a server.
type bucket struct {
	perSecond float64
	mu        sync.Mutex
	level     float64
	filled    time.Time
}

// failureFor has the form of standin.Server.FailureFor.
func (b *bucket) failureFor(string) standin.Failure {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	size := max(1, burstShare*b.perSecond)
	if b.filled.IsZero() {
		b.level = size
	} else {
		b.level = min(size, b.level+b.perSecond*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.level < 1 {
		return standin.Shed
	}
	b.level--
	return standin.NoFailure
}
