package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// requestResult is how one request ended, as its caller saw it.
type requestResult struct {
	kind       kind
	team       string
	label      string
	short      bool
	besideLong bool // a long request ran at the same time at some point
	timeout    time.Duration

	outcome    outcome.Kind
	reason     outcome.Reason
	noOutcome  bool // the connection failed or the stream was cut off before an outcome arrived
	cause      string
	violations []string // of the rules of the caller interface

	firstToken time.Duration
	duration   time.Duration
	ticket     string
}

// setConnectionError records a connection that failed before an outcome arrived. As far as the caller can
// tell, the request may have run.
func (e *requestResult) setConnectionError(err error) {
	e.outcome, e.noOutcome, e.cause = outcome.MayHaveRun, true, err.Error()
}

func (e *requestResult) addViolation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
}

// readOutcome reads the outcome header and, unless the request was answered, the error body. It checks
// that both agree with the HTTP status.
func (e *requestResult) readOutcome(resp *http.Response) {
	text := resp.Header.Get("Rosemaryhill-Outcome")
	e.outcome = outcome.ParseKind(text)
	if text != e.outcome.String() {
		e.addViolation("outcome header %q with status %d", text, resp.StatusCode)
	}
	if e.outcome == outcome.Answered {
		return
	}
	var body outcome.Body
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAddressBytes)).Decode(&body); err != nil {
		e.addViolation("error body with status %d: %v", resp.StatusCode, err)
		return
	}
	e.reason = body.Reason
	if body.Outcome != text {
		e.addViolation("outcome %q in the body, %q in the header", body.Outcome, text)
	}
	if want := outcome.Status(e.outcome, body.Reason); resp.StatusCode != want {
		e.addViolation("status %d for %s %s, want %d", resp.StatusCode, text, body.Reason, want)
	}
	refused := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable
	if refused && resp.Header.Get("Retry-After") == "" {
		e.addViolation("status %d without Retry-After", resp.StatusCode)
	}
}

// orUnexpectedEOF returns err, or io.ErrUnexpectedEOF if it is nil.
func orUnexpectedEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}
