package soak

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// Kinds of faults that Config.Without may name: the store publishes that zones are evacuated, and servers become cold.
const (
	evacuation = "evacuation"
	coldServer = "cold server"
)

const (
	// learnTime is the time after which hosts have to know what the store has published, from the end of the last fault that can
	// delay the news. Others take the place of a lost reader within 1.1 s, three hosts repeat failed reads of the store within
	// 1.4 s, and changes that come together are read up to 0.1 s later; the rest of the time allows for a busy machine. It is
	// less than the 5 s after which no request may reach an evacuated zone.
	learnTime = 3500 * time.Millisecond
	// minEvacuation and maxEvacuation bound how long a zone is evacuated, and minCold and maxCold how long a server that is
	// not new is cold. Hosts are judged after learnTime only.
	minEvacuation, maxEvacuation = 4500 * time.Millisecond, 9 * time.Second
	minCold, maxCold             = 4500 * time.Millisecond, 8 * time.Second
	// coldTime is how long a server is cold after it has started.
	coldTime = 6 * time.Second
	// The gaps bound the time between the starts of two faults of a kind.
	minEvacuationGap, maxEvacuationGap = 2 * time.Second, 6 * time.Second
	minColdGap, maxColdGap             = time.Second, 4 * time.Second
	// allZonesShare and twoZonesShare are the fractions of evacuations of all zones and of two, and coldReturnShare that of
	// evacuations whose servers are cold at the end.
	allZonesShare, twoZonesShare, coldReturnShare = 0.1, 0.2, 0.5
	// coldOverrun and coldSlack bound the requests at a cold server in each coldWindow, for all hosts together.
	coldOverrun, coldSlack = 1.5, 5
	coldWindow             = time.Second
)

// zones are the availability zones of the servers of each service, in turn.
var zones = []string{"z1", "z2", "z3"}

// coldPerSecond is below the requests a second that a warm server gets.
var coldPerSecond = map[string]float64{"ledger": 4, "models": 1}

// injectEvacuation evacuates one zone, two or all, and may leave their servers cold.
func (r *run) injectEvacuation(ctx context.Context, rng *rand.Rand, running *sync.WaitGroup) {
	length := randomDuration(rng, minEvacuation, maxEvacuation)
	draw, cold, coldFor := rng.Float64(), rng.Float64() < coldReturnShare, randomDuration(rng, minCold, maxCold)
	n := 1
	switch {
	case draw < allZonesShare:
		n = len(zones)
		running.Go(func() {
			defer r.outages.open(learnTime)()
			ctxSleep(ctx, length)
		})
	case draw < allZonesShare+twoZonesShare:
		n = 2
	}
	for _, i := range rng.Perm(len(zones))[:n] {
		running.Go(func() {
			if !r.evacuateFor(ctx, zones[i], length) {
				return // it is evacuated already
			}
			if cold && !r.leftOut(coldServer) {
				for _, service := range services {
					r.makeCold(service, coldFor, func(s *standin.Server) bool { return s.Zone == zones[i] })
				}
			}
			r.fleet.TakeBack(zones[i])
		})
	}
}

// evacuateFor evacuates a zone, unless it is evacuated already, and returns after a time.
func (r *run) evacuateFor(ctx context.Context, zone string, length time.Duration) bool {
	w := r.zones[zone]
	if now := time.Now(); w.overlap(now, now.Add(time.Millisecond)) {
		return false
	}
	r.fleet.Evacuate(zone)
	end := w.open(0)
	ctxSleep(ctx, length)
	end()
	return true
}

// injectCold makes one, several or all servers of a service cold.
func (r *run) injectCold(ctx context.Context, rng *rand.Rand, running *sync.WaitGroup) {
	service, length := services[rng.Intn(len(services))], randomDuration(rng, minCold, maxCold)
	chosen := r.someServers(ctx, rng, r.serversOf(service), length, running)
	r.makeCold(service, length, func(s *standin.Server) bool { return slices.Contains(chosen, s) })
}

// makeCold makes servers of a service cold, which their entries say.
func (r *run) makeCold(service string, length time.Duration, chosen func(*standin.Server) bool) {
	for _, s := range r.serversOf(service) {
		if chosen(s) {
			r.unlessCrashed(s, func() { r.fleet.BecomeCold(s, service, length) })
		}
	}
}

