package orders

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Event is something that the Controller learns.
type Event interface{ event() }

// ConfigAccepted brings a new configuration version.
type ConfigAccepted struct {
	Version ident.Version
	Desired []Desired
}

// Owned names the engines of the groups that this process owns from now on. It replaces the earlier set.
type Owned struct{ Engines []ident.BackendID }

// Reported is an engine's report. Taken is when the engine took its numbers, on the clock of now.
type Reported struct {
	Engine ident.BackendID
	Taken  time.Duration
	Report backendapi.Report
}

// MessageReceived reports that a message from a peer or the platform arrived.
type MessageReceived struct{}

// Paused tells that the process was paused.
type Paused struct{}

// Ended tells how an order ended.
type Ended struct {
	Engine  ident.BackendID
	ID      uint64
	Result  Result
	Highest backendapi.Fence // of a refusal
}

// Result is the end of an order.
type Result uint8

// Results.
const (
	Done    Result = iota // 200
	Refused               // 409: the fencing number was too old
	Failed                // anything else; the order may have arrived
)

// Tick makes the controller look again.
type Tick struct{}

func (ConfigAccepted) event()  {}
func (Owned) event()           {}
func (Reported) event()        {}
func (MessageReceived) event() {}
func (Paused) event()          {}
func (Ended) event()           {}
func (Tick) event()            {}

// Send asks to post an order to an engine. The sender calls Confirm right before the first byte and
// reports the end with Ended.
type Send struct {
	Engine ident.BackendID
	ID     uint64
	Order  backendapi.Order
}
