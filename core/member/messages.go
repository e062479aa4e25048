package member

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Message is the content of one datagram.
type Message interface {
	// Header returns the sender's part, which every message carries.
	Header() *Head
	// Size returns an upper bound of the encoded bytes.
	Size() int
}

// Head tells who sent a message and what it holds. It is a statement that the sender is alive.
type Head struct {
	ID          ID
	Zone        ident.Zone
	Addr        Addr
	Incarnation ident.Incarnation
	Epoch       uint64
	Leaving     bool
	Config      ConfigVersion
	Hosts       uint64
}

// LeavingMark says that a backend server is leaving, for the TTL that is left.
type LeavingMark struct {
	Name string
	TTL  time.Duration // in whole ms on the wire
}

// Stamp orders versions of a computed value. Stamps of one origin rise, also over its restarts; values
// of different origins compare by age.
type Stamp struct {
	Origin ID
	Number uint64
	Age    time.Duration // since the value was computed, in whole ms on the wire
}

// ZoneLoad is the load of an availability zone, computed by one of its delegates.
type ZoneLoad struct {
	Zone  ident.Zone
	Stamp Stamp
	Load  []ModelLoad
}

// TeamTotals are the heavy teams over all availability zones, computed by a delegate.
type TeamTotals struct {
	Stamp Stamp
	Teams []TeamDemand
}

// Piggyback is the news that a message carries beside its purpose.
type Piggyback struct {
	Members []Member
	Marks   []LeavingMark
	Loads   []ZoneLoad
	Teams   []TeamTotals // at most one
}

// ZoneHash summarises the members of an availability zone that are not dead.
type ZoneHash struct {
	Zone ident.Zone
	Hash uint64
	Age  time.Duration // since anything from there was heard, in whole ms on the wire
}

// Ping asks for an Ack with the same Seq.
type Ping struct {
	Head    Head
	Seq     uint64 // zero asks a member that is believed dead to refute
	Updates Piggyback
}

// Ack answers a Ping. For an indirect probe it comes from the member that was asked to probe.
type Ack struct {
	Head    Head
	Seq     uint64
	Updates Piggyback
}

// PingReq asks the receiver to probe a target for the sender.
type PingReq struct {
	Head    Head
	Seq     uint64
	Target  ID
	Updates Piggyback
}

// Urgent spreads leaving marks without waiting for a probe.
type Urgent struct {
	Head    Head
	Updates Piggyback
}

// Digest goes from a delegate to a delegate of another availability zone. Load is only sent within a
// region.
type Digest struct {
	Head    Head
	Region  string
	Hash    uint64 // of the sender's availability zone
	Load    []ModelLoad
	Teams   []TeamDemand // of the sender's availability zone; nil when this digest carries none
	Updates Piggyback
}

// Sync compares the members of all availability zones. The receiver sends Records of those that
// differ.
type Sync struct {
	Head    Head
	Reply   bool // answers a Sync and gets no Sync back
	Partial bool // asks for the listed availability zones only
	Hashes  []ZoneHash
}

// Records transfers members, dead ones included.
type Records struct {
	Head    Head
	Members []Member
}

// Report goes from a member to the delegates of its availability zone.
type Report struct {
	Head  Head
	Load  []ModelLoad
	Teams []TeamDemand
}

// Header implements Message.
func (m *Ping) Header() *Head { return &m.Head }

// Header implements Message.
func (m *Ack) Header() *Head { return &m.Head }

// Header implements Message.
func (m *PingReq) Header() *Head { return &m.Head }

// Header implements Message.
func (m *Urgent) Header() *Head { return &m.Head }

// Header implements Message.
func (m *Digest) Header() *Head { return &m.Head }

// Header implements Message.
func (m *Sync) Header() *Head { return &m.Head }

// Header implements Message.
func (m *Records) Header() *Head { return &m.Head }

// Header implements Message.
func (m *Report) Header() *Head { return &m.Head }
