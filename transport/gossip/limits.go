package gossip

import (
	"math"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// limitsTag is the first byte of a datagram that carries the request limits of servers and what hosts have sent them. A build
// that does not know it counts the datagram as undecodable.
const limitsTag = 0x03

// LimitsHandler is implemented by handlers that receive the request limits of servers.
type LimitsHandler interface {
	// OnLimits is called on the event loop and must not block. The incarnation is that of the sender.
	OnLimits(from member.Addr, incarnation ident.Incarnation, u serverlimit.Update)
}

// SendLimits sends an update of the host with the given incarnation to the addresses. It fits one datagram, as
// serverlimit.MaxUpdateBytes is below MaxDatagram.
func (s *Service) SendLimits(to []member.Addr, incarnation ident.Incarnation, u serverlimit.Update) {
	if len(to) == 0 || u.Empty() {
		return
	}
	w := pack.NewWriter()
	w.Buf = append(w.Buf, limitsTag)
	encodeLimits(w, incarnation, u)
	if len(w.Buf) > MaxDatagram {
		s.sendFailures.Add(1)
		return
	}
	for _, addr := range to {
		s.write(addr, w.Buf)
	}
}

func (s *Service) handleLimits(from member.Addr, b []byte) {
	h, ok := s.handler.(LimitsHandler)
	if !ok {
		return
	}
	incarnation, u, err := decodeLimits(b)
	if err != nil {
		s.undecodable.Add(1)
		return
	}
	h.OnLimits(from, incarnation, u)
}

// Numbers of fields of a datagram and of a server in it.
const (
	limitsFields = 2
	serverFields = 9
)

func encodeLimits(w *pack.Writer, incarnation ident.Incarnation, u serverlimit.Update) {
	w.Array(limitsFields)
	w.FixedUint64(uint64(incarnation))
	w.Array(len(u.Servers))
	for _, x := range u.Servers {
		w.Array(serverFields)
		w.Str(string(x.Server))
		w.Int(x.Started)
		w.Bool(x.Statement.Limited)
		w.Float(float32(x.Statement.PerSecond))
		w.Uint(ageMS(x.Age))
		w.Uint(uint64(x.Series))
		w.Uint(ageMS(x.Counting))
		w.Uint(x.Count)
		w.Float(float32(x.Level))
	}
}

func decodeLimits(b []byte) (incarnation ident.Incarnation, u serverlimit.Update, err error) {
	r := pack.NewReader()
	r.Reset(b)
	r.Fields(limitsFields)
	incarnation = ident.Incarnation(r.Uint(math.MaxUint64))
	for range r.Array(maxList) {
		r.Fields(serverFields)
		u.Servers = append(u.Servers, serverlimit.ServerUpdate{
			Server: ident.BackendID(r.Str(maxString)), Started: r.Int(),
			Statement: serverlimit.Statement{Limited: r.Bool(), PerSecond: sanitizeFloat(r.Float())}, Age: readAge(r),
			Series: uint32(r.Uint(math.MaxUint32)), Counting: readAge(r), Count: r.Uint(math.MaxUint64), Level: sanitizeFloat(r.Float()),
		})
	}
	return incarnation, u, r.Finish()
}
