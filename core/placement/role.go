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
	shortWriter role = iota // writes the answers of short requests; its passes must stay short
	longWriter              // writes the answers of long requests
	reader                  // reads parts of prompts; nothing it writes is delayed by them
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
var futurePass = [...]float64{shortWriter: 200, longWriter: 500, reader: 1500}

// misplacement is the share of a request's worth that a role loses by writing an answer that another role
// is kept for: wanted role first.
var misplacement = [2][3]float64{
	shortWriter: {shortWriter: 0, longWriter: 0.25, reader: 0.15},
	longWriter:  {shortWriter: 0.05, longWriter: 0, reader: 0.02},
}

func misplaced(wanted, got role) float64 { return misplacement[wanted][got] }

// futureLoss prices a pass for the requests that will arrive while it runs.
func futureLoss(r role, passMS float64) float64 {
	x := passMS / futurePass[r]
	return futureWeight * x * x
}

// writerRole returns the role that writes a request's answer.
func writerRole(readMS float64, maxPause time.Duration) role {
	if readMS <= shortShare*ms(maxPause) {
		return shortWriter
	}
	return longWriter
}

// roleOf tells by its mean worth which role writes a class of streams.
func roleOf(r *catalog.Runtime, c Class) role {
	tokens := worthTokens * math.Pow(c.Worth/float64(c.Streams), 1/worthExponent)
	return writerRole(PrefillMS(r, int(tokens)), c.MaxPause)
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
			if roleOf(g.runtime, c) == shortWriter {
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
			e.role = shortWriter
		case i < shorts+longs:
			e.role = longWriter
		default:
			e.role = reader
		}
	}
}
