package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

const (
	// clients is the number of clients of a crowd. 1,500 connections with an endless head took 98 to 164 MiB.
	clients = 1200
	// headBytes is what a client sends of a head that does not end. It is below the 64 KiB at which net/http refuses the
	// head, so that all clients hold their part at the same time.
	headBytes = 60 << 10
	// slowBytes and slowInterval are the bytes of a slow body and the time between them.
	slowBytes    = 20
	slowInterval = 200 * time.Millisecond
	// sendTimeout bounds the time for which one client sends.
	sendTimeout = 15 * time.Second
)

// crowd is a kind of hostile clients.
type crowd struct {
	name string
	// descriptors is the limit of descriptors of the process. It is above the crowd where only memory is checked.
	descriptors int64
	// attack sends what one client sends. The connection stays open afterwards.
	attack func(net.Conn) error
}

var crowds = []crowd{
	{"endless head", 4100, func(c net.Conn) error { return send(c, "GET / HTTP/1.1\r\nHost: h\r\n", headerLines()) }},
	{"endless line", 4100, func(c net.Conn) error { return send(c, "GET /", strings.Repeat("a", headBytes)) }},
	{"empty lines", 4100, func(c net.Conn) error { return send(c, "", strings.Repeat("\r\n", headBytes/2)) }},
	{"endless trailers", 4100, func(c net.Conn) error {
		return send(c, standin.UnsafeHead+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", headerLines())
	}},
	{"endless chunk extension", 4100, func(c net.Conn) error {
		return send(c, standin.UnsafeHead+"Transfer-Encoding: chunked\r\n\r\n2;", strings.Repeat("a", headBytes))
	}},
	{"slow body", 1000, func(c net.Conn) error {
		err := send(c, standin.UnsafeHead+"Content-Length: 1000\r\n\r\n", "")
		for n := 0; n < slowBytes && err == nil; n++ {
			time.Sleep(slowInterval)
			err = send(c, "{", "")
		}
		return err
	}},
	{"idle", 1000, func(c net.Conn) error {
		if err := send(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}},
	{"half open", 1000, func(net.Conn) error { return nil }}, // the peer of such a connection is never heard
}

// headerLines returns lines of a head with as many different names as headBytes allow.
func headerLines() string {
	var b strings.Builder
	for n := 0; b.Len() < headBytes; n++ {
		fmt.Fprintf(&b, "a%x: b\r\n", n)
	}
	return b.String()
}

func send(c net.Conn, begin, rest string) error {
	_, err := io.WriteString(c, begin+rest)
	return err
}

// run attacks an address with all clients. It returns when each has sent what it has to send or has lost its connection, and
// leaves the connections open until the returned function is called.
func (x crowd) run(address string) (leave func()) {
	conns := make([]net.Conn, clients)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, sendTimeout)
			if err != nil {
				return // a connection that is refused is one of the allowed ends
			}
			conns[i] = conn
			_ = conn.SetDeadline(time.Now().Add(sendTimeout)) // fails only on a closed connection
			_ = x.attack(conn)                                // so is one that is closed
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}
