package httpcall

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// maxResponseHeader bounds the header of a response in bytes. The default of net/http, 10 MiB, would let a few calls
// with endless headers use up the memory of a host.
const maxResponseHeader = 64 << 10

var (
	// ErrProtocolChange is the error of a response that changes to another protocol, which no request asks for.
	ErrProtocolChange = errors.New("response changes to another protocol")
	// ErrStatus is the error of a response with a status that HTTP does not have.
	ErrStatus = errors.New("response without a valid status")
)

// minFinalStatus and maxStatus are the bounds of the status of a final response.
const (
	minFinalStatus = 200
	maxStatus      = 599
)

// Transport is an HTTP/1.1 transport. A response ends with the context of its request at the latest.
type Transport struct {
	http.Transport
}

// NewTransport returns a transport that ignores proxy settings of the environment. Each call has a connection of
// its own: on a reused one, a second copy of an earlier response that arrives late would be taken for the response to
// the call.
func NewTransport(dialTimeout time.Duration) *Transport {
	d := &net.Dialer{Timeout: dialTimeout}
	http1 := new(http.Protocols)
	http1.SetHTTP1(true)
	return &Transport{http.Transport{
		Protocols:              http1,
		DialContext:            DialContext(d),
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxResponseHeader,
		DisableCompression:     true,
	}}
}

// RoundTrip implements http.RoundTripper. It refuses a change of protocols: net/http returns the connection as the body then,
// and the context of the request no longer ends the reading of it. It also refuses a status out of range, which net/http
// accepts with any three digits: a server of HTTP can't pass it on.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(req)
	switch {
	case err != nil:
		return resp, err
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, errors.Join(ErrProtocolChange, resp.Body.Close())
	case resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus:
		return nil, errors.Join(fmt.Errorf("%w: %d", ErrStatus, resp.StatusCode), resp.Body.Close())
	}
	return resp, nil
}
