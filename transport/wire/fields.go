package wire

import (
	"math"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// A body is a msgpack array of the four fields of the head, followed by the fields of the message in struct
// order. Fields have no names, so a change of the field list needs a new frame type.
const headFields = 4

func encodeBody(w *pack.Writer, m Message) {
	switch m := m.(type) {
	case *Hello:
		encodeHead(w, m.Head, 1)
		w.Str(m.Role)
	case *Submit:
		encodeHead(w, m.Head, 11)
		encodeSubmit(w, m)
	case *Chunk:
		encodeHead(w, m.Head, 3)
		w.Uint(m.Attempt)
		w.Uint(uint64(m.Index))
		w.Bytes(m.Data)
	case *Cancel:
		encodeHead(w, m.Head, 2)
		w.Uint(m.Attempt)
		w.Str(m.Reason)
	case *Accepted:
		encodeHead(w, m.Head, 3)
		w.Uint(m.Attempt)
		w.Str(m.Engine)
		w.Uint(uint64(m.Position))
	case *Token:
		encodeHead(w, m.Head, 3)
		w.Uint(m.Attempt)
		w.Uint(uint64(m.N))
		w.Str(m.Text)
	case *End:
		encodeHead(w, m.Head, 7)
		encodeEnd(w, m)
	case *Keepalive:
		encodeHead(w, m.Head, 0)
	}
}

func encodeHead(w *pack.Writer, h Head, fields int) {
	w.Array(headFields + fields)
	w.Str(h.Sender)
	w.FixedUint64(h.Incarnation)
	w.Uint(h.ConfigVersion)
	w.Uint(h.Seq)
}

func encodeSubmit(w *pack.Writer, m *Submit) {
	w.Str(m.Request)
	w.Uint(m.Attempt)
	w.Str(m.Team)
	w.Str(m.Model)
	w.Uint(uint64(m.Class))
	w.Uint(uint64(m.PromptTokens))
	w.Uint(uint64(m.MaxOutputTokens))
	w.Int(m.RemainingMS)
	w.Uint(uint64(m.ResumeFrom))
	w.Str(m.TraceParent)
	w.Uint(uint64(m.Chunks))
}

func encodeEnd(w *pack.Writer, m *End) {
	w.Uint(m.Attempt)
	w.Uint(uint64(m.Count))
	w.Uint(uint64(m.Outcome))
	w.Str(m.Reason)
	w.Int(m.RetryAfterMS)
	w.Str(m.Step)
	w.Str(m.Peer)
}

func decodeBody(r *pack.Reader, m Message) {
	switch m := m.(type) {
	case *Hello:
		decodeHead(r, &m.Head, 1)
		m.Role = r.Str(MaxString)
	case *Submit:
		decodeHead(r, &m.Head, 11)
		decodeSubmit(r, m)
	case *Chunk:
		decodeHead(r, &m.Head, 3)
		m.Attempt = r.Uint(math.MaxUint64)
		m.Index = count(r)
		m.Data = r.Bytes(MaxChunk)
	case *Cancel:
		decodeHead(r, &m.Head, 2)
		m.Attempt = r.Uint(math.MaxUint64)
		m.Reason = r.Str(MaxString)
	case *Accepted:
		decodeHead(r, &m.Head, 3)
		m.Attempt = r.Uint(math.MaxUint64)
		m.Engine = r.Str(MaxString)
		m.Position = count(r)
	case *Token:
		decodeHead(r, &m.Head, 3)
		m.Attempt = r.Uint(math.MaxUint64)
		m.N = count(r)
		m.Text = r.Str(MaxText)
	case *End:
		decodeHead(r, &m.Head, 7)
		decodeEnd(r, m)
	case *Keepalive:
		decodeHead(r, &m.Head, 0)
	}
}

func decodeHead(r *pack.Reader, h *Head, fields int) {
	r.Fields(headFields + fields)
	h.Sender = r.StrReuse(h.Sender, MaxString)
	h.Incarnation = r.Uint(math.MaxUint64)
	h.ConfigVersion = r.Uint(math.MaxUint64)
	h.Seq = r.Uint(math.MaxUint64)
}

func decodeSubmit(r *pack.Reader, m *Submit) {
	m.Request = r.Str(MaxString)
	m.Attempt = r.Uint(math.MaxUint64)
	m.Team = r.Str(MaxString)
	m.Model = r.Str(MaxString)
	m.Class = uint8(r.Uint(math.MaxUint8))
	m.PromptTokens = count(r)
	m.MaxOutputTokens = count(r)
	m.RemainingMS = r.Int()
	m.ResumeFrom = count(r)
	m.TraceParent = r.Str(MaxString)
	m.Chunks = count(r)
}

func decodeEnd(r *pack.Reader, m *End) {
	m.Attempt = r.Uint(math.MaxUint64)
	m.Count = count(r)
	m.Outcome = uint8(r.Uint(math.MaxUint8))
	m.Reason = r.Str(MaxString)
	m.RetryAfterMS = r.Int()
	m.Step = r.Str(MaxString)
	m.Peer = r.Str(MaxString)
}

func count(r *pack.Reader) int { return int(r.Uint(maxCount)) }
