// Package wire defines the messages between gateways and dispatchers and their frame encoding:
// uint32 length (big endian, of type and body), uint8 type, msgpack body.
package wire

// Size limits in bytes.
const (
	// MaxFrame is the maximum size of a frame, including its header. A longer frame closes the link.
	MaxFrame = 1 << 20
	// MaxChunk is the maximum number of prompt bytes in one Chunk, so that tokens of other streams can be sent between
	// chunks.
	MaxChunk = 256 << 10
	// HeaderSize is the size of the length and the type.
	HeaderSize = 5
)

// Type identifies the message type of a frame.
type Type uint8

// Frame types. The numbers must not change, because peers of other versions read them.
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

// Head holds the fields that every message carries.
type Head struct {
	Sender        string // host id and role, "host/role"
	Incarnation   uint64
	ConfigVersion uint64
	Seq           uint64 // starts at 1 and increases by one with each message of a link
}

// Message is one of the message types of this package.
type Message interface {
	// Type returns the frame type of the message.
	Type() Type
	// Header returns the common head, which the link fills in before sending.
	Header() *Head
}

// Hello is the first message of a link in each direction.
type Hello struct {
	Head Head
	Role string
}

// Submit sends an attempt of a request to a dispatcher. Its prompt follows in as many Chunk messages as Chunks says.
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
	ResumeFrom      int   // number of the last token that the caller has received
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

// Cancel asks the dispatcher to cancel an attempt.
type Cancel struct {
	Head    Head
	Attempt uint64
	Reason  string
}

// Accepted reports that an attempt is queued or was sent to an engine.
type Accepted struct {
	Head     Head
	Attempt  uint64
	Engine   string // empty while queued
	Position int    // in the queue
}

// Token carries one output token.
type Token struct {
	Head    Head
	Attempt uint64
	N       int // token number, from 1
	Text    string
}

// End is the last message of an attempt.
type End struct {
	Head         Head
	Attempt      uint64
	Count        int   // number of the last token sent
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
