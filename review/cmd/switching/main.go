// Command switching checks that a request ends in time whose server answers with bytes that are no answer and do not end: a
// change of protocols that nobody has asked for.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/kit"
)

const (
	hosts   = 2
	callers = 8                      // of each host
	pause   = 150 * time.Millisecond // of a caller between two requests
	// servers and faultyServers are the numbers of servers and of those that spoil one in spoiltIn answers, for spell at a
	// time, spells times with gap between them.
	servers, faultyServers, spoiltIn = 5, 3, 20
	spell, gap, spells               = 5500 * time.Millisecond, 3 * time.Second, 3
	bytePause                        = 100 * time.Millisecond
	workTime                         = 60 * time.Millisecond
	afterwards                       = 5 * time.Second // after the traffic, when no caller waits any more
	// answerSlack is the time after a route's timeout by which a final answer is due.
	answerSlack = 500 * time.Millisecond
)

func main() { kit.Run(play) }

// server is a plain server, which spoils a part of its answers.
type server struct {
	scene  *kit.Scene
	id     string
	faulty atomic.Bool
	served atomic.Int64
	open   atomic.Int64 // connections with a spoilt answer that the host has not closed
}

func (x *server) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.scene.OnExit(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go x.serve(c)
		}
	}()
	return nil
}

// serve takes one request, since hosts send one on each connection.
func (x *server) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Attempt-Id")
	x.scene.Record.Ran(id, x.id, r.Header.Get("Tenant"), r.URL.Path)
	time.Sleep(workTime)
	if !x.faulty.Load() || x.served.Add(1)%spoiltIn != 0 {
		body := kit.Answer(id)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, id, len(body), body)
		return
	}
	x.open.Add(1)
	defer x.open.Add(-1)
	x.scene.Record.Write("server %s: answers %s with bytes that are no answer", x.id, id)
	fmt.Fprintf(c, "HTTP/1.1 101 Switching Protocols\r\nAttempt-Id: %s\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n", id)
	for {
		if _, err := c.Write([]byte{'x'}); err != nil {
			x.scene.Record.Write("server %s: the caller of %s has closed the connection", x.id, id)
			return
		}
		time.Sleep(bytePause)
	}
}

// spoil makes the first servers spoil answers, or ends that.
func spoil(all []*server, on bool) {
	for _, x := range all[:faultyServers] {
		x.faulty.Store(on)
	}
}

func play(s *kit.Scene) int {
	s.KeepHosts(hosts)
	s.Store.Put("op/config", kit.Config(10, []string{kit.Key}, kit.Lookup, kit.Payment, kit.Query, kit.Archive))
	var all []*server
	for n := range servers {
		x := &server{scene: s, id: fmt.Sprintf("i-6a%02x", n)}
		address := fmt.Sprintf("127.0.42.%d:%d", n+1, s.Hosts[0].Port)
		if err := x.listen(address); err != nil {
			s.Record.Say("%v", err)
			return kit.NotRun
		}
		s.Store.Put("servers/"+x.id, map[string]any{
			"service": kit.Payment.Service, "address": address, "zone": "zone-a", "version": 1, "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		all = append(all, x)
	}
	if err := s.Start(); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	var due, late, answered atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(spells * (spell + gap))
	wg.Go(func() {
		for range spells {
			time.Sleep(gap)
			spoil(all, s.Trouble)
			time.Sleep(spell)
			spoil(all, false)
		}
	})
	for i, h := range s.Hosts {
		for n := range callers {
			wg.Go(func() {
				for k := 0; time.Now().Before(end); k++ {
					q := kit.Request{ID: fmt.Sprintf("%d-%d-%d", i, n, k), Method: "POST", Path: "/payment/2f", Body: "{}", Key: kit.Key, DeadlineMS: 4000}
					timeout := time.Duration(kit.Payment.TimeoutMS) * time.Millisecond
					res := kit.Call(h.Callers(), q, time.Duration(q.DeadlineMS)*time.Millisecond)
					s.Record.Write("caller: %s to %s: %s; run by %v", q.ID, h.Name, res, s.Record.Runs(q.ID))
					if res.Status != 0 {
						answered.Add(1)
					}
					if res.Sent && (res.Status == 0 && res.IsTimeout() || res.Took >= timeout) {
						due.Add(1)
						if res.Status == 0 || res.Took > timeout+answerSlack {
							late.Add(1)
						}
					}
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	s.Record.Say("%d requests answered; unanswered at the route's timeout: %d; of these without an answer %d ms later: %d", answered.Load(), due.Load(), answerSlack.Milliseconds(), late.Load())
	time.Sleep(afterwards)
	held := int64(0)
	for _, x := range all {
		held += x.open.Load()
	}
	s.Record.Say("%d s after the last caller has left, hosts hold %d connections with such answers", int(afterwards.Seconds()), held)
	if late.Load() >= 8 && 2*late.Load() > due.Load() {
		s.Record.Say("CONFIG is broken")
		return kit.Broken
	}
	return kit.Held
}
