package member

import (
	"math/rand"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// MarkTTL is the time for which a leaving mark on a backend server holds without being repeated. A
// backend server that returns under the same id gets work again after it.
const MarkTTL = 60 * time.Second

// Machine is the membership state machine of one process. It is not safe for concurrent use.
type Machine struct{}

// New returns a machine that knows only itself.
func New(cfg Config, rng *rand.Rand, now time.Duration) *Machine { return &Machine{} }

// Step handles one event and returns what to do, in order.
func (m *Machine) Step(now time.Duration, ev Event) []Action { return nil }

// Self returns this process's own record.
func (m *Machine) Self() Member { return Member{} }

// Members returns all known members, this process included, ordered by ID. Dead ones are kept for
// some minutes.
func (m *Machine) Members() []Member { return nil }

// Lookup returns the member with the ID.
func (m *Machine) Lookup(id ID) (Member, bool) { return Member{}, false }

// Reachable tells whether the member is alive and, if it is in another availability zone, that zone
// was heard within 10 s.
func (m *Machine) Reachable(now time.Duration, id ID) bool { return false }

// Leaving tells whether the backend server or process is known to be leaving.
func (m *Machine) Leaving(now time.Duration, name string) bool { return false }

// Load returns the latest load of each model in an availability zone, ordered by model.
func (m *Machine) Load(zone ident.Zone) []ModelLoad { return nil }

// Teams returns the heavy teams with their demand over all availability zones, largest first, at
// most 16.
func (m *Machine) Teams() []TeamDemand { return nil }

// Delegates returns the delegates of an availability zone, at most two.
func (m *Machine) Delegates(zone ident.Zone) []ID { return nil }

// Newest returns the highest configuration version and host list version known, with a holder.
func (m *Machine) Newest() (config ConfigMark, configFrom ID, hosts uint64, hostsFrom ID) {
	return
}

// LastHeard returns the time of the last datagram from any peer, zero if none came.
func (m *Machine) LastHeard() time.Duration { return 0 }
