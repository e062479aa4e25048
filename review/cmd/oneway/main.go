// Command oneway checks what callers get whose connection to an entry host is cut one way: what they send no longer arrives,
// what they are sent does.
package main

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/kit"
)

const (
	hosts    = 2
	requests = 8 // of each kind
	// cutAfter is the time from a request to the cut. Servers need longer than this for an answer.
	cutAfter = 30 * time.Millisecond
)

func main() { kit.Run(play) }

// proxy forwards a connection of a caller to a host. With cut, it closes the direction to the host some time after the
// caller has sent a request, and goes on forwarding what the host sends.
func proxy(target string, cut bool) (net.Conn, error) {
	host, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.44.1:0")
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	caller, err := net.DialTimeout("tcp", ln.Addr().String(), time.Second)
	if err != nil {
		return nil, err
	}
	inner, err := ln.Accept()
	if err != nil {
		return nil, err
	}
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := inner.Read(buf)
			if n > 0 {
				_, _ = host.Write(buf[:n])
			}
			if err != nil {
				_ = host.Close()
				return
			}
			if cut {
				time.Sleep(cutAfter)
				_ = host.(*net.TCPConn).CloseWrite()
				_, _ = io.Copy(io.Discard, inner)
				_ = host.Close()
				return
			}
		}
	}()
	go func() {
		_, _ = io.Copy(inner, host)
		_ = inner.Close()
	}()
	return caller, nil
}

func play(s *kit.Scene) int {
	s.KeepHosts(hosts)
	s.Store.Put("op/config", kit.Config(10, []string{kit.Key}, kit.Lookup, kit.Payment, kit.Query, kit.Archive))
	for service, n := range map[string]int{kit.Lookup.Service: 3, kit.Query.Service: 6} {
		if err := s.AddServers(service, n); err != nil {
			s.Record.Say("%v", err)
			return kit.NotRun
		}
	}
	if err := s.Start(); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	mixed, served, failed := 0, 0, 0
	for n := range requests {
		for _, q := range []kit.Request{
			{Method: "GET", Path: "/lookup/2f", DeadlineMS: 4000},
			{Method: "POST", Path: "/payment/2f", DeadlineMS: 4000, Body: "{}"},
			{Method: "POST", Path: "/query/2f", DeadlineMS: 10000, Body: "{}", Header: []string{"Model: m", "Token-Usage: 4960,1600"}},
		} {
			h := s.Hosts[n%hosts]
			q.ID, q.Key = fmt.Sprintf("%s-%d", q.Path[1:6], n), kit.Key
			c, err := proxy(h.Callers(), s.Trouble)
			if err != nil {
				s.Record.Say("%v", err)
				return kit.NotRun
			}
			res := kit.NewConn(c).Do(q, time.Duration(q.DeadlineMS)*time.Millisecond)
			_ = c.Close()
			s.Record.Say("caller: %s to %s: %s; run by %v", q.ID, h.Name, res, s.Record.Runs(q.ID))
			switch {
			case res.Status/100 == 2 && res.Complete && res.Seal == "":
				mixed++
			case res.Status/100 == 2 && res.Complete:
				served++
			default:
				failed++
			}
		}
	}
	s.Record.Say("%d served, %d failed or without an answer, %d successes without a server's seal", served, failed, mixed)
	if mixed > 0 {
		s.Record.Say("MIXED is broken")
		return kit.Broken
	}
	return kit.Held
}
