package entry

import (
	"io"
	"sync/atomic"
)

const (
	// bodyMemoryShare is the share of the process's memory limit that the bodies of all requests and answers in progress
	// may take together. Reading a body takes up to twice its size while its buffers grow or are joined.
	bodyMemoryShare = 0.125
	// headMemoryShare is the share that the heads of all answers in progress may take together. net/http holds up to three times
	// the size of a head while it reads it.
	headMemoryShare = 0.0625
	// defaultBodyMemory and defaultHeadMemory are these limits in bytes for a process without a memory limit.
	defaultBodyMemory = 64 << 20
	defaultHeadMemory = 32 << 20
)

// errBodyMemory reports that the bodies in progress have used up the memory for them.
var errBodyMemory = Error.New("the bodies of requests in progress take all of the memory for them")

// bodyMemory bounds the bytes of bodies that a host holds at the same time, so that many slow callers or servers with
// endless answers do not exceed the memory limit of the process.
type bodyMemory struct {
	limit int64
	used  atomic.Int64
}

func newBodyMemory(limitMB int64) *bodyMemory {
	return &bodyMemory{limit: shareOf(limitMB, bodyMemoryShare, defaultBodyMemory)}
}

// shareOf returns a share of a memory limit in bytes, or the default if there is no limit.
func shareOf(limitMB int64, share float64, withoutLimit int64) int64 {
	if limitMB <= 0 {
		return withoutLimit
	}
	return int64(share * float64(limitMB<<20))
}

// share is the part of the memory that one request, or an attempt of it, holds. It is used by one goroutine at a time.
type share struct {
	memory    *bodyMemory
	bytes     int64
	exhausted bool // a read has failed for lack of memory
}

// body returns a body whose bytes, when read, count towards the share until it is released. Reading returns
// errBodyMemory when there is no memory left.
func (s *share) body(b io.ReadCloser) io.ReadCloser { return &countedBody{b, s} }

// take adds bytes to the share. It returns errBodyMemory if there is no memory left.
func (s *share) take(n int) error {
	s.bytes += int64(n)
	if s.memory.used.Add(int64(n)) > s.memory.limit {
		s.exhausted = true
		return errBodyMemory
	}
	return nil
}

// absorb moves another share into this one.
func (s *share) absorb(other share) { s.bytes += other.bytes }

// release gives back the whole share.
func (s *share) release() {
	if s.bytes == 0 {
		return
	}
	s.memory.used.Add(-s.bytes)
	s.bytes = 0
}

type countedBody struct {
	io.ReadCloser
	s *share
}

// Read implements io.Reader.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err := c.s.take(n); err != nil {
		return 0, err
	}
	return n, err
}
