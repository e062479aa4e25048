package wire

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// samples holds one message of each type with fields of typical size.
func samples() []Message {
	h := Head{Sender: "leuven-03/dispatcher", Incarnation: 0x9e3779b97f4a7c15, ConfigVersion: 48_213, Seq: 1_204_331}
	return []Message{
		&Hello{Head: h, Role: "dispatcher"},
		&Submit{Head: h, Request: "4bf92f3577b34da6a3ce929d0e0e4736", Attempt: 88_121, Team: "line-sorters", Model: "ticket-large",
			Class: 1, PromptTokens: 30_000, MaxOutputTokens: 800, RemainingMS: 119_500, ResumeFrom: 12,
			TraceParent: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01", Chunks: 1},
		&Chunk{Head: h, Attempt: 88_121, Index: 3, Data: make([]byte, MaxChunk)},
		&Cancel{Head: h, Attempt: 88_121, Reason: "cancelled"},
		&Accepted{Head: h, Attempt: 88_121, Engine: "ticket-lm-07", Position: 4},
		&Token{Head: h, Attempt: 88_121, N: 412, Text: " kernel"},
		&End{Head: h, Attempt: 88_121, Count: 412, Outcome: 2, Reason: "backend_lost", RetryAfterMS: 1500, Step: "stream", Peer: "ticket-lm-07"},
		&Keepalive{Head: h},
	}
}

func frame(t testing.TB, m Message) []byte {
	b, err := NewEncoder().Append(nil, m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against fields that are lost, swapped or truncated by the codec.
func TestEveryMessageSurvivesTheRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, m := range samples() {
		b := append(frame(t, m), 0xff) // first byte of the next frame, which must not be consumed
		typ, body, size, err := Split(b)
		c.Assert(err, qt.IsNil)
		c.Assert(size, qt.Equals, len(b)-1)
		got, err := NewDecoder().Decode(typ, body)
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, m)
	}
}

// Guards against a partial frame that is treated as complete.
func TestSplitWaitsForTheWholeFrame(t *testing.T) {
	c := qt.New(t)
	b := frame(t, samples()[5])
	for i := range b {
		_, _, size, err := Split(b[:i])
		c.Assert(err, qt.IsNil)
		c.Assert(size, qt.Equals, 0)
	}
}

// Guards against allocations of a length that a malicious frame, string, byte string or array declares.
func TestLengthsAboveTheLimitAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, n := range []uint32{0, MaxFrame - 3, 1 << 31} {
		_, _, _, err := Split(binary.BigEndian.AppendUint32(nil, n))
		c.Assert(ErrTooLarge.Has(err), qt.IsTrue)
	}
	for _, body := range [][]byte{
		{0xdd, 0xff, 0xff, 0xff, 0xff},       // array of 4 Gi values
		{0x95, 0xdb, 0xff, 0xff, 0xff, 0xff}, // string of 4 GiB
		{0x95, 0xc6, 0xff, 0xff, 0xff, 0xff}, // byte string of 4 GiB
		{0x94}, {},                           // too few fields
	} {
		_, err := NewDecoder().Decode(TypeHello, body)
		c.Assert(ErrBody.Has(err), qt.IsTrue)
	}
	_, err := NewDecoder().Decode(99, nil)
	c.Assert(ErrType.Has(err), qt.IsTrue)
}

// Guards against a message that the sender accepts and the receiver rejects, which would close the link.
func TestFieldsAboveTheLimitAreNotEncoded(t *testing.T) {
	c := qt.New(t)
	for _, m := range []Message{
		&Chunk{Data: make([]byte, MaxChunk+1)},
		&Token{Text: strings.Repeat("x", MaxText+1)},
		&Cancel{Reason: strings.Repeat("x", MaxString+1)},
		&Token{N: -1},
	} {
		b, err := NewEncoder().Append([]byte{1}, m)
		c.Assert(ErrTooLarge.Has(err), qt.IsTrue)
		c.Assert(b, qt.DeepEquals, []byte{1})
	}
}

// Guards against panics and unbounded allocation on corrupt input, and against ambiguous frames: whatever can be
// decoded must encode and decode to the same message.
func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		if m.Type() != TypeChunk {
			f.Add(frame(f, m))
		}
	}
	f.Add(frame(f, &Chunk{Data: []byte("prompt")}))
	f.Add([]byte{0, 0, 0, 6, 1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		typ, body, size, err := Split(b)
		if err != nil || size == 0 {
			return
		}
		m, err := NewDecoder().Decode(typ, body)
		if err != nil {
			return
		}
		again, err := NewEncoder().Append(nil, m)
		if err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
		typ, body, _, _ = Split(again)
		m2, err := NewDecoder().Decode(typ, body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, m2, qt.DeepEquals, m)
	})
}

// BenchmarkCodec measures the frame size and the CPU time for each message type.
func BenchmarkCodec(b *testing.B) {
	for _, m := range samples() {
		name := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", m), "*wire."))
		encoded := frame(b, m)
		b.Run("encode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			enc, buf := NewEncoder(), make([]byte, 0, MaxFrame)
			for b.Loop() {
				buf, _ = enc.Append(buf[:0], m)
			}
			b.ReportMetric(float64(len(encoded)), "B/frame")
		})
		b.Run("decode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			dec := NewDecoder()
			typ, body, _, _ := Split(encoded)
			for b.Loop() {
				if _, err := dec.Decode(typ, body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
