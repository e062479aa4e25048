package kit

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// RouteHost is the host name of all routes.
const RouteHost = "ficu95.example"

// Key is the API key of the tenant that the configurations of the scripts name.
const Key = "n2ctnfzs989anu6wsjnb"

// Tenant is the name of that tenant.
const Tenant = "hule930"

// Request is a request of a caller.
type Request struct {
	ID, Method, Path, Key string
	DeadlineMS            int
	Body                  string
	Header                []string // further lines
}

// Text returns the request as it is sent.
func (q Request) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.Method, q.Path, RouteHost, q.ID, q.DeadlineMS)
	if q.Key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", q.Key)
	}
	for _, line := range q.Header {
		b.WriteString(line + "\r\n")
	}
	if q.Method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	return b.String()
}

// Result is what a caller got for a request.
type Result struct {
	Sent     bool // the request was sent whole
	Status   int  // 0 without an answer
	Seal     string
	Body     string
	Events   int
	Complete bool // the answer came to its end
	Closes   bool // the answer says that the connection closes
	Err      error
	Took     time.Duration
}

// String returns the result for the record.
func (r Result) String() string {
	s := fmt.Sprintf("status %d, seal %t, events %d, complete %t, after %d ms", r.Status, r.Seal != "", r.Events, r.Complete, r.Took.Milliseconds())
	if r.Err != nil {
		s += ": " + r.Err.Error()
	}
	return s
}

// Conn is a connection of a caller, which it keeps for several requests.
type Conn struct {
	net.Conn
	r *bufio.Reader
}

// Dial connects to an entry host. Callers allow one second for this.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// NewConn returns a caller's connection.
func NewConn(c net.Conn) *Conn { return &Conn{c, bufio.NewReader(c)} }

// Do sends a request and reads its answer within the given time.
func (c *Conn) Do(q Request, within time.Duration) (res Result) {
	began := time.Now()
	defer func() { res.Took = time.Since(began) }()
	_ = c.SetDeadline(began.Add(within))
	if _, res.Err = io.WriteString(c, q.Text()); res.Err != nil {
		return res
	}
	res.Sent = true
	return c.ReadAnswer(res)
}

// ReadAnswer reads the answer to a request that has been sent.
func (c *Conn) ReadAnswer(res Result) Result {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		res.Err = err
		return res
	}
	body, err := io.ReadAll(resp.Body)
	res.Status, res.Seal, res.Body, res.Closes = resp.StatusCode, resp.Header.Get("Server-Seal"), string(body), resp.Close
	res.Events = strings.Count(res.Body, "\n\n")
	res.Complete, res.Err = err == nil, err
	return res
}

// Call sends a request on a connection of its own.
func Call(address string, q Request, within time.Duration) Result {
	c, err := Dial(address)
	if err != nil {
		return Result{Err: err}
	}
	defer c.Close()
	return c.Do(q, within)
}

// IsTimeout reports whether a result failed because no answer came in time.
func (r Result) IsTimeout() bool {
	var ne net.Error
	return errors.As(r.Err, &ne) && ne.Timeout()
}

// Resolve asks an entry host where callers shall connect. It returns nothing if the host gives no addresses.
func Resolve(directory string) (addresses []string, ttl time.Duration) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + directory + "/api/resolve?name=" + RouteHost + "&region=be-central&zone=zone-a")
	if err != nil {
		return nil, 0
	}
	defer resp.Body.Close()
	var v struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&v) != nil {
		return nil, 0
	}
	return v.Addresses, time.Duration(v.TTL * float64(time.Second))
}
