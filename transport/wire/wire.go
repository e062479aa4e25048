// Package wire defines the messages between gateways and dispatchers and their frame encoding:
// uint32 length (big endian, of type and body), uint8 type, msgpack body.
package wire

// Size limits in bytes.
const (
	// MaxFrame bounds one frame, header included; a longer length closes the link.
	MaxFrame = 1 << 20
	// MaxChunk bounds the prompt bytes in one Chunk, so that tokens of other streams pass between chunks.
	MaxChunk = 256 << 10
	// HeaderSize is the size of length and type.
	HeaderSize = 5
)

// Type tags a frame.
type Type uint8

// Frame types. Numbers are fixed: a peer of another version reads them.
const (
	TypeHello Type = iota + 1
	TypeSubmit
	TypeChunk
	TypeCancel
	TypeAccepted
	TypeToken
	TypeEnd
	TypeKeepalive
)

// Head is carried by every message.
type Head struct {
	Sender        string // host id and role, "host/role"
	Incarnation   uint64
	ConfigVersion uint64
	Seq           uint64 // rises by one for each message of a link
}

// Message is one of the message types of this package.
type Message interface {
	// Type returns the frame type of the message.
	Type() Type
	// Header returns the common head, which the link fills in before sending.
	Header() *Head
}

// Hello opens a link, in both directions.
type Hello struct {
	Head Head
	Role string
}

// Submit hands an attempt to a dispatcher. Its prompt follows in Chunks Chunk messages.
type Submit struct {
	Head            Head
	Request         string
	Attempt         uint64 // unique per gateway incarnation
	Team            string
	Model           string
	Class           uint8
	PromptTokens    int
	MaxOutputTokens int
	RemainingMS     int64 // time left until the caller's deadline
	ResumeFrom      int   // last token number that the caller has
	TraceParent     string
	Chunks          int
}

// Chunk carries a piece of a prompt.
type Chunk struct {
	Head    Head
	Attempt uint64
	Index   int // from 0
	Data    []byte
}

// Cancel gives an attempt up.
type Cancel struct {
	Head    Head
	Attempt uint64
	Reason  string
}

// Accepted tells that an attempt is queued or sent.
type Accepted struct {
	Head     Head
	Attempt  uint64
	Engine   string // empty while queued
	Position int
}

// Token carries one token of an answer.
type Token struct {
	Head    Head
	Attempt uint64
	N       int // from 1
	Text    string
}

// End closes an attempt. Nothing follows it.
type End struct {
	Head         Head
	Attempt      uint64
	Count        int
	Outcome      uint8 // outcome.Kind
	Reason       string
	RetryAfterMS int64
	Step         string
	Peer         string
}

// Keepalive shows that the sender is alive while it has nothing else to send.
type Keepalive struct {
	Head Head
}

func (m *Hello) Type() Type     { return TypeHello }
func (m *Submit) Type() Type    { return TypeSubmit }
func (m *Chunk) Type() Type     { return TypeChunk }
func (m *Cancel) Type() Type    { return TypeCancel }
func (m *Accepted) Type() Type  { return TypeAccepted }
func (m *Token) Type() Type     { return TypeToken }
func (m *End) Type() Type       { return TypeEnd }
func (m *Keepalive) Type() Type { return TypeKeepalive }

func (m *Hello) Header() *Head     { return &m.Head }
func (m *Submit) Header() *Head    { return &m.Head }
func (m *Chunk) Header() *Head     { return &m.Head }
func (m *Cancel) Header() *Head    { return &m.Head }
func (m *Accepted) Header() *Head  { return &m.Head }
func (m *Token) Header() *Head     { return &m.Head }
func (m *End) Header() *Head       { return &m.Head }
func (m *Keepalive) Header() *Head { return &m.Head }
