package obs

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stalledReader is the reader of a log that stands still until it is released.
type stalledReader struct {
	release chan struct{}
	mu      sync.Mutex
	read    bytes.Buffer
}

func (r *stalledReader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.Write(p)
}

func (r *stalledReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.read.String()
}

// Guards against a process that hangs while the reader of its log stands still, against a log without bound then, and against
// a start, a stop or a lost dependency that is missing in the log later, or dropped lines that nothing tells.
func TestStalledReaderHoldsNobodyUp(t *testing.T) {
	c := qt.New(t)
	r := &stalledReader{release: make(chan struct{})}
	o, err := New(Config{HostID: "h", Role: "entry", LogLevel: "info", LogTo: r, LogAside: true})
	c.Assert(err, qt.IsNil)
	const lines = 20_000
	began := time.Now()
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			for i := range lines / 4 {
				o.Log.WithField("request", fmt.Sprint(n, "-", i)).Info("request answered " + strings.Repeat("x", 100))
			}
		})
	}
	wg.Wait()
	o.Log.WithContext(Essential).Info("stopping")
	c.Assert(time.Since(began) < 10*time.Second, qt.IsTrue)
	dropped := o.logs.Dropped()
	c.Assert(dropped > 0, qt.IsTrue)
	o.FlushLog(context.Background()) // returns although nothing is read

	close(r.release)
	for o.logs.waiting() > 0 && time.Since(began) < 20*time.Second {
		time.Sleep(time.Millisecond)
	}
	o.Log.Info("afterwards")
	c.Assert(o.Shutdown(context.Background()), qt.IsNil)
	text := r.text()
	c.Assert(strings.Count(text, "request answered")+int(dropped), qt.Equals, lines)
	c.Assert(text, qt.Contains, "msg=stopping")
	c.Assert(text, qt.Contains, "msg=afterwards")
	c.Assert(text, qt.Contains, fmt.Sprintf("msg=\"log lines dropped\" dropped=%d", dropped))
	c.Assert(len(text) <= logBufferBytes+1000, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
}
