package kit

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a script: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	began time.Time
	runs  map[string][]string // servers that ran a request, by its id
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), began: time.Now(), runs: map[string][]string{}}, nil
}

// Write adds a line.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Write(format, args...)
	fmt.Printf("%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Ran records that a server began to work on a request.
func (r *Record) Ran(id, server, tenant, path string) {
	r.Write("server %s: runs %s %s tenant=%s", server, id, path, tenant)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], server)
}

// Runs returns the servers that ran a request.
func (r *Record) Runs(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// Close writes the rest of the record.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
