// Package httpend holds the code shared by the HTTP servers for callers: reading a request body with limits on
// size and time, and writing the error response of a request.
package httpend

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// DefaultRetryAfter is sent to callers if the refusal specifies no delay.
const DefaultRetryAfter = time.Second

// WriteError writes the error response of a request. format formats the Retry-After header, since callers
// differ in whether they accept fractions of a second.
func WriteError(w http.ResponseWriter, e *outcome.Error, format func(time.Duration) string) {
	w.Header().Set("Content-Type", "application/json")
	status := outcome.Status(e.Kind, e.Reason)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		if e.RetryAfter <= 0 {
			e.RetryAfter = DefaultRetryAfter
		}
		w.Header().Set("Retry-After", format(e.RetryAfter))
	}
	body := e.Body()
	if e.Err != nil && body.Detail == "" {
		body.Detail = e.Err.Error()
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller disconnected, and nothing follows
}

// ReadBody reads a request body of at most limit bytes. The read fails if it takes longer than within. After a failure
// the connection takes no further request.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, *outcome.Error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(within))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		// If the deadline stayed set, it would later break the connection of a caller that waits for its response.
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	}
	// net/http reads the rest of a body before it writes the response. Without a deadline it would wait for a caller
	// that has stopped sending, and the caller would get no response.
	_ = rc.SetReadDeadline(time.Now())
	w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, outcome.Refuse("read_body", outcome.TooLarge, "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, outcome.Refuse("read_body", outcome.Deadline, "the body did not arrive within "+within.String())
	default:
		return nil, outcome.Refuse("read_body", outcome.BadRequest, err.Error())
	}
}
