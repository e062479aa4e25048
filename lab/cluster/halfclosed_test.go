package cluster

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/node/gateway"
	"github.com/rosemaryhill/rosemaryhill/standin/service"
)

// Guards against an empty success for a caller that has closed its sending direction while its request runs.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	c := qt.New(t)
	cl := startSmallSystemWith(c, ServiceSpec{ID: "l1", Name: "ledger", Zone: "z1", Service: service.Config{Delay: 400 * time.Millisecond}})
	waitReady(c, cl)
	address := strings.TrimPrefix(cl.Plan.GatewayURL("h1"), "http://")
	for _, request := range []string{
		"GET /v1/services/ledger/lots/1 HTTP/1.1\r\n",
		"GET /v1/addresses?model=m HTTP/1.1\r\n",
		"POST /v1/generate HTTP/1.1\r\nContent-Length: 49\r\n",
	} {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second)) // an error shows in the calls below
		body := ""
		if strings.HasPrefix(request, "POST") {
			body = `{"model":"m","prompt":"x","max_output_tokens":50}`
		}
		_, err = fmt.Fprintf(conn, "%sHost: h\r\n%s: t\r\n\r\n%s", request, gateway.TeamHeader, body)
		c.Assert(err, qt.IsNil)
		time.Sleep(50 * time.Millisecond)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", request))
		answer, _ := io.ReadAll(resp.Body) // a stream may be cut
		c.Check(resp.StatusCode != http.StatusOK || len(answer) > 0, qt.IsTrue, qt.Commentf("%s: empty success", request))
	}
}
