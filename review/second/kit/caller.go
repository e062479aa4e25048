package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Result is how a request of a caller ended.
type Result struct {
	Status   int  // zero without a head
	Complete bool // the whole answer has come
	Kept     bool // the connection had served a request before
	Bytes    int64
	Err      error
}

// Caller sends requests one after the other on a connection that it keeps.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
	served int
	// Pause is how long the caller stops reading in the middle of an answer, after its first bytes.
	Pause time.Duration
	Key   string // the tenant's key if empty
}

// Connect opens a connection, within the second that callers allow.
func Connect(address string) (*Caller, error) { return connect(address, 0) }

// ConnectSmall is Connect with a receive buffer of the given size in bytes.
func ConnectSmall(address string, buffer int) (*Caller, error) { return connect(address, buffer) }

func connect(address string, buffer int) (*Caller, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) (err error) {
		if buffer == 0 {
			return nil
		}
		_ = c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
		return err
	}}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: conn, reader: bufio.NewReaderSize(conn, readerBytes)}, nil
}

// readerBytes is what a caller takes from its connection at a time.
const readerBytes = 512

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Send sends a request and reads its answer. After an error or an answer with Connection: close, reuse is false.
func (c *Caller) Send(method, path, attempt string, header map[string]string, body string, limit time.Duration) (res Result, reuse bool) {
	res.Kept = c.served > 0
	key := c.Key
	if key == "" {
		key = Key
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, path, RouteHost, attempt, limit.Milliseconds(), key)
	for k, v := range header {
		text += k + ": " + v + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		res.Err = err
		return res, false
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		res.Err = err
		return res, false
	}
	defer resp.Body.Close()
	res.Status = resp.StatusCode
	if c.Pause > 0 {
		_, _ = io.ReadFull(resp.Body, make([]byte, 1)) // an error shows below
		time.Sleep(c.Pause)
	}
	if res.Bytes, err = io.Copy(io.Discard, resp.Body); err != nil {
		res.Err = err
		return res, false
	}
	res.Complete = true
	c.served++
	return res, !resp.Close
}
