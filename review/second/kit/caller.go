package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Result is how a request of a caller ended.
type Result struct {
	Status   int  // zero without a head
	Complete bool // the whole answer has come
	Kept     bool // the connection had served a request before
	Err      error
}

// Caller sends requests one after the other on a connection that it keeps.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
	served int
}

// Connect opens a connection, within the second that callers allow.
func Connect(address string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Send sends a request and reads its answer. After an error or an answer with Connection: close, reuse is false.
func (c *Caller) Send(method, path, attempt string, header map[string]string, body string, limit time.Duration) (res Result, reuse bool) {
	res.Kept = c.served > 0
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, path, RouteHost, attempt, limit.Milliseconds(), Key)
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
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		res.Err = err
		return res, false
	}
	res.Complete = true
	c.served++
	return res, !resp.Close
}
