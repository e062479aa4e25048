package kit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes lines with the time since the start of the test.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Line writes a line.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Now returns the time since the start of the test.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
