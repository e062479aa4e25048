// Command logstall checks that entry hosts answer callers while the reader of their logs stands still.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rosemaryhill/rosemaryhill/review/kit"
)

const (
	hosts      = 2
	callers    = 8                      // of each host
	pause      = 150 * time.Millisecond // of a caller between two requests
	calm       = 3 * time.Second        // of traffic before the disruption
	stall      = 30 * time.Second       // for which the reader of the logs stands still
	afterwards = 4 * time.Second        // of traffic after it
	// pipeSize is the usual size of a pipe in bytes, and setPipeSize the command that sets it (F_SETPIPE_SZ).
	pipeSize, setPipeSize = 64 << 10, 1031
	// answerSlack is the time after a route's timeout by which a final answer is due.
	answerSlack = 500 * time.Millisecond
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "collect" {
		_, _ = io.Copy(io.Discard, os.Stdin) // until the writer has ended
		return
	}
	kit.Run(play)
}

// collector is a process that reads the log of a host from a pipe.
func collector() (*exec.Cmd, *os.File, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, nil, err
	}
	if _, _, e := syscall.Syscall(syscall.SYS_FCNTL, w.Fd(), setPipeSize, pipeSize); e != 0 {
		return nil, nil, e
	}
	c := exec.Command(os.Args[0], "collect")
	c.Stdin = r
	if err := c.Start(); err != nil {
		return nil, nil, err
	}
	_ = r.Close()
	return c, w, nil
}

func play(s *kit.Scene) int {
	s.KeepHosts(hosts)
	s.Store.Put("op/config", kit.Config(10, []string{kit.Key}, kit.Lookup, kit.Payment, kit.Query, kit.Archive))
	if err := s.AddServers(kit.Lookup.Service, 3); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	var readers []*exec.Cmd
	s.OnExit(func() {
		for _, c := range readers {
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	})
	for _, h := range s.Hosts {
		c, w, err := collector()
		if err != nil {
			s.Record.Say("%v", err)
			return kit.NotRun
		}
		h.Output = w
		readers = append(readers, c)
	}
	if err := s.Start(); err != nil {
		s.Record.Say("%v", err)
		return kit.NotRun
	}
	var due, late, answered, unanswered, ran atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(calm + stall + afterwards)
	for i, h := range s.Hosts {
		for n := range callers {
			wg.Go(func() {
				for k := 0; time.Now().Before(end); k++ {
					q := kit.Request{ID: fmt.Sprintf("%d-%d-%d", i, n, k), Method: "GET", Path: "/lookup/2f", Key: kit.Key, DeadlineMS: 4000}
					if n%2 == 1 {
						q.Method, q.Path, q.Body = "POST", "/payment/2f", "{}"
					}
					timeout := time.Duration(kit.Lookup.TimeoutMS) * time.Millisecond
					res := kit.Call(h.Callers(), q, time.Duration(q.DeadlineMS)*time.Millisecond)
					s.Record.Write("caller: %s %s to %s: %s", q.ID, q.Path, h.Name, res)
					if res.Sent && (res.Status == 0 && res.IsTimeout() || res.Took >= timeout) {
						due.Add(1)
						if res.Status == 0 || res.Took > timeout+answerSlack {
							late.Add(1)
						}
					}
					if res.Status != 0 {
						answered.Add(1)
					} else {
						unanswered.Add(1)
						if len(s.Record.Runs(q.ID)) > 0 {
							ran.Add(1)
						}
					}
					time.Sleep(pause)
				}
			})
		}
	}
	time.Sleep(calm)
	s.Record.Say("before: %d answered, %d without an answer", answered.Load(), unanswered.Load())
	if s.Trouble {
		for _, c := range readers {
			_ = c.Process.Signal(syscall.SIGSTOP)
		}
		s.Record.Say("the readers of the logs stand still")
	}
	for range 3 {
		time.Sleep(stall / 3)
		for _, h := range s.Hosts {
			s.Record.Say("%s: readiness check good: %t", h.Name, h.IsReady())
		}
	}
	if s.Trouble {
		for _, c := range readers {
			_ = c.Process.Signal(syscall.SIGCONT)
		}
		s.Record.Say("the readers of the logs go on")
	}
	wg.Wait()
	s.Record.Say("all: %d answered, %d without an answer, of which %d ran at a server", answered.Load(), unanswered.Load(), ran.Load())
	s.Record.Say("unanswered at the route's timeout: %d; of these without an answer %d ms later: %d", due.Load(), answerSlack.Milliseconds(), late.Load())
	if late.Load() >= 8 && 2*late.Load() > due.Load() {
		s.Record.Say("CONFIG is broken")
		return kit.Broken
	}
	return kit.Held
}
