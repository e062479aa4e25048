package control

import (
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/transport/internal/pack"
)

// A message on the wire is a uint32 length (big endian) followed by a msgpack array of sequence number,
// method, error text and body. The body is an array of the fields of its struct, in order. A reply with an error
// has no body.
const (
	envelopeFields = 4
	maxMethod      = 64      // bytes
	maxErrorText   = 4 << 10 // bytes
)

// framing reads and writes the length-prefixed messages of one connection. net/rpc calls the read methods
// from one goroutine and the write methods from one other.
type framing struct {
	conn         net.Conn
	writeTimeout time.Duration
	idleTimeout  time.Duration // 0 means no limit
	r            *pack.Reader
	w            *pack.Writer
	buf          []byte
	messagesRead atomic.Uint64 // a call that times out retires the connection if this has not changed
	broken       atomic.Bool
}

func newFraming(conn net.Conn, cfg Config, idleTimeout time.Duration) framing {
	return framing{conn: conn, writeTimeout: cfg.WriteTimeout, idleTimeout: idleTimeout, r: pack.NewReader(), w: pack.NewWriter()}
}

// readEnvelope reads one message and decodes its envelope. f.r is then positioned at the body.
func (f *framing) readEnvelope() (seq uint64, method, errText string, err error) {
	defer func() {
		if err != nil {
			f.broken.Store(true)
		}
	}()
	if f.idleTimeout > 0 {
		_ = f.conn.SetReadDeadline(time.Now().Add(f.idleTimeout))
	}
	var head [4]byte
	if _, err = io.ReadFull(f.conn, head[:]); err != nil {
		return 0, "", "", err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxMessage {
		return 0, "", "", ErrMessage.New("length %d, at most %d allowed", n, MaxMessage)
	}
	if f.buf, err = readBody(f.conn, f.buf[:0], int(n)); err != nil {
		return 0, "", "", err
	}
	f.messagesRead.Add(1)
	f.r.Reset(f.buf)
	f.r.Fields(envelopeFields)
	seq = f.r.Uint(math.MaxUint64)
	method = f.r.Str(maxMethod)
	errText = f.r.Str(maxErrorText)
	return seq, method, errText, f.r.Err()
}

// readBody grows the buffer as bytes arrive, so that a length prefix alone allocates nothing. A buffer
// that grew for a large message is not reused.
func readBody(conn io.Reader, buf []byte, n int) ([]byte, error) {
	const step = 64 << 10
	if cap(buf) > 16*step {
		buf = nil
	}
	for len(buf) < n {
		start := len(buf)
		buf = append(buf, make([]byte, min(step, n-start))...)
		if _, err := io.ReadFull(conn, buf[start:]); err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// write sends one message. A failed write may have sent part of the message, so it closes the
// connection.
func (f *framing) write(seq uint64, method, errText string, body any) error {
	w := f.w
	w.Buf = append(w.Buf[:0], 0, 0, 0, 0)
	w.Array(envelopeFields)
	w.Uint(seq)
	w.Str(method)
	w.Str(errText[:min(len(errText), maxErrorText)])
	encodeBody(w, body)
	n := len(w.Buf) - 4
	if n > MaxMessage {
		w.Buf = nil
		return ErrTooLarge.New("%d bytes, at most %d allowed", n, MaxMessage)
	}
	binary.BigEndian.PutUint32(w.Buf, uint32(n))
	_ = f.conn.SetWriteDeadline(time.Now().Add(f.writeTimeout))
	if _, err := f.conn.Write(w.Buf); err != nil {
		f.broken.Store(true)
		_ = f.conn.Close()
		return err
	}
	if cap(w.Buf) > 1<<20 {
		w.Buf = nil
	}
	return nil
}

// decodeInto decodes the message body into the struct that v points to. A nil v skips the body.
func (f *framing) decodeInto(v any) error {
	if v == nil {
		return nil
	}
	decodeBody(f.r, v)
	if err := f.r.Finish(); err != nil {
		return ErrMessage.Wrap(err)
	}
	return nil
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ framing }

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) (err error) {
	r.Seq, r.ServiceMethod, _, err = c.readEnvelope()
	return err
}

func (c *serverCodec) ReadRequestBody(v any) error { return c.decodeInto(v) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		body = nil
	}
	err := c.write(r.Seq, r.ServiceMethod, r.Error, body)
	if ErrTooLarge.Has(err) {
		return c.write(r.Seq, r.ServiceMethod, err.Error(), nil)
	}
	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ framing }

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.Seq, r.ServiceMethod, "", body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) (err error) {
	r.Seq, r.ServiceMethod, r.Error, err = c.readEnvelope()
	return err
}

func (c *clientCodec) ReadResponseBody(v any) error { return c.decodeInto(v) }

func (c *clientCodec) Close() error { return c.conn.Close() }