// storeLinks returns the links of the hosts to the store, in order of the hosts. Those to the servers follow them.
func (r *run) storeLinks() []*link { return r.links[:r.cfg.Hosts] }

// linkTo returns the link to a server.
func (r *run) linkTo(server string) *link {
	return r.links[slices.IndexFunc(r.links, func(l *link) bool { return l.Addr() == r.fleet.AddressOf(server) })]
}

// mayKnowLate reports whether something may have kept a host from what the store had published learnTime before the arrival of
// a request: a fault of its process, or faults of all ways to the store, by itself and by other hosts. Requests that the link to
// the server or the server itself has held up are left out as well.
func (r *run) mayKnowLate(x contact) bool {
	from := x.At.Add(-learnTime)
	if x.host.cutAllowed.overlap(from, x.At) || r.linkTo(x.Server).faults.overlap(x.At.Add(-time.Millisecond), x.At) {
		return true
	}
	for n, l := range r.storeLinks() {
		if !r.hosts[n].cutAllowed.overlap(from, x.At) && !l.faults.overlap(from, x.At) && !l.failed.overlap(from, x.At) {
			return false
		}
	}
	return true
}

// withReservations adds the reservations that requests have used, at the time when they were made.
func (r *run) withReservations(all []contact) []contact {
	for _, x := range all {
		for id, address := range x.Reservations() {
			for _, s := range r.fleet.Servers {
				if at := s.ReservedAt(id); r.fleet.AddressOf(s.ID) == address && !at.IsZero() {
					all = append(all, contact{standin.Arrival{ID: x.ID, Server: s.ID, At: at}, x.call, false})
				}
			}
		}
	}
	return all
}

// judged returns the contacts with each server of hosts that can't have missed what the store published, in order of arrival.
func (r *run) judged() map[string][]contact {
	out := map[string][]contact{}
	for _, x := range r.withReservations(r.contacts()) {
		if !r.mayKnowLate(x) {
			out[x.Server] = append(out[x.Server], x)
		}
	}
	for _, all := range out {
		slices.SortFunc(all, func(a, b contact) int { return a.At.Compare(b.At) })
	}
	return out
}

// checkZones checks that no request reaches a server of an evacuated zone once hosts have to know of it.
func (r *run) checkZones() {
	for id, all := range r.judged() {
		for _, text := range zoneViolations(all, r.zones[r.fleet.Servers[id].Zone]) {
			r.reportViolation("server %s: %s", id, text)
		}
	}
}

// zoneViolations returns the requests that reached a server later than learnTime after its zone was evacuated, at most one text for
// each evacuation.
func zoneViolations(all []contact, evacuated *timeWindows) (violations []string) {
	for _, w := range evacuated.list {
		late := 0
		var first contact
		for _, x := range all {
			if x.At.After(w[0].Add(learnTime)) && x.At.Before(w[1]) {
				if late == 0 {
					first = x
				}
				late++
			}
		}
		if late > 0 {
			violations = append(violations, fmt.Sprintf("%d requests while its zone was evacuated, first %s %v after the key was written",
				late, first.ID, first.At.Sub(w[0])))
		}
	}
	return violations
}

// checkCold checks that all hosts together send no more requests to a cold server than it can handle.
func (r *run) checkCold() {
	for id, all := range r.judged() {
		perSecond := r.fleet.ColdPerSecond[r.fleet.ServiceOf(id)]
		allowed := perSecond*coldOverrun + coldSlack
		if most := mostWhileCold(all); perSecond > 0 && float64(most) > allowed {
			r.reportViolation("server %s: %d requests within %v while it was cold, of %g allowed", id, most, coldWindow, allowed)
		}
	}
}

// mostWhileCold returns the largest number of requests at a server in any coldWindow while it had been cold for longer than learnTime.
func mostWhileCold(all []contact) int {
	var cold []standin.Arrival
	for _, x := range all {
		if x.ColdFor > learnTime {
			cold = append(cold, x.Arrival)
		}
	}
	return standin.MostWithin(cold, coldWindow)
}
