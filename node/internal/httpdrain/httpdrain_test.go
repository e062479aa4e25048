package httpdrain

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

// Guards against a stop that cuts off requests which have just arrived: those on connections in the backlog, and those
// that the server has just read.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	const callers = 30
	c := qt.New(t)
	for range 10 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		listener, connections := NewListener(ln.(*net.TCPListener)), NewConnections()
		server := &http.Server{ConnState: connections.Observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(5 * time.Millisecond)
			w.Header().Set("Connection", "close")
		})}
		served := make(chan error, 1)
		go func() { served <- listener.Serve(server) }()
		var answered, cut atomic.Int64
		var ended atomic.Bool
		var wg sync.WaitGroup
		for range callers {
			wg.Go(func() {
				for !ended.Load() {
					if sent, ok := call(ln.Addr().String()); ok {
						answered.Add(1)
					} else if sent {
						cut.Add(1)
					}
				}
			})
		}
		for end := time.Now().Add(5 * time.Second); answered.Load() <= callers && time.Now().Before(end); {
			time.Sleep(30 * time.Millisecond)
		}
		ended.Store(true) // callers finish the request that they are about to send
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		listener.Drain(ctx)
		connections.Wait(ctx)
		c.Assert(server.Shutdown(ctx), qt.IsNil)
		cancel()
		wg.Wait()
		c.Assert(<-served, qt.IsNil)
		c.Assert(cut.Load(), qt.Equals, int64(0), qt.Commentf("%d answered", answered.Load()))
		c.Assert(answered.Load() > callers, qt.IsTrue)
	}
}

// call sends a request on a new connection. sent is false if the connection was refused.
func call(address string) (sent, answered bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second)) // an error shows in the calls below
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return true, false
	}
	return true, resp.Body.Close() == nil
}

// Guards against a connection in the backlog that is reset because the runtime notices the end of the wait for it before
// it notices the connection, as on a busy machine.
func TestBusyRuntimeEmptiesBacklog(t *testing.T) {
	c := qt.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	listener := NewListener(ln.(*net.TCPListener))
	accepted := make(chan int)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				accepted <- n
				return
			}
			_ = conn.Close()
		}
	}()
	time.Sleep(20 * time.Millisecond) // Accept waits for a connection
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	c.Assert(err, qt.IsNil)
	defer unix.Close(socket)
	c.Assert(listener.Close(), qt.IsNil)
	// A system call that blocks and a loop keep the runtime from polling the network.
	c.Assert(unix.Connect(socket, &unix.SockaddrInet4{Port: ln.Addr().(*net.TCPAddr).Port, Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	for busy := time.Now().Add(8 * time.Millisecond); time.Now().Before(busy); {
	}
	c.Assert(<-accepted, qt.Equals, 1)
}
