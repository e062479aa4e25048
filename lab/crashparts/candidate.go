package crashparts

import (
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
)

// Candidate is a way to spread the evidence between hosts.
type Candidate string

// The candidates. The hosts decide alike in all of them, with a quarantine.Table.
const (
	Alone  Candidate = "each host alone"
	ToAll  Candidate = "tell all at once"  // each crash and decision goes to all hosts, in a datagram of its own
	Owner  Candidate = "one owner a part"  // crashes go to the host that ranks first for a part; it decides and tells all
	Report Candidate = "with load reports" // passed on with the reports to near and far peers
)

// Candidates returns all candidates.
func Candidates() []Candidate { return []Candidate{Alone, ToAll, Owner, Report} }

const (
	// datagramHeader is the size of the IP and UDP headers, which count for datagrams that the load reports do not need.
	datagramHeader = 28
	// network is the delay of a datagram.
	network = time.Millisecond
)

// recordCrash records that a stream broke off at a host, and tells the hosts that learn it at once.
func (w *world) recordCrash(h *host, server quarantine.Server, parts []quarantine.Part) {
	u := quarantine.Update{Crashes: []quarantine.Crash{{Server: server, Suspects: suspects(parts)}}}
	switch w.Candidate {
	case Owner:
		for _, p := range parts {
			if o := w.owner(p); o == h {
				h.table.Apply(w.Now(), u)
			} else {
				w.send(h, []int{o.index}, u, datagramHeader)
			}
		}
		return
	case ToAll:
		w.send(h, w.others(h), u, datagramHeader)
	}
	h.table.RecordCrash(w.Now(), server, parts)
}

// decided tells all hosts of a decision where that is the candidate's way.
func (w *world) decided(h *host, c quarantine.Change) {
	if c.Kind == quarantine.Learned || w.Candidate != ToAll && w.Candidate != Owner {
		return
	}
	d := quarantine.Decision{Part: c.Part, Strikes: c.Strikes, Released: c.Kind == quarantine.Released}
	w.send(h, w.others(h), quarantine.Update{Decisions: []quarantine.Decision{d}}, datagramHeader)
}

// report sends what is due with a load report.
func (w *world) report(h *host, interval int) {
	if w.Candidate == Report {
		w.send(h, w.targets[h.index][interval%len(w.targets[h.index])], h.table.TakeUpdate(w.Now(), true), 0)
	}
}

func suspects(parts []quarantine.Part) (out []quarantine.Suspect) {
	for i, p := range parts {
		out = append(out, quarantine.Suspect{Part: p, Depth: uint8(i)})
	}
	return out
}

// owner returns the host that ranks first for a part.
func (w *world) owner(p quarantine.Part) *host {
	best, rank := w.hosts[0], uint64(0)
	for _, h := range w.hosts {
		if x := (uint64(p)*0x9e3779b97f4a7c15 ^ uint64(h.index)) * 0xd6e8feb86659fd93; x^x>>32 > rank {
			best, rank = h, x^x>>32
		}
	}
	return best
}

func (w *world) others(h *host) []int {
	out := make([]int, 0, len(w.hosts)-1)
	for i := range w.hosts {
		if i != h.index {
			out = append(out, i)
		}
	}
	return out
}

// send delivers an update and counts its bytes.
func (w *world) send(h *host, to []int, u quarantine.Update, overhead int) {
	if u.Empty() {
		return
	}
	h.bytes[int(w.Now()/time.Second)] += len(to) * (u.Bytes() + overhead)
	w.After(network, func() {
		for _, i := range to {
			if w.rng.Float64() >= w.Loss {
				w.hosts[i].table.Apply(w.Now(), u)
			}
		}
	})
}
