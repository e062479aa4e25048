package orders

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
)

// Event is an input of the Controller.
type Event interface{ event() }

// ConfigAccepted reports that a configuration version was accepted.
type ConfigAccepted struct {
	Version ident.Version
	Desired []Desired
}

// Owned lists the engines of the groups that this process owns from now on. It replaces the earlier list.
type Owned struct{ Engines []ident.BackendID }

// Reported carries an engine's report. Taken is the time at which the engine measured its values, on the
// clock that Step gets.
type Reported struct {
	Engine ident.BackendID
	Taken  time.Duration
	Report backendapi.Report
}

// MessageReceived reports that a message from a peer or the platform arrived.
type MessageReceived struct{}

// Paused reports that the process was paused.
type Paused struct{}

// Ended reports the result of an order.
type Ended struct {
	Engine  ident.BackendID
	ID      uint64
	Result  Result
	Highest backendapi.Fence // set by Refused: the highest fencing number that the engine has accepted
}

// Result is the result of sending an order.
type Result uint8

// Results.
const (
	Done    Result = iota // HTTP status 200
	Refused               // HTTP status 409: the fencing number was too old
	Failed                // anything else; the order may have arrived
)

// Tick makes the controller check timeouts and compare engines with their desired state.
type Tick struct{}

func (ConfigAccepted) event()  {}
func (Owned) event()           {}
func (Reported) event()        {}
func (MessageReceived) event() {}
func (Paused) event()          {}
func (Ended) event()           {}
func (Tick) event()            {}

// Send is a request to post an order to an engine. The sender calls Confirm right before the first byte
// and reports the result with Ended.
type Send struct {
	Engine ident.BackendID
	ID     uint64
	Order  backendapi.Order
}
