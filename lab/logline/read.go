package logline

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"errors"
	"io"
)

const (
	// maxLine bounds the memory for one line in bytes. The longest lines of the project have a few kB.
	maxLine = 1 << 20
	// readBuffer is the size of one read in bytes.
	readBuffer = 256 << 10
)

// Summary describes a log that was read.
type Summary struct {
	Lines       int   // events
	Broken      int   // lines that are no events; blank lines are not counted
	FirstBroken error // why the first of them is none
	FirstAt     int   // its number, from 1
	// Damaged is the error that ended the log early, such as cut-off gzip data. The lines before it were read.
	Damaged error
}

// Read calls each for every event of a log with its line number, from 1, and stops at the first error that each
// returns. The log may be compressed with gzip. Memory is bounded whatever the size of the log.
func Read(r io.Reader, each func(number int, l Line) error) (Summary, error) {
	var s Summary
	plain, err := decompress(r)
	if err != nil {
		s.Damaged = err
		return s, nil
	}
	lines := bufio.NewReaderSize(plain, readBuffer)
	for number := 1; ; number++ {
		text, tooLong, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) {
			s.Damaged = Error.New("after line %d: %w", number-1, err)
			return s, nil
		}
		if parseErr := s.handle(number, text, tooLong, each); parseErr != nil {
			return s, parseErr
		}
		if err != nil {
			return s, nil
		}
	}
}

func (s *Summary) handle(number int, text []byte, tooLong bool, each func(int, Line) error) error {
	if len(bytes.TrimSpace(text)) == 0 && !tooLong {
		return nil
	}
	l, err := Parse(text)
	if tooLong {
		err = Error.New("more than %d bytes", maxLine)
	}
	if err == nil {
		s.Lines++
		return each(number, l)
	}
	if s.Broken++; s.Broken == 1 {
		s.FirstBroken, s.FirstAt = err, number
	}
	return nil
}

// readLine returns the next line. Of a line that is too long, it returns a part and skips the rest.
func readLine(r *bufio.Reader) (text []byte, tooLong bool, err error) {
	text, err = r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return text, false, err
	}
	text = bytes.Clone(text)
	for errors.Is(err, bufio.ErrBufferFull) {
		var more []byte
		more, err = r.ReadSlice('\n')
		if len(text)+len(more) > maxLine {
			tooLong = true
			continue
		}
		text = append(text, more...)
	}
	return text, tooLong, err
}

// decompress returns the content of a log that may be compressed with gzip.
func decompress(r io.Reader) (io.Reader, error) {
	b := bufio.NewReader(r)
	magic, err := b.Peek(2)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, Error.Wrap(err)
	}
	if !bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		return b, nil
	}
	z, err := gzip.NewReader(b)
	return z, Error.Wrap(err)
}
