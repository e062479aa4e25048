package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// writeTimeout bounds the write of one event, so that a caller that stops reading does not occupy a request
// slot.
const writeTimeout = 10 * time.Second

// EndEvent is the data of the last event of a stream. A stream without it is incomplete.
type EndEvent struct {
	Outcome      string         `json:"outcome"`
	Count        int            `json:"count"` // number of the last token
	Reason       outcome.Reason `json:"reason"`
	Step         string         `json:"step,omitempty"`
	Peer         string         `json:"peer,omitempty"`
	RetryAfterMS int64          `json:"retry_after_ms,omitempty"`
	Detail       string         `json:"detail,omitempty"`
}

// events writes a text/event-stream response. The header is sent with the first event, so that a request that
// fails before can still get an error status.
type events struct {
	w          http.ResponseWriter
	rc         *http.ResponseController
	headerSent bool
	buf        []byte
}

func newEvents(w http.ResponseWriter) *events {
	return &events{w: w, rc: http.NewResponseController(w)}
}

func (e *events) sendHeader() {
	if e.headerSent {
		return
	}
	e.headerSent = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(OutcomeHeader, outcome.Answered.String())
	e.w.WriteHeader(http.StatusOK)
}

// token writes token n. flush is false if more frames are queued.
func (e *events) token(n int, text string, flush bool) error {
	e.sendHeader()
	data, err := json.Marshal(struct {
		Text string `json:"text"`
	}{text})
	if err != nil {
		return err
	}
	e.buf = append(e.buf[:0], "id: "...)
	e.buf = strconv.AppendInt(e.buf, int64(n), 10)
	e.buf = append(e.buf, "\nevent: token\ndata: "...)
	e.buf = append(e.buf, data...)
	return e.write(flush)
}

// end writes the last event. cause is nil for a complete answer.
func (e *events) end(k outcome.Kind, r outcome.Reason, count int, cause *outcome.Error) {
	e.sendHeader()
	ev := EndEvent{Outcome: k.String(), Count: count, Reason: r}
	if cause != nil {
		ev.Step, ev.Peer, ev.Detail = cause.Step, cause.Peer, cause.Detail
		ev.RetryAfterMS = cause.RetryAfter.Milliseconds()
	}
	data, _ := json.Marshal(ev) // can't fail: only strings and numbers
	e.buf = append(append(e.buf[:0], "event: end\ndata: "...), data...)
	_ = e.write(true) // an error means that the caller disconnected
	// If the deadline stayed set, it would apply to the next request on this connection.
	_ = e.rc.SetWriteDeadline(time.Time{})
}

func (e *events) write(flush bool) error {
	e.buf = append(e.buf, "\n\n"...)
	_ = e.rc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return e.rc.Flush()
}
