// Package wire defines the messages between gateways and dispatchers and their frame encoding:
// uint32 length (big endian), uint8 type, msgpack body.
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
)

// Head is carried by every message.
type Head struct {
	Sender        string `msgpack:"s"` // host id and role, "host/role"
	Incarnation   uint64 `msgpack:"i"`
	ConfigVersion uint64 `msgpack:"v"`
	Seq           uint64 `msgpack:"q"` // rises by one for each message of a link
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
	Head Head   `msgpack:"h"`
	Role string `msgpack:"r"`
}

// Submit hands an attempt to a dispatcher. Its prompt follows in Chunks Chunk messages.
type Submit struct {
	Head            Head   `msgpack:"h"`
	Request         string `msgpack:"rq"`
	Attempt         uint64 `msgpack:"a"` // unique per gateway incarnation
	Team            string `msgpack:"t"`
	Model           string `msgpack:"m"`
	Class           uint8  `msgpack:"c"`
	PromptTokens    int    `msgpack:"p"`
	MaxOutputTokens int    `msgpack:"o"`
	RemainingMS     int64  `msgpack:"d"` // time left until the caller's deadline
	ResumeFrom      int    `msgpack:"f"` // last token number that the caller has
	TraceParent     string `msgpack:"tp"`
	Chunks          int    `msgpack:"n"`
}

// Chunk carries a piece of a prompt.
type Chunk struct {
	Head    Head   `msgpack:"h"`
	Attempt uint64 `msgpack:"a"`
	Index   int    `msgpack:"x"` // from 0
	Data    []byte `msgpack:"b"`
}

// Cancel gives an attempt up.
type Cancel struct {
	Head    Head   `msgpack:"h"`
	Attempt uint64 `msgpack:"a"`
	Reason  string `msgpack:"r"`
}

// Accepted tells that an attempt is queued or sent.
type Accepted struct {
	Head     Head   `msgpack:"h"`
	Attempt  uint64 `msgpack:"a"`
	Engine   string `msgpack:"e"` // empty while queued
	Position int    `msgpack:"p"`
}

// Token carries one token of an answer.
type Token struct {
	Head    Head   `msgpack:"h"`
	Attempt uint64 `msgpack:"a"`
	N       int    `msgpack:"n"` // from 1
	Text    string `msgpack:"t"`
}

// End closes an attempt. Nothing follows it.
type End struct {
	Head         Head   `msgpack:"h"`
	Attempt      uint64 `msgpack:"a"`
	Count        int    `msgpack:"c"`
	Outcome      uint8  `msgpack:"k"` // outcome.Kind
	Reason       string `msgpack:"r"`
	RetryAfterMS int64  `msgpack:"w"`
	Step         string `msgpack:"s"`
	Peer         string `msgpack:"p"`
}

func (m *Hello) Type() Type    { return TypeHello }
func (m *Submit) Type() Type   { return TypeSubmit }
func (m *Chunk) Type() Type    { return TypeChunk }
func (m *Cancel) Type() Type   { return TypeCancel }
func (m *Accepted) Type() Type { return TypeAccepted }
func (m *Token) Type() Type    { return TypeToken }
func (m *End) Type() Type      { return TypeEnd }

func (m *Hello) Header() *Head    { return &m.Head }
func (m *Submit) Header() *Head   { return &m.Head }
func (m *Chunk) Header() *Head    { return &m.Head }
func (m *Cancel) Header() *Head   { return &m.Head }
func (m *Accepted) Header() *Head { return &m.Head }
func (m *Token) Header() *Head    { return &m.Head }
func (m *End) Header() *Head      { return &m.Head }
