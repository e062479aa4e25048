package httpcall

import (
	"errors"
	"net/http"
)

// ErrNoEvent is the error of a stream without length or chunks whose connection ended before a new event.
var ErrNoEvent = errors.New("stream ended with its connection before an event")

// EndsWithConnection reports whether a response has neither a length nor chunks. What marks the end of a body decides when
// it is whole:
//
//	length      all of its bytes have arrived
//	chunks      the last chunk has arrived
//	connection  the server has closed the connection, without a reset and after it got the whole request
//
// Reading a body fails in all other cases. A server that dies may close its connections like one that has sent everything,
// so a body that ends with its connection can lack a part. CheckStreamEnd has the rule for streams of events. A stream
// that ends with a mark of its own, such as the end line of engine sessions, is whole with that mark alone.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// CheckStreamEnd checks a stream of events whose body has ended after a complete event. It returns ErrNoEvent if the body
// ended with its connection and had no new event: a server that dies before its first event looks the same.
func CheckStreamEnd(resp *http.Response, hadEvent bool) error {
	if EndsWithConnection(resp) && !hadEvent {
		return ErrNoEvent
	}
	return nil
}
