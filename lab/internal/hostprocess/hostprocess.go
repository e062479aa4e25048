// Package hostprocess runs entry hosts and gateways as processes of their own.
package hostprocess

import (
	"bytes"
	"cmp"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// Process is an entry host, or another role, in a separate process. Signal and Starting may be called while another goroutine starts the
// process or waits for its end.
type Process struct {
	Settings settings.Settings
	Program  string        // path of the rosemaryhill binary
	Role     settings.Role // empty stands for entry
	File     string        // path of the settings; the log is beside it
	Started  time.Time
	Exited   chan error // receives the result of the process once

	mu        sync.Mutex // guards the fields below
	cmd       *exec.Cmd
	logOffset int64 // size of the log when the process started
}

// LogFile returns the path of the log, which all processes of a host append to.
func (p *Process) LogFile() string { return p.File + ".log" }

// WriteSettings replaces the settings file in one step.
func (p *Process) WriteSettings() error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(p.Settings); err != nil {
		return err
	}
	next := p.File + ".next"
	if err := os.WriteFile(next, text.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.File)
}

// Start starts the process with the settings file.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.logOffset, err = log.Seek(0, io.SeekEnd); err != nil {
		return err
	}
	cmd, ended := exec.Command(p.Program, string(cmp.Or(p.Role, settings.RoleEntry)), "--settings", p.File), make(chan error, 1)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.Exited, p.Started = cmd, ended, time.Now()
	go func() { ended <- cmd.Wait() }()
	return nil
}

// Starting reports whether the process may not handle signals yet: it installs the handlers before its first log line.
func (p *Process) Starting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	info, err := os.Stat(p.LogFile())
	return err == nil && info.Size() == p.logOffset
}

// PID returns the process ID.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal. It has no effect if the process has exited.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s)
}

// Terminate sends SIGTERM, and SIGKILL if the process is still running after the given time, and returns its result.
func (p *Process) Terminate(within time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case err := <-p.Exited:
		return err
	case <-time.After(within):
		p.Signal(syscall.SIGKILL)
		return <-p.Exited
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	if p.Exited == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.Exited
	p.Exited = nil
}
