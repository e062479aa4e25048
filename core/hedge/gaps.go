package hedge

// Gaps says where the numbers of a stream's events may leave numbers out. They always increase. Where a service numbers its
// events consecutively, a number that is left out shows that an event is lost or spoilt.
type Gaps uint8

// Values of Gaps.
const (
	AtFirst  Gaps = iota // between the first two events, which show how the stream is numbered
	Nowhere              // the service numbers its events consecutively
	Anywhere             // it does not
)

const (
	// minStreams is the number of streams from which on the numbering of a service is known.
	minStreams = 10
	// minGapShare is the least share of streams with gaps of a service that does not number consecutively. Fewer are faults.
	minGapShare = 0.1
	// maxStreams bounds the streams that count, so that a service may change its numbering.
	maxStreams = 1000
)

// Numbering is how a service has numbered the events of its streams. The zero value has seen none.
type Numbering struct{ consecutive, gapped float64 }

// Record records a complete stream of at least two events.
func (n *Numbering) Record(leftOut bool) {
	if n.consecutive+n.gapped >= maxStreams {
		n.consecutive, n.gapped = n.consecutive/2, n.gapped/2
	}
	if leftOut {
		n.gapped++
	} else {
		n.consecutive++
	}
}

// Gaps returns where a stream of the service may leave numbers out.
func (n *Numbering) Gaps() Gaps {
	all := n.consecutive + n.gapped
	switch {
	case all < minStreams:
		return AtFirst
	case n.gapped < minGapShare*all:
		return Nowhere
	}
	return Anywhere
}
