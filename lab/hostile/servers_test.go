package hostile

import (
	"context"
	"flag"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// enginePortFlag is below the ports of all other tests.
var enginePortFlag = flag.Int("engines.port", 9_720, "first port of the host and its engines")

// Guards against servers whose answers hold bytes that never become one, and so make a host exceed the memory of its machine: in a
// head, in an event that does not end, before the first event or after one, and in comments.
func TestEndlessAnswersFitTheHost(t *testing.T) {
	// An engine takes 16 streams. In the time of the route it sends nearly as much as an event or a head may have.
	const hostMB, engines, callers, pieces = 184, 50, 800, 31
	const timeout = 3 * time.Second
	program := filepath.Join(t.TempDir(), "rosemaryhill")
	out, err := exec.Command("go", "build", "-o", program, "github.com/rosemaryhill/rosemaryhill/cmd/rosemaryhill").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	head := standin.OKHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	begun := standin.Chunk("id: 1\ndata: ")
	text, comments := standin.Chunk(strings.Repeat("x", 4<<10)), standin.Chunk(strings.Repeat(": alive\n\n", 455))
	for _, shape := range []standin.AnswerShape{
		{Name: "line of a head", Script: standin.Endless(standin.OKHead+"X-Filler: ", strings.Repeat("x", 2000), timeout/pieces)},
		{Name: "fields of a head", Script: standin.Endless(standin.OKHead, strings.Repeat("X-F: y\r\n", 250), timeout/pieces)},
		{Name: "status line", Script: standin.Endless("HTTP/1.1 200 ", strings.Repeat("x", 2000), timeout/pieces)},
		{Name: "event", Script: standin.Endless(head+begun, text, timeout/pieces)},
		{Name: "comments", Script: standin.Endless(head, comments, timeout/pieces)},
		{Name: "event after an event", Script: standin.Endless(head+standin.Chunk(standin.Event(0))+begun, text, timeout/pieces)},
	} {
		t.Run(shape.Name, func(t *testing.T) {
			c := qt.New(t)
			fleet, err := standin.NewFleet(*enginePortFlag, 1, nil)
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = fleet.Close() })
			for range engines {
				_, err := fleet.AddRaw("models", shape.Script, false)
				c.Assert(err, qt.IsNil)
			}
			_, err = fleet.Add("ledger")
			c.Assert(err, qt.IsNil)
			fleet.Configure(1, timeout)
			s := fleet.HostSettings(1, *enginePortFlag+2)
			s.Entry.Peers, s.Entry.AdminPort, s.Entry.MemoryMB = nil, *enginePortFlag+8, hostMB
			a := &attacked{Process: startProcess(c, program, settings.RoleEntry, s)}
			var caller standin.Caller
			call := func(path string) standin.Result {
				ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
				defer cancel()
				return caller.Call(ctx, s.Entry.HTTPAddress, path)
			}
			ordinary := func() bool { return call(standin.SafePath).Served() }
			c.Assert(eventually(ordinary, startTimeout), qt.IsTrue, qt.Commentf("the process does not start"))
			calmKB := a.memory(c)
			var wg sync.WaitGroup
			for range callers {
				wg.Go(func() { call(standin.StreamPath) })
			}
			wg.Wait()
			peakKB := a.memory(c)
			t.Logf("memory %d kB, %d kB before", peakKB, calmKB)
			select {
			case err := <-a.Exited:
				c.Fatalf("the process ended: %v", err)
			default:
			}
			c.Check(float64(peakKB) <= memoryShare*hostMB*1024, qt.IsTrue, qt.Commentf("memory %d kB", peakKB))
			c.Check(ordinary(), qt.IsTrue, qt.Commentf("an ordinary request is not answered"))
		})
	}
}
