// Package httpend holds what the HTTP servers for callers share: bounded reading of a body and the final
// answer of a request that got none from a backend server.
package httpend

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/outcome"
)

// DefaultRetryAfter is told to callers when the refusal names no time.
const DefaultRetryAfter = time.Second

// WriteError writes the final answer of a request. The text of Retry-After comes from format, since callers
// differ in whether they read fractions of a second.
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
	_ = json.NewEncoder(w).Encode(body) // a lost connection needs no handling: nothing follows
}

// ReadBody reads a body of at most limit bytes within a time.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, *outcome.Error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(within))
	// A deadline left in place would later end the connection of a caller that waits for its answer.
	defer func() { _ = rc.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, outcome.Refuse("read_body", outcome.TooLarge, "the body has more than "+strconv.FormatInt(limit, 10)+" bytes")
	case err != nil:
		return nil, outcome.Refuse("read_body", outcome.BadRequest, err.Error())
	}
	return body, nil
}
