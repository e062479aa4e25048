package control

import (
	"github.com/rosemaryhill/rosemaryhill/core/catalog"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
)

// ForwardTicketRequest forwards a call to a plain service to the executor of its ticket.
type ForwardTicketRequest struct {
	Ticket      string
	Team        ident.Team
	Service     string
	Method      string
	Path        string // including the raw query
	ContentType string
	Body        []byte
	RemainingMS int64 // time left until the caller's deadline
	TraceParent string
}

// ForwardTicketReply is the recorded outcome. With Outcome Answered, Status and Body are the backend
// server's; otherwise Reason, Step, Peer and Detail say what happened.
type ForwardTicketReply struct {
	Outcome      uint8 // outcome.Kind
	Status       int
	ContentType  string
	Body         []byte
	Reason       string
	Step         string
	Peer         string
	Detail       string
	RetryAfterMS int64
}

// ConfigSinceRequest asks for the configuration entries after a version.
type ConfigSinceRequest struct {
	After ident.Version
	Limit int // 0 lets the peer choose
}

// ConfigSinceReply holds entries in the order of their numbers. More is set if further entries follow the
// last one.
type ConfigSinceReply struct {
	Version ident.Version // version that the peer has accepted
	Digest  uint64
	Entries []platformapi.Entry
	More    bool
}

// HostsRequest asks for the host list.
type HostsRequest struct{}

// HostsReply holds the peer's current host list.
type HostsReply struct {
	Hosts platformapi.Hosts
}

// StateRequest asks an entry host for its platform state.
type StateRequest struct {
	// Revision is the store revision that the caller holds. A host with nothing newer replies without a state.
	Revision ident.Revision
	// Config is the configuration version that the caller holds.
	Config ident.Version
}

// StateReply holds what the caller lacks: the changes, or the whole state for a caller that is too far behind. It
// is empty when the host has nothing newer. A handler must call Encode before it returns one.
type StateReply struct {
	State   *catalog.Snapshot
	Changes []catalog.Change
	// Revision is the store revision of the host. The caller has reached it once it has applied the reply.
	Revision ident.Revision

	encoded encodedState // set by Encode
}

// StatusRequest asks a process for its status.
type StatusRequest struct{}

// StatusReply is the status that a process reports about itself.
type StatusReply struct {
	Host         ident.HostID
	Role         string
	Incarnation  ident.Incarnation
	Version      ident.Version
	Digest       uint64
	HostsVersion uint64 // version of the host list
	Ready        bool
	NotReady     string // what is missing, empty when ready
	Leaving      bool
	Load         []ModelLoad
}

// ModelLoad is the load of one model on the engines that a process owns.
type ModelLoad struct {
	Model         ident.Model
	FreeTokens    int64 // free engine memory, in tokens
	QueueDelayMS  int64
	QueuedPrefill int64 // tokens
}
