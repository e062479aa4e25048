// Package hostile attacks the processes that callers reach with clients that keep to no limit. The tests check nothing that
// depends on speed: the process lives, its memory and descriptors stay under the limits of its machine, and an ordinary request
// is answered while the hostile connections are still open.
package hostile

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemaryhill/rosemaryhill/core/config"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
	"github.com/rosemaryhill/rosemaryhill/lab/internal/hostprocess"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/platform/standin"
	"github.com/rosemaryhill/rosemaryhill/standin/engine"
)

// portFlag is below the ports of all other tests.
var portFlag = flag.Int("first.port", 9_700, "first port of the host and the stand-ins")

const (
	// memoryMB is the memory limit of the machine, and memoryShare the part of it that the process may take: the rest is
	// for socket buffers.
	memoryMB    = 96
	memoryShare = 0.9
	// startTimeout bounds the time until the process answers its first request, and answerTimeout the one until it answers
	// an ordinary request after an attack. The longest timeout of a connection, 60 s for an idle one, is well below.
	startTimeout  = 30 * time.Second
	answerTimeout = 120 * time.Second
	sampleTime    = 20 * time.Millisecond
)

// target is a port that callers reach. start starts its process.
type target struct {
	name  string
	start func(*testing.T, string, crowd) *attacked
}

// attacked is a running process, the attacked address, and an ordinary request to it.
type attacked struct {
	*hostprocess.Process
	address  string
	ordinary func() bool
}

var targets = []target{
	{"callers", func(t *testing.T, program string, x crowd) *attacked {
		p := startEntry(t, program, x)
		var caller standin.Caller
		return &attacked{p, p.Settings.Entry.HTTPAddress, func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			return caller.Call(ctx, p.Settings.Entry.HTTPAddress, standin.SafePath).Served()
		}}
	}},
	{"directory", func(t *testing.T, program string, x crowd) *attacked {
		p := startEntry(t, program, x)
		return &attacked{p, p.Settings.Entry.DirectoryAddress, get(p.Settings.Entry.DirectoryAddress, standin.DirectoryPath)}
	}},
	{"readiness", func(t *testing.T, program string, x crowd) *attacked {
		p := startEntry(t, program, x)
		return &attacked{p, p.Settings.Entry.ReadyAddress, get(p.Settings.Entry.ReadyAddress, standin.ReadyPath)}
	}},
	{"metrics", func(t *testing.T, program string, x crowd) *attacked {
		p := startEntry(t, program, x)
		address := fmt.Sprintf("127.0.7.1:%d", p.Settings.Entry.AdminPort)
		return &attacked{p, address, get(address, "/metrics")}
	}},
	{"gateway", func(t *testing.T, program string, x crowd) *attacked {
		p := startGateway(t, program, x)
		return &attacked{p, p.Settings.Gateway.HTTPAddress, get(p.Settings.Gateway.HTTPAddress, "/v1/addresses")}
	}},
}

// get returns an ordinary request on a new connection.
func get(address, path string) func() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	return func() bool {
		resp, err := client.Get("http://" + address + path)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}
}

// startEntry starts an entry host with a plain server.
func startEntry(t *testing.T, program string, x crowd) *hostprocess.Process {
	c := qt.New(t)
	fleet, err := standin.NewFleet(*portFlag, 1, nil)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = fleet.Close() })
	_, err = fleet.Add("ledger")
	c.Assert(err, qt.IsNil)
	fleet.Configure(1, 4*time.Second)
	s := fleet.HostSettings(1, *portFlag+2)
	s.Entry.Peers, s.Entry.AdminPort, s.Entry.MemoryMB, s.Entry.MaxDescriptors = nil, *portFlag+8, memoryMB, x.descriptors
	return startProcess(c, program, settings.RoleEntry, s)
}

// startGateway starts a gateway in place of the one of a small system, whose other parts run in the process of the test.
func startGateway(t *testing.T, program string, x crowd) *hostprocess.Process {
	c := qt.New(t)
	plan, err := cluster.NewPlan(cluster.Spec{
		Region: "r", Hosts: []cluster.HostSpec{{ID: "h1", Zone: "z1"}}, Model: "m", MaxPromptTokens: 1000,
		Groups: []cluster.GroupSpec{{Name: "g", Zone: "z1", Engines: 1, Engine: engine.Config{MemoryTokens: 5000}}},
		Teams:  map[ident.Team]config.Team{"t": {RatePerS: 5, TokensPerS: 100_000}},
	})
	c.Assert(err, qt.IsNil)
	system, err := cluster.Start(plan, nil)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = system.Close() })
	c.Assert(system.Kill("h1/gateway"), qt.IsNil)
	s := plan.Settings["h1"]
	s.Gateway.MemoryMB, s.Gateway.MaxDescriptors = memoryMB, x.descriptors
	return startProcess(c, program, settings.RoleGateway, s)
}

func startProcess(c *qt.C, program string, role settings.Role, s settings.Settings) *hostprocess.Process {
	p := &hostprocess.Process{Settings: s, Program: program, Role: role, File: filepath.Join(c.TempDir(), "settings.toml")}
	c.Assert(p.WriteSettings(), qt.IsNil)
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(p.Kill)
	return p
}

// Guards against clients that make a process exit, exceed the memory or the descriptors of its machine, or answer nobody else.
// Each subtest attacks one port with one kind of clients.
func TestHostileCallers(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rosemaryhill")
	out, err := exec.Command("go", "build", "-o", program, "github.com/rosemaryhill/rosemaryhill/cmd/rosemaryhill").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	for _, x := range crowds {
		for _, to := range targets {
			t.Run(x.name+" at "+to.name, func(t *testing.T) {
				c := qt.New(t)
				a := to.start(t, program, x)
				c.Assert(eventually(a.ordinary, startTimeout), qt.IsTrue, qt.Commentf("the process does not start"))
				calmKB, calmOpen := a.memory(c), a.descriptors()
				stop := a.sampleDescriptors()
				leave := x.run(a.address)
				defer leave()
				answered := eventually(a.ordinary, answerTimeout)
				most := stop()
				peakKB := a.memory(c)
				t.Logf("memory %d kB, %d kB before; descriptors %d, %d before", peakKB, calmKB, most, calmOpen)
				select {
				case err := <-a.Exited:
					c.Fatalf("the process ended: %v", err)
				default:
				}
				c.Check(float64(peakKB) <= memoryShare*memoryMB*1024, qt.IsTrue, qt.Commentf("memory %d kB", peakKB))
				c.Check(int64(most) <= x.descriptors, qt.IsTrue, qt.Commentf("%d descriptors", most))
				c.Check(answered, qt.IsTrue, qt.Commentf("an ordinary request is not answered"))
			})
		}
	}
}

// eventually repeats a request until it is answered.
func eventually(request func() bool, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if request() {
			return true
		}
	}
	return false
}

// memory returns the largest resident size that the process has had, in kB, zero if it has ended.
func (a *attacked) memory(c *qt.C) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.PID()))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	if !found {
		return 0
	}
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	c.Assert(err, qt.IsNil)
	return kb
}

func (a *attacked) descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", a.PID())) // empty once the process has ended
	return len(list)
}

// sampleDescriptors counts the open descriptors until the returned function is called, which returns the highest count.
func (a *attacked) sampleDescriptors() (stop func() int) {
	done, most := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			highest = max(highest, a.descriptors())
			select {
			case <-done:
				most <- max(highest, a.descriptors())
				return
			case <-time.After(sampleTime):
			}
		}
	}()
	return func() int {
		close(done)
		return <-most
	}
}
