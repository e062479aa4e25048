// Package pack writes and reads msgpack values field by field with a limit on every length. The
// reflective decoder of the library allocates whatever length a message declares, up to 4 GiB for a byte
// string and without limit for a slice of structs. The Reader checks each length against the bytes available.
package pack

import (
	"bytes"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/zeebo/errs"
)

// ErrValue is the class of errors for values that cannot be decoded or exceed their limit.
var ErrValue = errs.Class("msgpack value")

// Writer appends msgpack values to Buf. Writing to memory cannot fail.
type Writer struct {
	Buf []byte
	enc *msgpack.Encoder
}

// NewWriter returns an empty writer.
func NewWriter() *Writer {
	w := &Writer{}
	w.enc = msgpack.NewEncoder(w)
	return w
}

// Write implements io.Writer for the encoder.
func (w *Writer) Write(p []byte) (int, error) {
	w.Buf = append(w.Buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter; without it the encoder wraps the writer.
func (w *Writer) WriteByte(b byte) error {
	w.Buf = append(w.Buf, b)
	return nil
}

// Array writes the header of an array of n values.
func (w *Writer) Array(n int) { _ = w.enc.EncodeArrayLen(n) }

// Uint writes v in 1 to 9 bytes.
func (w *Writer) Uint(v uint64) { _ = w.enc.EncodeUint(v) }

// FixedUint64 writes v in 9 bytes. It is used for random numbers, so that the encoded length is constant.
func (w *Writer) FixedUint64(v uint64) { _ = w.enc.EncodeUint64(v) }

// Int writes v in 1 to 9 bytes.
func (w *Writer) Int(v int64) { _ = w.enc.EncodeInt(v) }

// Float writes v in 5 bytes.
func (w *Writer) Float(v float32) { _ = w.enc.EncodeFloat32(v) }

// Bool writes v in one byte.
func (w *Writer) Bool(v bool) { _ = w.enc.EncodeBool(v) }

// Str writes a string.
func (w *Writer) Str(s string) { _ = w.enc.EncodeString(s) }

// Bytes writes a byte string.
func (w *Writer) Bytes(b []byte) { _ = w.enc.EncodeBytes(b) }

// Reader reads the values of one message. After the first error all methods return zero values.
type Reader struct {
	data []byte
	src  bytes.Reader
	dec  *msgpack.Decoder
	err  error
}

// NewReader returns a reader without data.
func NewReader() *Reader {
	r := &Reader{}
	r.dec = msgpack.NewDecoder(&r.src)
	return r
}

// Reset makes data the message to read. Values that are read are copies of it.
func (r *Reader) Reset(data []byte) {
	r.data, r.err = data, nil
	r.src.Reset(data)
}

// Finish returns the first error, or an error if unread data is left.
func (r *Reader) Finish() error {
	if r.err == nil && r.src.Len() > 0 {
		r.Fail("%d bytes left over", r.src.Len())
	}
	return r.err
}

// Err returns the first error.
func (r *Reader) Err() error { return r.err }

// Fail records an error unless one is recorded already.
func (r *Reader) Fail(format string, args ...any) {
	if r.err == nil {
		r.err = ErrValue.New(format, args...)
	}
}

func (r *Reader) check(err error) bool {
	if r.err == nil && err != nil {
		r.err = ErrValue.Wrap(err)
	}
	return r.err == nil
}

// Array reads the header of an array of at most limit values. Each value takes at least one byte, so the
// length is also bounded by the bytes left.
func (r *Reader) Array(limit int) int {
	if r.err != nil {
		return 0
	}
	n, err := r.dec.DecodeArrayLen()
	if !r.check(err) {
		return 0
	}
	if n < 0 || n > limit || n > r.src.Len() {
		r.Fail("array of %d values, at most %d expected", n, min(limit, r.src.Len()))
		return 0
	}
	return n
}

// Fields reads the header of an array of exactly n values.
func (r *Reader) Fields(n int) {
	if got := r.Array(n); r.err == nil && got != n {
		r.Fail("%d fields, %d expected", got, n)
	}
}

// Uint reads an unsigned number of at most limit.
func (r *Reader) Uint(limit uint64) uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeUint64()
	if !r.check(err) {
		return 0
	}
	if v > limit {
		r.Fail("number %d above %d", v, limit)
		return 0
	}
	return v
}

// Int reads a signed number.
func (r *Reader) Int() int64 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeInt64()
	if !r.check(err) {
		return 0
	}
	return v
}

// Float reads a 32 bit floating point number.
func (r *Reader) Float() float32 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeFloat32()
	if !r.check(err) {
		return 0
	}
	return v
}

// Bool reads a boolean.
func (r *Reader) Bool() bool {
	if r.err != nil {
		return false
	}
	v, err := r.dec.DecodeBool()
	return r.check(err) && v
}

// Str reads a string of at most limit bytes.
func (r *Reader) Str(limit int) string { return string(r.view(limit)) }

// StrReuse reads a string like Str and returns prev without allocating if the two are equal.
func (r *Reader) StrReuse(prev string, limit int) string {
	v := r.view(limit)
	if string(v) == prev {
		return prev
	}
	return string(v)
}

// Bytes reads a byte string of at most limit bytes.
func (r *Reader) Bytes(limit int) []byte {
	v := r.view(limit)
	if v == nil {
		return nil
	}
	return append(make([]byte, 0, len(v)), v...)
}

// view returns the bytes of a string without copying them.
func (r *Reader) view(limit int) []byte {
	if r.err != nil {
		return nil
	}
	n, err := r.dec.DecodeBytesLen()
	if !r.check(err) || n < 0 {
		return nil
	}
	if n > limit || n > r.src.Len() {
		r.Fail("string of %d bytes, at most %d expected", n, min(limit, r.src.Len()))
		return nil
	}
	start := len(r.data) - r.src.Len()
	_, err = r.src.Seek(int64(n), io.SeekCurrent)
	if !r.check(err) {
		return nil
	}
	return r.data[start : start+n]
}
