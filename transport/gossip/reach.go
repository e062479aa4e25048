package gossip

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// reachTag is the first byte of a datagram that carries which services a host can't reach. A build that does not know it counts
// the datagram as undecodable.
const reachTag = 0x05

// ReachHandler is implemented by handlers that receive which services other hosts can't reach.
type ReachHandler interface {
	// OnReach is called on the event loop and must not block. The incarnation is that of the sender.
	OnReach(from member.Addr, incarnation ident.Incarnation, r peers.Reach)
}

// SendReach sends which services the host with the given incarnation can't reach. Beyond maxReach services the rest is left out.
func (s *Service) SendReach(to []member.Addr, incarnation ident.Incarnation, r peers.Reach) {
	if len(to) == 0 {
		return
	}
	w := pack.NewWriter()
	w.Buf = append(w.Buf[:0], reachTag)
	encodeReach(w, incarnation, r)
	s.writeAll(to, w.Buf)
}

func (s *Service) handleReach(from member.Addr, b []byte) {
	h, ok := s.handler.(ReachHandler)
	if !ok {
		return
	}
	incarnation, r, err := decodeReach(b)
	if err != nil {
		s.undecodable.Add(1)
		return
	}
	h.OnReach(from, incarnation, r)
}

// reachFields is the number of fields of a datagram.
const reachFields = 3

// maxReach bounds the services in a datagram, so that it fits.
const maxReach = 200

func encodeReach(w *pack.Writer, incarnation ident.Incarnation, r peers.Reach) {
	services := r.Unreachable[:min(maxReach, len(r.Unreachable))]
	w.Array(reachFields)
	w.FixedUint64(uint64(incarnation))
	w.Uint(uint64(r.Validity.Milliseconds()))
	w.Array(len(services))
	for _, hash := range services {
		w.Uint(uint64(hash))
	}
}

func decodeReach(b []byte) (incarnation ident.Incarnation, v peers.Reach, err error) {
	r := pack.NewReader()
	r.Reset(b)
	r.Fields(reachFields)
	incarnation = ident.Incarnation(r.Uint(math.MaxUint64))
	v.Validity = time.Duration(r.Uint(maxValidityMS)) * time.Millisecond
	for range r.Array(maxReach) {
		v.Unreachable = append(v.Unreachable, uint32(r.Uint(math.MaxUint32)))
	}
	return incarnation, v, r.Finish()
}
