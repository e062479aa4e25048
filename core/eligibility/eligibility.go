// Package eligibility decides whether a request may use a backend server now, and names the one reason if it may not.
// Everything that chooses a server or is about to send to one asks Check, so that a new reason takes effect everywhere.
package eligibility

import (
	"fmt"
	"strings"
)

// Reason says why a request may not use a server.
type Reason uint8

// Reasons. Of several that hold, the first in this order counts.
const (
	Eligible  Reason = iota
	Unlisted         // the server has no usable entry
	Draining         // its entry says that it leaves
	Leaving          // it has said itself that it leaves
	Evacuated        // its availability zone is evacuated
	Replaced         // it has started again since it was chosen
	Tried            // the request has failed there, or runs there
	Paused           // it has asked for a pause
	Limited          // it has reached the request limit that it names
	Warming          // it is cold and has reached the request limit of cold servers
	Unhealthy        // its recent answers exclude it
	reasons
)

var names = [reasons]string{
	"eligible", "unlisted", "draining", "leaving", "evacuated", "replaced", "tried", "paused", "limited", "warming", "unhealthy",
}

// String returns the name of the reason in logs, metrics and refusals.
func (r Reason) String() string {
	if r >= reasons {
		return fmt.Sprintf("reason %d", uint8(r))
	}
	return names[r]
}

// Facts is what is known of a server and of the request that may use it. The zero value stands for an eligible server.
type Facts struct {
	Listing   Reason // Eligible, Unlisted, Draining, Leaving or Evacuated, as the catalog has it
	Replaced  bool
	Tried     bool
	Paused    bool
	Limited   bool
	Warming   bool
	Unhealthy bool
}

// Check returns why the request may not use the server, or Eligible.
func Check(f Facts) Reason {
	switch {
	case f.Listing != Eligible:
		return f.Listing
	case f.Replaced:
		return Replaced
	case f.Tried:
		return Tried
	case f.Paused:
		return Paused
	case f.Limited:
		return Limited
	case f.Warming:
		return Warming
	case f.Unhealthy:
		return Unhealthy
	}
	return Eligible
}

// Counts holds numbers of servers by reason.
type Counts [reasons]int

// Add counts a server.
func (c *Counts) Add(r Reason) { c[r]++ }

// Total returns the number of servers.
func (c Counts) Total() (n int) {
	for _, k := range c {
		n += k
	}
	return n
}

// String lists the numbers that are not zero, such as "15 evacuated, 30 limited".
func (c Counts) String() string {
	var parts []string
	for r, n := range c {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, Reason(r)))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

// All iterates over the reasons, Eligible included.
func All(yield func(Reason) bool) {
	for r := range reasons {
		if !yield(r) {
			return
		}
	}
}
