package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// setDropping makes the kernel drop everything that arrives on a connection, like a network that is cut, or ends that.
func setDropping(conn *net.TCPConn, drop bool) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var opt error
	err = raw.Control(func(fd uintptr) {
		if !drop {
			opt = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		none := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		opt = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &none})
	})
	return errors.Join(err, opt)
}

// Guards against a connection to a sound server that is closed after its network was cut for less than two seconds: while
// the server works, or while the request is on its way.
func TestConnectionOutlastsCutNetwork(t *testing.T) {
	for _, test := range []struct {
		name        string
		body        int
		before, cut time.Duration
	}{
		{"server at work, 1.3 s", 0, 900 * time.Millisecond, 1300 * time.Millisecond},
		{"server at work, 1.9 s", 0, 900 * time.Millisecond, 1900 * time.Millisecond},
		{"request on its way, 1.3 s", 16 << 20, 0, 1300 * time.Millisecond},
		{"request on its way, 1.9 s", 16 << 20, 0, 1900 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer ln.Close()
			served := make(chan error, 1)
			go func() { served <- serveWithCut(ln, test.body, test.before, test.cut) }()
			resp, err := newClient(0, nil).Post("http://"+ln.Addr().String(), "", strings.NewReader(strings.Repeat("x", test.body)))
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			c.Assert(err, qt.IsNil)
			c.Assert(string(body), qt.Equals, "ok")
			c.Assert(<-served, qt.IsNil)
		})
	}
}

// serveWithCut reads the head of a request, loses the network for a while, and answers 4 s after the head.
func serveWithCut(ln net.Listener, body int, before, cut time.Duration) error {
	const answerTime = 4 * time.Second
	conn, err := ln.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	start := time.Now()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	early, err := io.CopyN(io.Discard, req.Body, int64(body/2))
	if err != nil {
		return err
	}
	time.Sleep(before)
	if err := setDropping(conn.(*net.TCPConn), true); err != nil {
		return err
	}
	time.Sleep(cut)
	if err := setDropping(conn.(*net.TCPConn), false); err != nil {
		return err
	}
	if n, err := io.Copy(io.Discard, req.Body); err != nil || early+n != int64(body) {
		return fmt.Errorf("%d of %d bytes read: %w", early+n, body, err)
	}
	time.Sleep(time.Until(start.Add(answerTime)))
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err
}
