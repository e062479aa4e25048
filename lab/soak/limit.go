package soak

import (
	"context"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// serverLimit is a kind of fault that Config.Without may name: servers name in their answers how many requests a second they
// take from all hosts together.
const serverLimit = "server limit"

const (
	// minLimit and maxLimit bound the limits, in requests a second.
	minLimit, maxLimit = 0.5, 20
	// minLimitTime and maxLimitTime bound how long a server names a limit. It has to hold after limitSettles only.
	minLimitTime, maxLimitTime = 4500 * time.Millisecond, 9 * time.Second
	// minLimitGap and maxLimitGap bound the time between the starts of two limits.
	minLimitGap, maxLimitGap = 500 * time.Millisecond, 3 * time.Second
	// jointLimitShare is the fraction of limits that all servers of a service name, and severalLimitShare that of limits
	// that some of them name. The same holds for servers that become cold.
	jointLimitShare, severalLimitShare = 0.1, 0.3
	// limitChangeShare and limitRestartShare are the fractions of limits that change, or whose server starts again,
	// halfway.
	limitChangeShare, limitRestartShare = 0.3, 0.2
	// limitSettles is the time from the first answer that names a limit until the limit has to hold for the hosts that got
	// such an answer at least limitHeard before.
	limitSettles, limitHeard = 3 * time.Second, 500 * time.Millisecond
	// A window of limitWindow may hold limitFactor times the limit and limitSlack requests more.
	limitWindow             = 4 * time.Second
	limitFactor, limitSlack = 1.5, 5
)

// injectLimit makes one, several or all servers of a service name a limit.
func (r *run) injectLimit(ctx context.Context, rng *rand.Rand, running *sync.WaitGroup) {
	service := services[rng.Intn(len(services))]
	servers := r.serversOf(service)
	x := randomLimit(rng)
	chosen := r.someServers(ctx, rng, servers, x.length, running)
	for _, s := range chosen {
		running.Go(func() { r.limit(ctx, s, service, x) })
	}
}

// someServers draws one, several or all of the servers of a service. All together are an outage of the given length.
func (r *run) someServers(ctx context.Context, rng *rand.Rand, servers []*standin.Server, length time.Duration, running *sync.WaitGroup) []*standin.Server {
	switch draw := rng.Float64(); {
	case draw < jointLimitShare:
		running.Go(func() {
			defer r.outages.open(0)()
			ctxSleep(ctx, length)
		})
		return servers
	case draw < jointLimitShare+severalLimitShare:
		return servers[:1+rng.Intn(len(servers)-1)]
	}
	first := rng.Intn(len(servers))
	return servers[first : first+1]
}

// ctxSleep sleeps for a time or until the context ends.
func ctxSleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// limited is a time during which a server names a limit.
type limited struct {
	length   time.Duration
	limits   [2]string // in the first and the second half
	restarts bool      // the server starts again halfway, as a new lifetime
}

func randomLimit(rng *rand.Rand) (x limited) {
	draw := func() string {
		return strconv.FormatFloat(minLimit*math.Pow(maxLimit/minLimit, rng.Float64()), 'f', 2, 64)
	}
	x.length = randomDuration(rng, minLimitTime, maxLimitTime)
	first, second := draw(), draw()
	x.limits = [2]string{first, first}
	if rng.Float64() < limitChangeShare {
		x.limits[1] = second
	}
	x.restarts = rng.Float64() < limitRestartShare
	return x
}

// limit makes a server name limits for a time, unless it does already.
func (r *run) limit(ctx context.Context, s *standin.Server, service string, x limited) {
	if !s.Limit.CompareAndSwap(nil, &x.limits[0]) {
		return
	}
	defer s.Limit.Store(nil)
	ctxSleep(ctx, x.length/2)
	s.Limit.Store(&x.limits[1])
	if x.restarts {
		r.unlessCrashed(s, func() { r.fleet.StartAgain(s, service) })
	}
	ctxSleep(ctx, x.length/2)
}

// keepLimit returns the failures of a server without random answers while it names a limit: one that names none would end it.
func keepLimit(s *standin.Server, failureFor func(string) standin.Failure) func(string) standin.Failure {
	return func(id string) standin.Failure {
		f := failureFor(id)
		if f == standin.Raw && s.Limit.Load() != nil {
			return standin.NoFailure
		}
		return f
	}
}

// checkLimits checks that all hosts together keep to the limits that servers name.
func (r *run) checkLimits() {
	byServer := map[peerOf][]contact{}
	for _, x := range r.contacts() {
		key := peerOf{server: x.Server, lifetime: x.Lifetime}
		byServer[key] = append(byServer[key], x)
	}
	for key, all := range byServer {
		slices.SortFunc(all, func(a, b contact) int { return a.At.Compare(b.At) })
		for _, text := range limitViolations(all) {
			r.reportViolation("server %s: %s", key.server, text)
		}
	}
}

// limitViolations returns what hosts have sent beyond the limits of one lifetime of a server, at most one text for each time in
// which it names limits. The contacts are in order of their arrival.
func limitViolations(all []contact) (violations []string) {
	begin, reported := -1, false
	var settled time.Time
	var counted []time.Time
	for i, x := range all {
		perSecond, err := strconv.ParseFloat(x.Limit, 64)
		if err != nil { // the server names none
			begin = -1
			continue
		}
		if begin < 0 {
			begin, reported, counted = i, false, nil
			settled = x.At.Add(limitSettles)
		}
		if x.At.Before(settled) || !heardLimit(all[begin:i], x) {
			continue
		}
		counted = append(counted, x.At)
		for !counted[0].After(x.At.Add(-limitWindow)) {
			counted = counted[1:]
		}
		perSecond = max(perSecond, greatestLimit(all[begin:i], counted[0].Add(-limitSettles)))
		if allowed := limitFactor*limitWindow.Seconds()*perSecond + limitSlack; float64(len(counted)) > allowed && !reported {
			violations = append(violations, fmt.Sprintf("%d requests within %v of request %s, of %.1f that its limit of %g/s allows", len(counted), limitWindow, x.ID, allowed, perSecond))
			reported = true
		}
	}
	return violations
}

// heardLimit reports whether a host had passed on an answer with a limit before it sent x, and had no fault since then.
func heardLimit(before []contact, x contact) bool {
	for _, told := range slices.Backward(before) {
		passedOn := told.host == x.host && told.alone && told.Failure == standin.NoFailure && told.Served()
		if passedOn && !told.endedAt.Add(limitHeard).After(x.At) {
			return !x.host.cutAllowed.overlap(told.sentAt, x.At)
		}
	}
	return false
}

// greatestLimit returns the greatest limit that answers named which ended after a time.
func greatestLimit(named []contact, after time.Time) (greatest float64) {
	for _, x := range slices.Backward(named) {
		if perSecond, err := strconv.ParseFloat(x.Limit, 64); err == nil && x.endedAt.After(after) {
			greatest = max(greatest, perSecond)
		}
		if x.At.Before(after.Add(-callTimeout)) {
			break // it has ended before
		}
	}
	return greatest
}
