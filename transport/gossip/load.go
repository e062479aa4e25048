package gossip

import (
	"math"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/member"
	"github.com/rosemaryhill/rosemaryhill/core/peers"
	"github.com/rosemaryhill/rosemaryhill/core/placement"
	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// LoadReport is sent by an entry host directly to others. It shows that the host is alive, which configuration
// and store revision it has, and what load it has placed on engines. Reports do not depend on each other, so a
// lost one is not sent again.
type LoadReport struct {
	peers.Status
	// Validity is how long the sender counts as alive without another report.
	Validity time.Duration
	// KnownAddrs are gossip addresses of other hosts, sent to a host that has just started.
	KnownAddrs []member.Addr
	Update     placement.Update
}

// MaxKnownAddrs bounds the addresses in a report: this many fit in a datagram without any loads.
const MaxKnownAddrs = 40

// LoadHandler is implemented by handlers that receive load reports.
type LoadHandler interface {
	// OnLoad is called on the event loop and must not block.
	OnLoad(from member.Addr, r LoadReport)
}

// loadReportTag is the first byte of a datagram that carries a load report. Membership datagrams begin with a
// msgpack array header instead.
const loadReportTag = 0x01

// maxLoadsPerDatagram bounds the loads in one datagram, so that loads with several classes fit.
const maxLoadsPerDatagram = 24

// reportFields is the number of fields of a load report.
const reportFields = 11

// SendLoad sends a report to the addresses and splits a long report into several datagrams.
func (s *Service) SendLoad(to []member.Addr, r LoadReport) {
	if len(to) == 0 {
		return
	}
	w := pack.NewWriter()
	for first := true; first || len(r.Update.Loads) > 0 || len(r.Update.Prefills) > 0; first = false {
		part := r
		if !first {
			part.KnownAddrs = nil
		}
		part.Update.Loads, r.Update.Loads = splitAt(r.Update.Loads, maxLoadsPerDatagram)
		part.Update.Prefills, r.Update.Prefills = splitAt(r.Update.Prefills, maxLoadsPerDatagram)
		w.Buf = append(w.Buf[:0], loadReportTag)
		encodeLoad(w, part)
		if len(w.Buf) > MaxDatagram {
			s.sendFailures.Add(1)
			continue
		}
		for _, addr := range to {
			s.write(addr, w.Buf)
		}
	}
}

func splitAt[T any](list []T, n int) (head, rest []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}

func encodeLoad(w *pack.Writer, r LoadReport) {
	w.Array(reportFields)
	w.FixedUint64(uint64(r.Incarnation))
	w.Bool(r.Ready)
	w.Bool(r.Leaving)
	w.Bool(r.StoreConnected)
	w.Uint(uint64(r.Zone))
	w.Uint(uint64(r.Config))
	w.Uint(uint64(r.Revision))
	w.Uint(uint64(r.Validity.Milliseconds()))
	w.Array(len(r.KnownAddrs))
	for _, a := range r.KnownAddrs {
		w.Str(string(a))
	}
	w.Array(len(r.Update.Prefills))
	for _, x := range r.Update.Prefills {
		w.Array(2)
		w.Uint(uint64(x.Engine))
		w.Float(float32(x.MS))
	}
	w.Array(len(r.Update.Loads))
	for _, x := range r.Update.Loads {
		w.Array(3)
		w.Uint(uint64(x.Engine))
		w.Uint(uint64(max(0, x.Load.Tokens)))
		w.Array(len(x.Load.Classes))
		for _, c := range x.Load.Classes {
			w.Array(3)
			w.Uint(uint64(c.MaxPause.Milliseconds()))
			w.Uint(uint64(c.Streams))
			w.Float(float32(c.Worth))
		}
	}
}

// Limits of the numbers in a report, which reject corrupt datagrams.
const (
	maxLoadTokens  = 1 << 40
	maxLoadStreams = 1 << 20
	maxPauseMS     = 1 << 31
	maxValidityMS  = 60_000
)

func decodeLoad(b []byte) (LoadReport, error) {
	r := pack.NewReader()
	r.Reset(b)
	var v LoadReport
	r.Fields(reportFields)
	v.Incarnation = ident.Incarnation(r.Uint(math.MaxUint64))
	v.Ready = r.Bool()
	v.Leaving = r.Bool()
	v.StoreConnected = r.Bool()
	v.Zone = uint32(r.Uint(math.MaxUint32))
	v.Config = ident.Version(r.Uint(math.MaxUint64))
	v.Revision = ident.Revision(r.Uint(math.MaxUint64))
	v.Validity = time.Duration(r.Uint(maxValidityMS)) * time.Millisecond
	for range r.Array(maxList) {
		v.KnownAddrs = append(v.KnownAddrs, member.Addr(r.Str(maxString)))
	}
	for range r.Array(maxList) {
		r.Fields(2)
		x := placement.PrefillChange{Engine: placement.Key(r.Uint(math.MaxUint32)), MS: sanitizeFloat(r.Float())}
		v.Update.Prefills = append(v.Update.Prefills, x)
	}
	for range r.Array(maxList) {
		r.Fields(3)
		x := placement.EngineLoad{Engine: placement.Key(r.Uint(math.MaxUint32))}
		x.Load.Tokens = int(r.Uint(maxLoadTokens))
		for range r.Array(maxList) {
			r.Fields(3)
			x.Load.Classes = append(x.Load.Classes, placement.Class{
				MaxPause: time.Duration(r.Uint(maxPauseMS)) * time.Millisecond,
				Streams:  int(r.Uint(maxLoadStreams)),
				Worth:    sanitizeFloat(r.Float()),
			})
		}
		v.Update.Loads = append(v.Update.Loads, x)
	}
	return v, r.Finish()
}

// sanitizeFloat replaces NaN and numbers beyond 1e9 by 0, so that a corrupt datagram does not distort sums.
func sanitizeFloat(f float32) float64 {
	v := float64(f)
	if math.IsNaN(v) || math.Abs(v) > 1e9 {
		return 0
	}
	return v
}
