package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// directClient opens a new connection for each request.
var directClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// routeHost is the host name of all routes.
const routeHost = "ledger.example"

// answer is the end of a request as its consumer saw it.
type answer struct {
	id, path string
	host     string
	sent     time.Time
	ended    time.Time
	status   int // 0 without an answer
	sealed   bool
	body     string
	err      error
}

// load sends requests at an even rate to the hosts in turn, each on a connection of its own.
type load struct {
	hosts   []*host
	key     string
	log     *record
	stop    context.CancelFunc
	wg      sync.WaitGroup
	n       atomic.Int64
	mu      sync.Mutex
	answers []answer
}

// startLoad sends requests with a key to the hosts in turn, with an interval between two of them. Their ids begin with the prefix.
func startLoad(s *system, prefix, key string, interval time.Duration, path, method string) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{hosts: s.hosts, key: key, log: s.log, stop: cancel}
	l.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			n := int(l.n.Add(1))
			h := l.hosts[n%len(l.hosts)]
			l.wg.Go(func() { l.send(h, fmt.Sprintf("%s%06d", prefix, n), method, path) })
		}
	})
	return l
}

const deadline = 4 * time.Second

func (l *load) send(h *host, id, method, path string) {
	x := answer{id: id, path: path, host: h.name, sent: time.Now()}
	l.log.line("consumer sends id=%s %s %s to %s", id, method, path, h.name)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	body := ""
	if method == http.MethodPost {
		body = `{"lot":17}`
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.frontend()+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Host = routeHost
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if l.key != "" {
		req.Header.Set("Authorization", "Token "+l.key)
	}
	if strings.HasPrefix(path, "/ask/") {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Usage", fmt.Sprintf("400,%d", engineTokens))
	}
	resp, err := directClient.Do(req)
	if err == nil {
		x.status, x.sealed = resp.StatusCode, resp.Header.Get("Server-Seal") != ""
		var b []byte
		b, err = io.ReadAll(resp.Body)
		x.body = string(b)
		_ = resp.Body.Close()
	}
	x.ended, x.err = time.Now(), err
	l.log.line("consumer gets id=%s status=%d sealed=%t after %d ms err=%v", id, x.status, x.sealed, x.ended.Sub(x.sent).Milliseconds(), err)
	l.mu.Lock()
	l.answers = append(l.answers, x)
	l.mu.Unlock()
}

// end stops the load and waits for the answers.
func (l *load) end() []answer {
	l.stop()
	l.wg.Wait()
	return l.answers
}
