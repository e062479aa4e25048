package placement

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

// role is what an engine is kept for at the moment. Roles follow the load with each placement; they only
// weigh choices and forbid none.
type role uint8

const (
	shortDecode role = iota // writes the answers of short requests; its passes must stay short
	longDecode              // writes the answers of long requests
	prefillOnly             // reads parts of prompts; nothing it writes is delayed by them
)

const (
	// shortShare makes a request a short one: its reading takes at most this share of its pause objective.
	shortShare = 0.4
	// packedSlots is the share of an engine's slots that short requests fill before they need another one.
	packedSlots = 0.6
	// packedMemory is the share of an engine's memory that long requests fill before they need another one.
	packedMemory = 0.5
	// futureWeight prices a pass of the length in futurePass, in worth, for the requests that arrive while it
	// runs. The price grows with the square: a pass twice as long meets twice the arrivals and delays
	// each twice as much.
	futureWeight = 0.015
)

// futurePass is the pass in ms that costs futureWeight, by role.
var futurePass = [...]float64{shortDecode: 200, longDecode: 500, prefillOnly: 1500}

// misplacement is the share of a request's worth that a role loses by writing an answer that another role
// is kept for: wanted role first.
var misplacement = [2][3]float64{
	shortDecode: {shortDecode: 0, longDecode: 0.25, prefillOnly: 0.15},
	longDecode:  {shortDecode: 0.05, longDecode: 0, prefillOnly: 0.02},
}

func misplaced(wanted, got role) float64 { return misplacement[wanted][got] }

// futureLoss prices a pass for the requests that will arrive while it runs.
func futureLoss(r role, passMS float64) float64 {
	x := passMS / futurePass[r]
	return futureWeight * x * x
}

// decodeRole returns the role that writes a request's answer.
func decodeRole(readMS float64, maxPause time.Duration) role {
	if readMS <= shortShare*ms(maxPause) {
		return shortDecode
	}
	return longDecode
}

// roleOf tells by its mean worth which role writes a class of streams.
func roleOf(r *catalog.Runtime, c Class) role {
	tokens := worthTokens * math.Pow(c.Worth/float64(c.Streams), 1/worthExponent)
	return decodeRole(PrefillMS(r, int(tokens)), c.MaxPause)
}

// assignRoles gives the engines their roles by rank, so that all hosts agree on them as far as they agree
// on the load.
func (g *group) assignRoles() {
	short, longTokens := 0, 0.0
	for _, e := range g.engines {
		for _, c := range e.total.Classes {
			if c.Streams <= 0 {
				continue
			}
			if roleOf(g.runtime, c) == shortDecode {
				short += c.Streams
			} else {
				longTokens += float64(c.Streams) * worthTokens * math.Pow(c.Worth/float64(c.Streams), 1/worthExponent)
			}
		}
	}
	shorts := 1 + int(math.Ceil(float64(short+1)/(packedSlots*float64(g.runtime.Slots))))
	longs := 1 + int(math.Ceil(longTokens/(packedMemory*float64(g.runtime.MemoryTokens))))
	for i, e := range g.engines {
		switch {
		case i < shorts:
			e.role = shortDecode
		case i < shorts+longs:
			e.role = longDecode
		default:
			e.role = prefillOnly
		}
	}
}
