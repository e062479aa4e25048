package wire

import (
	"encoding/binary"
	"math"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
	"github.com/zeebo/errs"
)

// Error classes of the codec.
var (
	// ErrTooLarge: a frame or a field exceeds its limit.
	ErrTooLarge = errs.Class("wire: too large")
	// ErrType: the frame type is unknown.
	ErrType = errs.Class("wire: unknown type")
	// ErrBody: the body cannot be decoded as the frame's type.
	ErrBody = errs.Class("wire: bad body")
)

// Limits of fields in bytes.
const (
	// MaxString bounds identifiers, reasons and trace contexts.
	MaxString = 1 << 10
	// MaxText bounds the text of one Token.
	MaxText = 64 << 10
)

// maxCount bounds counters and indexes. It fits in an int on every platform.
const maxCount = math.MaxInt32

// FrameSize returns the size in bytes of the frame that starts with head, which must hold at
// least the four bytes of the length.
func FrameSize(head []byte) (int, error) {
	length := binary.BigEndian.Uint32(head)
	if length < 1 || length > MaxFrame-4 {
		return 0, ErrTooLarge.New("frame length %d, at most %d allowed", length, MaxFrame-4)
	}
	return 4 + int(length), nil
}

// Split returns the type, body and size of the first frame in buf. A size of zero without an error means that buf
// holds only part of a frame. The body is a slice of buf.
func Split(buf []byte) (t Type, body []byte, size int, err error) {
	if len(buf) < 4 {
		return 0, nil, 0, nil
	}
	size, err = FrameSize(buf)
	if err != nil || len(buf) < size {
		return 0, nil, 0, err
	}
	return Type(buf[4]), buf[HeaderSize:size], size, nil
}

// Encoder appends frames to a buffer. It is not safe for concurrent use.
type Encoder struct{ w *pack.Writer }

// NewEncoder returns an encoder.
func NewEncoder() *Encoder { return &Encoder{w: pack.NewWriter()} }

// Append appends m to buf as one frame. On an error it returns buf unchanged.
func (e *Encoder) Append(buf []byte, m Message) ([]byte, error) {
	if err := Validate(m); err != nil {
		return buf, err
	}
	e.w.Buf = append(buf, 0, 0, 0, 0, byte(m.Type()))
	encodeBody(e.w, m)
	out := e.w.Buf
	e.w.Buf = nil
	binary.BigEndian.PutUint32(out[len(buf):], uint32(len(out)-len(buf)-4))
	return out, nil
}

// Decoder decodes frame bodies. It is not safe for concurrent use.
type Decoder struct {
	r      *pack.Reader
	sender string // sender of the last message; it is the same for all messages of a link
}

// NewDecoder returns a decoder.
func NewDecoder() *Decoder { return &Decoder{r: pack.NewReader()} }

// Decode decodes the body of a frame of type t. The message holds copies, so body may be reused.
func (d *Decoder) Decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, ErrType.New("type %d", t)
	}
	d.r.Reset(body)
	m.Header().Sender = d.sender
	decodeBody(d.r, m)
	d.sender = m.Header().Sender
	if err := d.r.Finish(); err != nil {
		return nil, ErrBody.Wrap(err)
	}
	return m, nil
}

func newMessage(t Type) Message {
	switch t {
	case TypeHello:
		return &Hello{}
	case TypeSubmit:
		return &Submit{}
	case TypeChunk:
		return &Chunk{}
	case TypeCancel:
		return &Cancel{}
	case TypeAccepted:
		return &Accepted{}
	case TypeToken:
		return &Token{}
	case TypeEnd:
		return &End{}
	case TypeKeepalive:
		return &Keepalive{}
	default:
		return nil
	}
}

// Validate returns an error if a field of m exceeds its limit. Append and Decode apply the same limits.
func Validate(m Message) error {
	switch m := m.(type) {
	case *Hello:
		return checkFields(m, nil, m.Role)
	case *Submit:
		counts := []int{m.PromptTokens, m.MaxOutputTokens, m.ResumeFrom, m.Chunks}
		return checkFields(m, counts, m.Request, m.Team, m.Model, m.TraceParent)
	case *Chunk:
		if len(m.Data) > MaxChunk {
			return ErrTooLarge.New("chunk of %d bytes, at most %d allowed", len(m.Data), MaxChunk)
		}
		return checkCounts(m, m.Index)
	case *Cancel:
		return checkFields(m, nil, m.Reason)
	case *Accepted:
		return checkFields(m, []int{m.Position}, m.Engine)
	case *Token:
		if len(m.Text) > MaxText {
			return ErrTooLarge.New("token of %d bytes, at most %d allowed", len(m.Text), MaxText)
		}
		return checkCounts(m, m.N)
	case *End:
		return checkFields(m, []int{m.Count}, m.Reason, m.Step, m.Peer)
	case *Keepalive:
		return nil
	default:
		return ErrType.New("message %T", m)
	}
}

func checkFields(m Message, counts []int, fields ...string) error {
	for _, f := range fields {
		if len(f) > MaxString {
			return ErrTooLarge.New("field of %d bytes in message type %d, at most %d allowed", len(f), m.Type(), MaxString)
		}
	}
	return checkCounts(m, counts...)
}

func checkCounts(m Message, counts ...int) error {
	for _, n := range counts {
		if n < 0 || n > maxCount {
			return ErrTooLarge.New("count %d in message type %d", n, m.Type())
		}
	}
	return nil
}
