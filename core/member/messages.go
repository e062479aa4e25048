package member

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Message is the content of one datagram.
type Message interface {
	// Header returns the header, which every message carries.
	Header() *Head
	// Size returns an upper bound of the encoded size in bytes.
	Size() int
}

// Head is the header of a message: the sender's membership record and versions. Receiving it shows that
// the sender is alive.
type Head struct {
	ID          ID
	Zone        ident.Zone
	Addr        Addr
	Incarnation ident.Incarnation
	Epoch       uint64
	Leaving     bool
	Config      ConfigVersion
	Hosts       uint64 // version of the host list
}

// LeavingMark reports that a backend server is leaving. TTL is the remaining time.
type LeavingMark struct {
	Name string
	TTL  time.Duration // in whole ms on the wire
}

// Stamp orders versions of a computed value. The numbers of one origin increase, also across its
// restarts; values of different origins are compared by age.
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

// TeamTotals are the teams with the highest demand over all availability zones, computed by a delegate.
type TeamTotals struct {
	Stamp Stamp
	Teams []TeamDemand
}

// Piggyback holds the gossip updates that a message carries in addition to its own content.
type Piggyback struct {
	Members []Member
	Marks   []LeavingMark
	Loads   []ZoneLoad
	Teams   []TeamTotals // at most one
}

// ZoneHash is a hash over the members of an availability zone that are not dead.
type ZoneHash struct {
	Zone ident.Zone
	Hash uint64
	Age  time.Duration // since the last message from there, in whole ms on the wire
}

// Ping asks for an Ack with the same Seq.
type Ping struct {
	Head    Head
	Seq     uint64 // zero in a Ping that prompts a member recorded as dead to refute
	Updates Piggyback
}

// Ack answers a Ping. For an indirect probe, the member that was asked to probe sends it.
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

// Urgent sends updates immediately instead of piggybacking them on the next probe.
type Urgent struct {
	Head    Head
	Updates Piggyback
}

// Digest is sent by a delegate to a delegate of another availability zone. Load is sent only within a
// region.
type Digest struct {
	Head    Head
	Region  string
	Hash    uint64 // of the sender's availability zone
	Load    []ModelLoad
	Teams   []TeamDemand // of the sender's availability zone; nil when this digest carries none
	Updates Piggyback
}

// Sync compares the membership tables of two processes. The receiver sends Records of the availability
// zones whose hashes differ.
type Sync struct {
	Head    Head
	Reply   bool // answers a Sync, and is not itself answered by a Sync
	Partial bool // compares only the listed availability zones
	Hashes  []ZoneHash
}

// Records transfers membership records, including those of dead members.
type Records struct {
	Head    Head
	Members []Member
}

// Report is sent by a member to the delegates of its availability zone.
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
