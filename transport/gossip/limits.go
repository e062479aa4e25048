package gossip

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/serverlimit"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// limitsTag is the first byte of a datagram that carries the request limits of servers and what hosts have sent them. A build
// that does not know it counts the datagram as undecodable.
const limitsTag = 0x03

// publishedTag is the first byte of a datagram that carries the counts of servers with published limits. They have a datagram of
// their own, since builds before refuse one with fields that they do not know: they would lose the limits that servers name.
const publishedTag = 0x04

// LimitsHandler is implemented by handlers that receive the request limits of servers.
type LimitsHandler interface {
	// OnLimits is called on the event loop and must not block. The incarnation is that of the sender.
	OnLimits(from member.Addr, incarnation ident.Incarnation, u serverlimit.Update)
}

// SendLimits sends an update of the host with the given incarnation to the addresses. Each of its lists fits one datagram, as
// serverlimit.MaxUpdateBytes is below MaxDatagram.
func (s *Service) SendLimits(to []member.Addr, incarnation ident.Incarnation, u serverlimit.Update) {
	if len(to) == 0 || u.Empty() {
		return
	}
	w := pack.NewWriter()
	if len(u.Servers) > 0 {
		w.Buf = append(w.Buf[:0], limitsTag)
		encodeLimits(w, incarnation, u)
		s.writeAll(to, w.Buf)
	}
	if len(u.Published) > 0 {
		w.Buf = append(w.Buf[:0], publishedTag)
		encodePublished(w, incarnation, u)
		s.writeAll(to, w.Buf)
	}
}

func (s *Service) writeAll(to []member.Addr, b []byte) {
	if len(b) > MaxDatagram {
		s.sendFailures.Add(1)
		return
	}
	for _, addr := range to {
		s.write(addr, b)
	}
}

// handleLimits passes on an update that decode reads from a datagram without its tag.
func (s *Service) handleLimits(from member.Addr, b []byte, decode func([]byte) (ident.Incarnation, serverlimit.Update, error)) {
	h, ok := s.handler.(LimitsHandler)
	if !ok {
		return
	}
	incarnation, u, err := decode(b)
	if err != nil {
		s.undecodable.Add(1)
		return
	}
	h.OnLimits(from, incarnation, u)
}

// Numbers of fields of a datagram and of a server in it.
const (
	limitsFields    = 2
	serverFields    = 9
	publishedFields = 8
)

func encodePublished(w *pack.Writer, incarnation ident.Incarnation, u serverlimit.Update) {
	w.Array(limitsFields)
	w.FixedUint64(uint64(incarnation))
	w.Array(len(u.Published))
	for _, x := range u.Published {
		w.Array(publishedFields)
		w.Str(string(x.Server))
		w.Int(x.Started)
		w.Uint(ageMS(x.Left))
		w.Uint(uint64(x.AsOf))
		w.Uint(uint64(x.Series))
		w.Uint(ageMS(x.Counting))
		w.Uint(x.Count)
		w.Float(float32(x.Level))
	}
}

func decodePublished(b []byte) (incarnation ident.Incarnation, u serverlimit.Update, err error) {
	r := pack.NewReader()
	r.Reset(b)
	r.Fields(limitsFields)
	incarnation = ident.Incarnation(r.Uint(math.MaxUint64))
	for range r.Array(maxList) {
		r.Fields(publishedFields)
		u.Published = append(u.Published, serverlimit.PublishedUpdate{
			Server: ident.BackendID(r.Str(maxString)), Started: r.Int(), Left: min(readAge(r), maxLeft), AsOf: ident.Revision(r.Uint(math.MaxUint64)),
			Series: uint32(r.Uint(math.MaxUint32)), Counting: readAge(r), Count: r.Uint(math.MaxUint64), Level: sanitizeFloat(r.Float()),
		})
	}
	return incarnation, u, r.Finish()
}

// maxLeft bounds the time for which a published limit may hold, as far as other hosts say.
const maxLeft = 10 * time.Minute

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
