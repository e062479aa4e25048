// Package member is a SWIM-like membership and gossip state machine. It probes members of its own
// availability zone, disseminates liveness, leaving marks, configuration versions, load and the teams
// with the highest demand, and exchanges digests with other availability zones through two delegates
// per availability zone.
//
// The machine does no I/O: time, datagrams and randomness are its inputs, datagrams and changes its
// outputs.
package member

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// ID identifies a process as "host/role".
type ID string

// MakeID returns the ID of the process that runs on a host in the given role.
func MakeID(host ident.HostID, role string) ID { return ID(string(host) + "/" + role) }

// Addr is a UDP address "ip:port".
type Addr string

// State is the liveness of a member as observed by other members.
type State uint8

// States, in ascending order of precedence within one epoch.
const (
	Alive State = iota
	Suspect
	Dead
)

// Member is the membership record of one process.
type Member struct {
	ID          ID
	Zone        ident.Zone
	Addr        Addr
	Incarnation ident.Incarnation
	// Epoch orders the updates about a process. It starts at the wall-clock time of the process start in
	// ms, and only the process itself increments it, to refute an update.
	Epoch   uint64
	State   State
	Leaving bool // never reset within an incarnation
}

// ConfigVersion is the version of a configuration with the digest of its content.
type ConfigVersion struct {
	Version ident.Version
	Digest  uint64
}

// ModelLoad is the load of one model in one availability zone.
type ModelLoad struct {
	Model      ident.Model
	FreeTokens int64 // total free memory of the reported engines
	QueueDelay time.Duration
}

// TeamDemand is the demand of a team in requests per second over all gateways.
type TeamDemand struct {
	Team   ident.Team
	Demand float64
}

// LocalState is the state that this process announces to the others. Load is truncated to 16 models and
// 560 bytes, Teams to 16 teams and 400 bytes, so the most important entries must come first.
type LocalState struct {
	Config  ConfigVersion
	Hosts   uint64 // version of the host list
	Load    []ModelLoad
	Teams   []TeamDemand
	Leaving bool // this process is leaving
}

// Config holds the settings of a Machine. Zero values select the defaults.
type Config struct {
	Self        ID
	Zone        ident.Zone
	Region      string // availability zones of one region exchange load; empty counts as one region
	Addr        Addr   // address at which other processes reach this one
	Incarnation ident.Incarnation
	StartedMS   uint64 // wall clock at process start, unix ms
	// ProbeInterval is the time between probes. Shorter values detect failures earlier at a
	// proportionally higher bandwidth. Default 1 s.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for a direct Ack before indirect probes start. Default 300 ms.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time in which a suspect can refute the suspicion before it is declared dead. Default 3 s.
	SuspicionTimeout time.Duration
	// IndirectProbes is the number of members that are asked to probe a target that did not answer. Default 3.
	IndirectProbes int
	// DigestInterval is the time between digests to other availability zones. Default 2 s.
	DigestInterval time.Duration
	// PauseLimit is the time between two steps above which the process counts as paused. The
	// caller must send Ticks at a shorter interval. Default 250 ms.
	PauseLimit time.Duration
	// MaxDatagram is the maximum size of a datagram in bytes. Default 1,200.
	MaxDatagram int
}

// Seed is the address of a process through which to join, from the host list or the settings.
type Seed struct {
	Addr Addr
	Zone ident.Zone // empty if not known
}

// Event is an input of the machine: Tick, Received, Seeds, UpdateLocal or MarkLeaving.
type Event interface{ isEvent() }

// Tick advances the time. The caller sends one at least every 100 ms.
type Tick struct{}

// Received is a datagram from another process.
type Received struct {
	From Addr
	Msg  Message
}

// Seeds replaces the seed addresses.
type Seeds struct{ Seeds []Seed }

// UpdateLocal replaces the state that this process announces to the others.
type UpdateLocal struct{ Local LocalState }

// MarkLeaving reports that a backend server or a process of an entry host, named by its id, is leaving
// according to the host list, a report or a refusal. The caller repeats it while the source still
// reports this, because the mark of a backend server expires after LeavingMarkTTL.
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

// MemberChanged reports that a member appeared, changed its state or was restarted.
type MemberChanged struct{ Member Member }

// LeavingLearned reports that a backend server or process is leaving and must not get new requests.
type LeavingLearned struct{ Name string }

// ConfigSeen reports that a member has a higher configuration version than this process, or the same
// version with a different digest.
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
