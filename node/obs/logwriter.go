package obs

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// logBufferBytes bounds the lines that wait for a slow reader of the log: some thousands.
	logBufferBytes = 1 << 20
	// essentialShare is the share of it that is kept for essential lines.
	essentialShare = 0.125
)

type essentialKey struct{}

// Essential marks the lines of a log entry as essential, see logrus.Entry.WithContext: a start, a stop, a dependency that is
// lost or regained. Room is kept for them when other lines are dropped.
var Essential = context.WithValue(context.Background(), essentialKey{}, true)

func isEssential(e *logrus.Entry) bool {
	return e.Context != nil && e.Context.Value(essentialKey{}) != nil
}

// logWriter writes log lines in a goroutine of its own, so that no other one waits for the reader of the log. Lines that find
// no room are dropped and counted; a line says how many, once the reader goes on. It lives as long as the process.
type logWriter struct {
	out      io.Writer
	text     logrus.Formatter
	mu       sync.Mutex
	queued   [][]byte
	bytes    int // of the queued lines, and of those that are being written
	dropped  uint64
	untold   uint64 // dropped lines that no line has told
	notEmpty chan struct{}
}

func newLogWriter(out io.Writer, text logrus.Formatter) *logWriter {
	w := &logWriter{out: out, text: text, notEmpty: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Format implements logrus.Formatter. It queues the line itself, since only an entry says whether it is essential; what
// logrus then writes is empty.
func (w *logWriter) Format(e *logrus.Entry) ([]byte, error) {
	line, err := w.text.Format(e)
	if err != nil {
		return nil, err
	}
	// logrus uses the buffer of the line again.
	w.queue(append([]byte(nil), line...), isEssential(e), e)
	return nil, nil
}

func (w *logWriter) queue(line []byte, essential bool, e *logrus.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := logBufferBytes
	if !essential {
		limit -= int(essentialShare * logBufferBytes)
	}
	if w.bytes+len(line) > limit {
		w.dropped++
		w.untold++
		return
	}
	if w.untold > 0 {
		if told, err := w.text.Format(&logrus.Entry{
			Logger: e.Logger, Time: e.Time, Level: logrus.WarnLevel, Message: "log lines dropped",
			Data: logrus.Fields{"dropped": w.untold, "host": e.Data["host"], "role": e.Data["role"]},
		}); err == nil {
			w.add(told)
			w.untold = 0
		}
	}
	w.add(line)
}

// add queues a line. w.mu must be locked.
func (w *logWriter) add(line []byte) {
	w.queued = append(w.queued, line)
	w.bytes += len(line)
	w.wake()
}

// run writes queued lines, as many as there are in one call.
func (w *logWriter) run() {
	for range w.notEmpty {
		w.mu.Lock()
		all := slices.Concat(w.queued...)
		w.queued = nil
		w.mu.Unlock()
		_, _ = w.out.Write(all) // a log that can't be written can't say so
		w.mu.Lock()
		w.bytes -= len(all)
		w.mu.Unlock()
	}
}

func (w *logWriter) wake() {
	select {
	case w.notEmpty <- struct{}{}:
	default: // a signal is pending
	}
}

// Dropped returns the number of lines that have been dropped.
func (w *logWriter) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

const (
	// flushTime bounds the wait for the last lines, so that a stop does not depend on the reader of the log.
	flushTime = 100 * time.Millisecond
	// flushPoll is the interval at which flush checks for lines that wait.
	flushPoll = 2 * time.Millisecond
)

// flush returns when all lines are written, the context ends or flushTime has passed.
func (w *logWriter) flush(ctx context.Context) {
	for end := time.Now().Add(flushTime); ctx.Err() == nil && time.Now().Before(end); {
		if w.waiting() == 0 {
			return
		}
		time.Sleep(flushPoll)
	}
}

// waiting returns the bytes of the lines that are not written yet.
func (w *logWriter) waiting() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}
