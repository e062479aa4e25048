package control

import (
	"context"

	"github.com/zeebo/errs"
)

// ErrUnsupported is returned for a call that the role of the process does not implement.
var ErrUnsupported = errs.Class("control: unsupported call")

// Unsupported rejects every call. Handlers embed it and override the calls that their role supports.
type Unsupported struct{}

// ForwardTicket implements Handler.
func (Unsupported) ForwardTicket(context.Context, *ForwardTicketRequest) (*ForwardTicketReply, error) {
	return nil, ErrUnsupported.New("ForwardTicket")
}

// ConfigSince implements Handler.
func (Unsupported) ConfigSince(context.Context, *ConfigSinceRequest) (*ConfigSinceReply, error) {
	return nil, ErrUnsupported.New("ConfigSince")
}

// Hosts implements Handler.
func (Unsupported) Hosts(context.Context, *HostsRequest) (*HostsReply, error) {
	return nil, ErrUnsupported.New("Hosts")
}

// State implements Handler.
func (Unsupported) State(context.Context, *StateRequest) (*StateReply, error) {
	return nil, ErrUnsupported.New("State")
}

// Status implements Handler.
func (Unsupported) Status(context.Context, *StatusRequest) (*StatusReply, error) {
	return nil, ErrUnsupported.New("Status")
}
