package gossip

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/quarantine"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// evidenceTag is the first byte of a datagram that carries what is known of prompt parts that crash servers. A build that
// does not know it counts the datagram as undecodable.
const evidenceTag = 0x02

// EvidenceHandler is implemented by handlers that receive evidence on prompt parts.
type EvidenceHandler interface {
	// OnEvidence is called on the event loop and must not block.
	OnEvidence(from member.Addr, u quarantine.Update)
}

// SendEvidence sends an update to the addresses. It fits one datagram, as quarantine.MaxUpdateBytes is below MaxDatagram.
func (s *Service) SendEvidence(to []member.Addr, u quarantine.Update) {
	if len(to) == 0 || u.Empty() {
		return
	}
	w := pack.NewWriter()
	w.Buf = append(w.Buf, evidenceTag)
	encodeEvidence(w, u)
	if len(w.Buf) > MaxDatagram {
		s.sendFailures.Add(1)
		return
	}
	for _, addr := range to {
		s.write(addr, w.Buf)
	}
}

// Numbers of fields of the parts of an update.
const (
	updateFields   = 3
	crashFields    = 5
	suspectFields  = 2
	answerFields   = 2
	decisionFields = 4
)

func encodeEvidence(w *pack.Writer, u quarantine.Update) {
	w.Array(updateFields)
	w.Array(len(u.Crashes))
	for _, c := range u.Crashes {
		w.Array(crashFields)
		w.Uint(uint64(c.Server.Service))
		w.Uint(uint64(c.Server.Lifetime))
		w.Uint(ageMS(c.Age))
		w.Bool(c.Refuted)
		w.Array(len(c.Suspects))
		for _, s := range c.Suspects {
			w.Array(suspectFields)
			w.Uint(uint64(s.Part))
			w.Uint(uint64(s.Depth))
		}
	}
	w.Array(len(u.Answers))
	for _, a := range u.Answers {
		w.Array(answerFields)
		w.Uint(uint64(a.Part))
		w.Uint(ageMS(a.Age))
	}
	w.Array(len(u.Decisions))
	for _, d := range u.Decisions {
		w.Array(decisionFields)
		w.Uint(uint64(d.Part))
		w.Uint(uint64(d.Strikes))
		w.Uint(ageMS(d.Age))
		w.Bool(d.Released)
	}
}

func ageMS(d time.Duration) uint64 { return uint64(min(maxAgeMS, max(0, d.Milliseconds()))) }

// Limits of the numbers in an update, which reject corrupt datagrams.
const (
	maxAgeMS   = 1 << 31
	maxStrikes = 1 << 16
)

func readAge(r *pack.Reader) time.Duration { return time.Duration(r.Uint(maxAgeMS)) * time.Millisecond }

func decodeEvidence(b []byte) (u quarantine.Update, err error) {
	r := pack.NewReader()
	r.Reset(b)
	r.Fields(updateFields)
	for range r.Array(maxList) {
		u.Crashes = append(u.Crashes, decodeCrash(r))
	}
	for range r.Array(maxList) {
		r.Fields(answerFields)
		u.Answers = append(u.Answers, quarantine.Answer{Part: quarantine.Part(r.Uint(math.MaxUint64)), Age: readAge(r)})
	}
	for range r.Array(maxList) {
		r.Fields(decisionFields)
		u.Decisions = append(u.Decisions, quarantine.Decision{
			Part: quarantine.Part(r.Uint(math.MaxUint64)), Strikes: int(r.Uint(maxStrikes)), Age: readAge(r), Released: r.Bool(),
		})
	}
	return u, r.Finish()
}

func decodeCrash(r *pack.Reader) (c quarantine.Crash) {
	r.Fields(crashFields)
	c.Server.Service = quarantine.Service(r.Uint(math.MaxUint32))
	c.Server.Lifetime = quarantine.Lifetime(r.Uint(math.MaxUint64))
	c.Age = readAge(r)
	c.Refuted = r.Bool()
	for range r.Array(maxList) {
		r.Fields(suspectFields)
		c.Suspects = append(c.Suspects, quarantine.Suspect{Part: quarantine.Part(r.Uint(math.MaxUint64)), Depth: uint8(r.Uint(math.MaxUint8))})
	}
	return c
}
