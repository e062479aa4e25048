package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rosemaryhill/rosemaryhill/core/platformapi"
	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
)

// processes is a Fleet that runs each component as an operating system process. Only the test harness
// starts processes.
type processes struct {
	plan *cluster.Plan
	dir  string

	mu       sync.Mutex
	children map[string]*childProcess
}

type childProcess struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
	err  error // result of Wait, valid once done is closed
}

func startProcesses(plan *cluster.Plan, dir string) (Fleet, error) {
	f := &processes{plan: plan, dir: dir, children: map[string]*childProcess{}}
	if err := f.writeFiles(); err != nil {
		return nil, err
	}
	names := []string{"platform", "hostlist"}
	for _, e := range plan.Engines {
		names = append(names, e.ID)
	}
	for _, s := range plan.ServiceServers {
		names = append(names, s.ID)
	}
	for _, h := range plan.Hosts {
		names = append(names, h.ID+"/dispatcher", h.ID+"/gateway")
	}
	for _, name := range names {
		if err := f.Start(name); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

func (f *processes) writeFiles() error {
	body, err := f.plan.Snapshot()
	if err != nil {
		return err
	}
	hosts, err := json.Marshal(platformapi.Hosts{Version: 1, Hosts: f.plan.HostList()})
	if err != nil {
		return err
	}
	err = errors.Join(os.WriteFile(f.path("config.json"), body, 0o600), os.WriteFile(f.path("hosts.json"), hosts, 0o600))
	for host, s := range f.plan.Settings {
		var text bytes.Buffer
		err = errors.Join(err, toml.NewEncoder(&text).Encode(s), os.WriteFile(f.path(host+".toml"), text.Bytes(), 0o600))
	}
	return err
}

func (f *processes) path(name string) string { return filepath.Join(f.dir, name) }

func (f *processes) command(name string) (*exec.Cmd, error) {
	standin := func(kind, address string, args ...string) (*exec.Cmd, error) {
		return exec.Command(filepath.Join(binDir, "rosectl"), append([]string{"standin", kind, "--listen", address}, args...)...), nil
	}
	switch name {
	case "platform":
		return standin("platform", f.plan.PlatformAddress, "--snapshot", f.path("config.json"))
	case "hostlist":
		return standin("hostlist", f.plan.HostListAddress, "--hosts", f.path("hosts.json"), "--lag", f.plan.HostListLag.String())
	}
	for _, e := range f.plan.Engines {
		if e.ID == name {
			return standin("engine", e.Address, "--id", e.ID, "--model", e.Model, "--model_version", e.Version,
				"--memory_tokens", fmt.Sprint(e.MemoryTokens), "--prefill_tokens_per_s", fmt.Sprint(e.PrefillTokensPerS),
				"--decode_tokens_per_s", fmt.Sprint(e.DecodeTokensPerS))
		}
	}
	for _, s := range f.plan.ServiceServers {
		if s.ID == name {
			return standin("service", s.Address, "--delay", s.Service.Delay.String())
		}
	}
	host, role, err := splitRole(name)
	if err != nil {
		return nil, err
	}
	return exec.Command(filepath.Join(binDir, "rosemaryhill"), string(role), "--settings", f.path(host+".toml")), nil
}

// Start implements Fleet.
func (f *processes) Start(name string) error {
	cmd, err := f.command(name)
	if err != nil {
		return err
	}
	p := &childProcess{cmd: cmd, log: f.path(strings.ReplaceAll(name, "/", "-") + ".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.children[name] = p
	return nil
}

func (f *processes) child(name string) (*childProcess, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.children[name]
	if p == nil {
		return nil, fmt.Errorf("%q is not running", name)
	}
	return p, nil
}

func (f *processes) signal(name string, s syscall.Signal) error {
	p, err := f.child(name)
	if err != nil {
		return err
	}
	return p.cmd.Process.Signal(s)
}

// Kill implements Fleet. It waits until the process has ended: until then the process holds its ports, and a
// component that is started again at once could not bind them.
func (f *processes) Kill(name string) error {
	p, err := f.child(name)
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Stop implements Fleet.
func (f *processes) Stop(name string) error { return f.signal(name, syscall.SIGTERM) }

// Pause implements Fleet.
func (f *processes) Pause(name string, d time.Duration) error {
	if err := f.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.AfterFunc(d, func() { _ = f.signal(name, syscall.SIGCONT) }) // fails only if the process has ended, which needs no signal
	return nil
}

// WaitExit implements Fleet.
func (f *processes) WaitExit(name string, limit time.Duration) error {
	p, err := f.child(name)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
	case <-time.After(limit):
		return fmt.Errorf("%s is still running", name)
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w", name, p.err)
	}
	return nil
}

// loggedBytes is the length of the end of a log that Logs returns.
const loggedBytes = 1500

// Logs implements logged.
func (f *processes) Logs() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out strings.Builder
	for name, p := range f.children {
		text, err := os.ReadFile(p.log)
		fmt.Fprintf(&out, "%s: log %v\n%s\n", name, err, text[max(0, len(text)-loggedBytes):])
		select {
		case <-p.done:
			fmt.Fprintf(&out, "%s has ended: %v\n", name, p.err)
		default:
		}
	}
	return out.String()
}

// Close implements Fleet. It doesn't report the exit errors of the killed processes.
func (f *processes) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.children {
		_ = p.cmd.Process.Kill() // fails only if the process has ended
	}
	for _, p := range f.children {
		<-p.done
	}
	return nil
}
