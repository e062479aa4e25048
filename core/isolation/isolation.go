// Package isolation decides from the connections and requests of a host which services it can't reach, although it knows their
// backend servers. Whether it is the host or the service that is cut off, only other hosts can tell.
//
// The Tracker does no I/O and reads no clock.
package isolation

import (
	"maps"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

const (
	// MinServers is the number of servers of a service that must fail, one after the other without an answer in between, before
	// the service counts as unreachable. A request tries as many, so that one request is enough.
	MinServers = 3
	// MinZones is the number of availability zones in which these servers must be, if the service has servers in as many.
	MinZones = 2
	// EvidenceTime is how long a failure counts towards them.
	EvidenceTime = 5 * time.Second
)

// Server is a backend server that can be used, as the catalog lists it.
type Server struct {
	ID   ident.BackendID
	Zone string
}

// Change says that a service has become unreachable, or reachable again.
type Change struct {
	Service     string
	Unreachable bool
	Servers     int           // that have failed without an answer
	For         time.Duration // since the first failure
}

// Tracker holds the failures of a host by service. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
}

type service struct {
	failed      map[ident.BackendID]failure
	first       time.Duration // start of the first attempt that failed, of those that count
	unreachable bool
}

type failure struct {
	zone string
	at   time.Duration
}

// NewTracker returns a tracker without failures.
func NewTracker() *Tracker { return &Tracker{services: map[string]*service{}} }

// Failed records that an attempt at a server, which began at a time, has met no connection or got no answer. servers are the
// servers of the service that can be used. It returns a change if the service counts as unreachable from now on.
func (t *Tracker) Failed(now, began time.Duration, name string, s Server, servers []Server) (Change, bool) {
	x := t.services[name]
	if x == nil {
		x = &service{failed: map[ident.BackendID]failure{}}
		t.services[name] = x
	}
	if !x.unreachable {
		maps.DeleteFunc(x.failed, func(_ ident.BackendID, f failure) bool { return now-f.at > EvidenceTime })
	}
	if len(x.failed) == 0 {
		x.first = began
	}
	x.first = min(x.first, began)
	x.failed[s.ID] = failure{s.Zone, now}
	if x.unreachable || !t.isConclusive(x, servers) {
		return Change{}, false
	}
	x.unreachable = true
	return Change{Service: name, Unreachable: true, Servers: len(x.failed), For: now - x.first}, true
}

// isConclusive reports whether the failures show that a service is unreachable. A host that can't reach another service needs a
// single one, and a service without servers is not unreachable but has none.
func (t *Tracker) isConclusive(x *service, servers []Server) bool {
	if len(servers) == 0 || t.Any() {
		return len(servers) > 0
	}
	listed, failed := map[string]bool{}, map[string]bool{}
	for _, s := range servers {
		listed[s.Zone] = true
	}
	for _, f := range x.failed {
		failed[f.zone] = true
	}
	return len(x.failed) >= min(MinServers, len(servers)) && len(failed) >= min(MinZones, len(listed))
}

// Answered records that a server has answered an attempt that began at a time. An answer to an attempt that began before the
// failures says nothing: connections that are open may live on while new ones are refused. It returns a change if the service was
// unreachable.
func (t *Tracker) Answered(now, began time.Duration, name string) (Change, bool) {
	x := t.services[name]
	if x == nil || began < x.first {
		return Change{}, false
	}
	delete(t.services, name)
	return Change{Service: name, Servers: len(x.failed), For: now - x.first}, x.unreachable
}

// Unreachable reports whether a service can't be reached.
func (t *Tracker) Unreachable(name string) bool {
	x := t.services[name]
	return x != nil && x.unreachable
}

// Any reports whether some service can't be reached.
func (t *Tracker) Any() bool {
	for _, x := range t.services {
		if x.unreachable {
			return true
		}
	}
	return false
}

// All returns the services that can't be reached, sorted.
func (t *Tracker) All() (names []string) {
	for name, x := range t.services {
		if x.unreachable {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Retain drops the services that have no servers any more: nothing could show that they can be reached again.
func (t *Tracker) Retain(hasServers func(name string) bool) {
	maps.DeleteFunc(t.services, func(name string, _ *service) bool { return !hasServers(name) })
}
