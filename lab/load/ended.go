package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// ended is the end of one request.
type ended struct {
	kind     kind
	team     string
	label    string
	short    bool
	withLong bool // a long request ran at the same time
	timeout  time.Duration

	outcome    outcome.Kind
	reason     outcome.Reason
	answerless bool // the connection failed or the stream was cut: no outcome reached the caller
	cause      string
	faults     []string // broken rules of the caller interface

	firstToken time.Duration
	took       time.Duration
	ticket     string
}

// lost marks a request whose connection failed. For the caller it may have run.
func (e *ended) lost(err error) {
	e.outcome, e.answerless, e.cause = outcome.MayHaveRun, true, err.Error()
}

func (e *ended) broken(format string, args ...any) {
	e.faults = append(e.faults, fmt.Sprintf(format, args...))
}

// fromHeader reads the outcome header and, unless answered, the error body, and checks that they
// agree with the status.
func (e *ended) fromHeader(resp *http.Response) {
	text := resp.Header.Get("Rosemaryhill-Outcome")
	e.outcome = outcome.ParseKind(text)
	if text != e.outcome.String() {
		e.broken("outcome header %q with status %d", text, resp.StatusCode)
	}
	if e.outcome == outcome.Answered {
		return
	}
	var body outcome.Body
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&body); err != nil {
		e.broken("error body with status %d: %v", resp.StatusCode, err)
		return
	}
	e.reason = body.Reason
	if body.Outcome != text {
		e.broken("outcome %q in the body, %q in the header", body.Outcome, text)
	}
	if want := outcome.Status(e.outcome, body.Reason); resp.StatusCode != want {
		e.broken("status %d for %s %s, want %d", resp.StatusCode, text, body.Reason, want)
	}
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if refused && resp.Header.Get("Retry-After") == "" {
		e.broken("status %d without Retry-After", resp.StatusCode)
	}
}

func errOrEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}
