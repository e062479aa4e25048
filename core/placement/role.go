package placement

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/catalog"
)

// role is the kind of work that an engine is currently reserved for. Roles are assigned again for each placement;
// they only add to the loss of a choice and forbid none.
type role uint8

const (
	shortDecode role = iota // decodes the answers of short requests; its passes must stay short
	longDecode              // decodes the answers of long requests
	prefillOnly             // prefills parts of prompts; it decodes no streams that this would delay
)

const (
	// shortShare defines a short request: its prefill takes at most this share of its pause objective.
	shortShare = 0.4
	// packedSlots is the share of an engine's slots that short requests fill before they need another one.
	packedSlots = 0.6
	// packedMemory is the share of an engine's memory that long requests fill before they need another one.
	packedMemory = 0.5
	// futureWeight is the worth that a pass of the length in futurePass costs the requests that arrive during it.
	// The cost grows with the square of the length: a pass twice as long delays twice as many arrivals, each by
	// twice as much.
	futureWeight = 0.015
)

// futurePass is the length in ms, by role, of a pass that costs futureWeight.
var futurePass = [...]float64{shortDecode: 200, longDecode: 500, prefillOnly: 1500}

// misplacement is the share of a request's worth that is lost when an engine of one role decodes an answer that
// belongs to another. The first index is the wanted role, the second the role of the engine.
var misplacement = [2][3]float64{
	shortDecode: {shortDecode: 0, longDecode: 0.25, prefillOnly: 0.15},
	longDecode:  {shortDecode: 0.05, longDecode: 0, prefillOnly: 0.02},
}

func misplacementLoss(wanted, got role) float64 { return misplacement[wanted][got] }

// futureLoss returns the loss of a pass for the requests that will arrive while it runs.
func futureLoss(r role, passMS float64) float64 {
	x := passMS / futurePass[r]
	return futureWeight * x * x
}

// decodeRole returns the role that decodes a request's answer.
func decodeRole(prefillMS float64, maxPause time.Duration) role {
	if prefillMS <= shortShare*ms(maxPause) {
		return shortDecode
	}
	return longDecode
}

// roleOf returns the role that decodes a class of streams. It derives their mean size from their worth.
func roleOf(r *catalog.Runtime, c Class) role {
	tokens := worthTokens * math.Pow(c.Worth/float64(c.Streams), 1/worthExponent)
	return decodeRole(PrefillMS(r, int(tokens)), c.MaxPause)
}

// assignRoles assigns roles to the engines in the order of their ids, so that hosts with the same view of the load
// assign the same roles.
func (g *group) assignRoles() {
	shortStreams, longTokens := 0, 0.0
	for _, e := range g.engines {
		for _, c := range e.total.Classes {
			if c.Streams <= 0 {
				continue
			}
			if roleOf(g.runtime, c) == shortDecode {
				shortStreams += c.Streams
			} else {
				longTokens += float64(c.Streams) * worthTokens * math.Pow(c.Worth/float64(c.Streams), 1/worthExponent)
			}
		}
	}
	shortEngines := 1 + int(math.Ceil(float64(shortStreams+1)/(packedSlots*float64(g.runtime.Slots))))
	longEngines := 1 + int(math.Ceil(longTokens/(packedMemory*float64(g.runtime.MemoryTokens))))
	for i, e := range g.engines {
		switch {
		case i < shortEngines:
			e.role = shortDecode
		case i < shortEngines+longEngines:
			e.role = longDecode
		default:
			e.role = prefillOnly
		}
	}
}
