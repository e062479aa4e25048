package soak

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// host is an entry host in a process of its own. Its own faults do not overlap; those of several hosts do.
type host struct {
	set     settings.Settings
	program string
	file    string // of the settings
	caller  *link  // between callers and this host

	mu      sync.Mutex // held during a fault
	cmd     *exec.Cmd
	started time.Time
	ended   chan error // gets the result of the process once
	logged  int64      // size of the log at the start
	// reloadedEarly is set when a reload request came while the process was starting.
	reloadedEarly bool

	windows windows // times in which its answers may be late
}

const (
	// startTime is enough for a process to set up its handling of signals, on a busy machine too.
	startTime = time.Second
	// recoveryTime is the time after a fault of a host, or of its link to callers, in which its answers may
	// still be late.
	recoveryTime = time.Second
	// callerIP is the network of the proxies between callers and hosts.
	callerIP = "127.0.6."
)

// addHost starts entry host n.
func (r *run) addHost(n int) error {
	h := &host{program: r.cfg.Program, file: filepath.Join(r.cfg.Dir, fmt.Sprintf("h%d.toml", n))}
	h.set = r.fleet.HostSettings(n, r.cfg.Port+2)
	h.set.Entry.RetryRatio, h.set.Entry.RetrySlack = retryRatio, retrySlack
	if err := h.writeSettings(); err != nil {
		return err
	}
	l, err := r.addLink(fmt.Sprintf("%s%d:%d", callerIP, n, r.cfg.Port), h.set.Entry.HTTPAddress)
	if err != nil {
		return err
	}
	h.caller = l
	r.hosts = append(r.hosts, h)
	return h.start()
}

func (h *host) writeSettings() error {
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(h.set); err != nil {
		return err
	}
	next := h.file + ".next"
	if err := os.WriteFile(next, text.Bytes(), 0o600); err != nil {
		return err
	}
	return os.Rename(next, h.file)
}

func (h *host) start() error {
	log, err := os.OpenFile(h.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	if h.logged, err = log.Seek(0, io.SeekEnd); err != nil {
		return err
	}
	cmd, ended := exec.Command(h.program, "entry", "--settings", h.file), make(chan error, 1)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended, h.started, h.reloadedEarly = cmd, ended, time.Now(), false
	go func() { ended <- cmd.Wait() }()
	return nil
}

// restart starts the process again after a fault ended it.
func (h *host) restart(r *run) {
	if err := h.start(); err != nil {
		r.broken("host %s does not start again: %v", h.set.HostID, err)
	}
}

// restartEnded starts a process again that has ended by itself, as an init system does. A reload request in
// the first moments is the only cause that is no fault.
func (h *host) restartEnded(r *run) {
	select {
	case err := <-h.ended:
		if !h.endedByReload(err) {
			r.broken("host %s ended by itself after %v: %v", h.set.HostID, time.Since(h.started), err)
		}
		h.restart(r)
	default:
	}
}

// starting reports whether the process may not handle signals yet: it sets them up before its first log line.
func (h *host) starting() bool {
	info, err := os.Stat(h.file + ".log")
	return err == nil && info.Size() == h.logged
}

// endedByReload reports whether a reload request ended the process before it ignored the signal.
func (h *host) endedByReload(err error) bool {
	return h.reloadedEarly && err != nil && err.Error() == "signal: hangup"
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) } // it may have ended

// strike lets a fault of the process strike; what it does is not late for recoveryTime after it.
func (h *host) strike(r *run, fault func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.windows.open(recoveryTime)()
	h.restartEnded(r)
	fault()
}

// stop asks the process to end and kills it when it has not after the time that its settings give it.
func (h *host) stop(r *run) {
	starting := h.starting()
	h.signal(syscall.SIGTERM)
	var err error
	select {
	case err = <-h.ended:
	case <-time.After(time.Duration(h.set.Entry.ShutdownMS) * time.Millisecond):
		h.signal(syscall.SIGKILL)
		err = <-h.ended
	}
	early := h.endedByReload(err) || (starting && err != nil && err.Error() == "signal: terminated")
	if err != nil && !early {
		r.broken("host %s did not stop in order: %v", h.set.HostID, err)
	}
}

// kill ends the process at once.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.ended
	h.cmd = nil
}

// windows are spans of time.
type windows struct {
	mu   sync.Mutex
	list [][2]time.Time
}

// open begins a window; the returned function ends it after a further time.
func (w *windows) open(after time.Duration) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.list)
	// Until its end is known, a window has none.
	w.list = append(w.list, [2]time.Time{time.Now(), time.Now().Add(24 * time.Hour)})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.list[i][1] = time.Now().Add(after)
	}
}

// overlap reports whether a window overlaps a span.
func (w *windows) overlap(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.list {
		if x[0].Before(to) && from.Before(x[1]) {
			return true
		}
	}
	return false
}
