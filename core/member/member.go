// Package member is a SWIM-like membership and gossip state machine. It probes members of its own
// availability zone, spreads liveness, leaving marks, configuration versions, load and heavy teams,
// and exchanges digests with other availability zones through two delegates per availability zone.
//
// The machine is pure: time, datagrams and randomness come in, datagrams and changes go out.
package member

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// ID names a process, "host/role".
type ID string

// MakeID returns the id of a host's process in a role.
func MakeID(host ident.HostID, role string) ID { return ID(string(host) + "/" + role) }

// Addr is a UDP address "ip:port".
type Addr string

// State is the liveness of a member as seen by others.
type State uint8

// States, in rising order of precedence at one epoch.
const (
	Alive State = iota
	Suspect
	Dead
)

// Member is what is known about one process.
type Member struct {
	ID          ID
	Zone        ident.Zone
	Addr        Addr
	Incarnation ident.Incarnation
	// Epoch orders the statements about a process. It starts at the wall clock in ms at process start
	// and only the process itself raises it, to refute a statement about it.
	Epoch   uint64
	State   State
	Leaving bool // set once per incarnation, never taken back
}

// ConfigVersion is a configuration version with the digest of its body.
type ConfigVersion struct {
	Version ident.Version
	Digest  uint64
}

// ModelLoad is the load of one model in one availability zone.
type ModelLoad struct {
	Model      ident.Model
	FreeTokens int64 // free memory of all engines that are reported
	QueueDelay time.Duration
}

// TeamDemand is the demand of a team in requests per second over all gateways.
type TeamDemand struct {
	Team   ident.Team
	Demand float64
}

// LocalState is what this process tells the others. Load is cut to 16 models and 560 bytes, teams to 16 and 400 bytes;
// order them by weight.
type LocalState struct {
	Config  ConfigVersion
	Hosts   uint64 // version of the host list
	Load    []ModelLoad
	Teams   []TeamDemand
	Leaving bool // this process is leaving
}

// Config holds the settings of a machine. Zero values take the default.
type Config struct {
	Self        ID
	Zone        ident.Zone
	Region      string // availability zones of one region exchange load; empty counts as one region
	Addr        Addr   // address that others reach this process at
	Incarnation ident.Incarnation
	StartedMS   uint64 // wall clock at process start, unix ms
	// ProbeInterval is the time between probes. Shorter values find failures earlier and cost bytes in
	// proportion. Default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to a direct ack before indirect probes start. Default 300 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute. Default 3 s.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of members asked to probe. Default 3.
	IndirectProbes int
	// DigestInterval is the time between digests to other availability zones. Default 2 s.
	DigestInterval time.Duration
	// PauseLimit is the gap between two steps above which the process counts as paused. The adapter
	// must send a Tick more often. Default 250 ms.
	PauseLimit time.Duration
	// MaxDatagram bounds a datagram in bytes. Default 1,200.
	MaxDatagram int
}

// Seed is an address to join through, from the host list or the settings.
type Seed struct {
	Addr Addr
	Zone ident.Zone // empty if not known
}

// Event is an input of the machine: Tick, Received, Seeds, Update or MarkLeaving.
type Event interface{ isEvent() }

// Tick lets time pass. The adapter sends one at least every 100 ms.
type Tick struct{}

// Received is a datagram from another process.
type Received struct {
	From Addr
	Msg  Message
}

// Seeds replaces the join addresses.
type Seeds struct{ Seeds []Seed }

// UpdateLocal replaces what this process tells the others.
type UpdateLocal struct{ Local LocalState }

// MarkLeaving tells that a backend server (its id) or an entry host's process (its ID) is leaving, as
// learned from the host list, a report or a refusal. Repeat it while the source still says so: a mark on a
// backend server expires after MarkTTL.
type MarkLeaving struct{ Name string }

func (Tick) isEvent()        {}
func (Received) isEvent()    {}
func (Seeds) isEvent()       {}
func (UpdateLocal) isEvent() {}
func (MarkLeaving) isEvent() {}

// Action is an output of the machine: Send, MemberChanged, LeavingLearned or ConfigSeen.
type Action interface{ isAction() }

// Send is a datagram to send.
type Send struct {
	To  Addr
	Msg Message
}

// MemberChanged tells that a member appeared, changed its state or was restarted.
type MemberChanged struct{ Member Member }

// LeavingLearned tells that a backend server or process is leaving: send it no new work.
type LeavingLearned struct{ Name string }

// ConfigSeen tells that a member holds a configuration version above this process's own, or the same
// version with another digest.
type ConfigSeen struct {
	Config ConfigVersion
	From   ID
}

func (Send) isAction()           {}
func (MemberChanged) isAction()  {}
func (LeavingLearned) isAction() {}
func (ConfigSeen) isAction()     {}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

func (c Config) withDefaults() Config {
	orDefault(&c.ProbeInterval, time.Second)
	orDefault(&c.ProbeTimeout, 300*time.Millisecond)
	orDefault(&c.SuspicionTimeout, 3*time.Second)
	orDefault(&c.IndirectProbes, 3)
	orDefault(&c.DigestInterval, 2*time.Second)
	orDefault(&c.PauseLimit, 250*time.Millisecond)
	orDefault(&c.MaxDatagram, 1200)
	return c
}
