package soak

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/rosemaryhill/rosemaryhill/lab/internal/hostprocess"
)

// host is an entry host in a separate process. Faults of one host do not overlap; those of several hosts do.
type host struct {
	*hostprocess.Process
	callerLink *link // from callers to this host

	mu sync.Mutex // held during a fault
	// reloadedEarly is set when SIGHUP was sent while the process was starting.
	reloadedEarly bool

	lateAllowed timeWindows // when late answers are permitted
	cutAllowed  timeWindows // when streams may be cut
}

const (
	// startupTime is long enough for a process to install its signal handlers, even on a busy machine.
	startupTime = time.Second
	// recoveryTime is how long answers may still be late after a fault of a host or of the link from its callers.
	recoveryTime = time.Second
	// callerIPPrefix is the address prefix of the proxies between callers and hosts.
	callerIPPrefix = "127.0.6."
)

// addHost starts entry host n.
func (r *run) addHost(n int) error {
	h := &host{Process: &hostprocess.Process{Program: r.cfg.Program, File: filepath.Join(r.cfg.Dir, fmt.Sprintf("h%d.toml", n))}}
	h.Settings = r.fleet.HostSettings(n, r.cfg.Port+2)
	h.Settings.Entry.RetryRatio, h.Settings.Entry.RetrySlack = retryRatio, retrySlack
	if err := h.WriteSettings(); err != nil {
		return err
	}
	l, err := r.addLink(fmt.Sprintf("%s%d:%d", callerIPPrefix, n, r.cfg.Port), h.Settings.Entry.HTTPAddress)
	if err != nil {
		return err
	}
	h.callerLink = l
	r.hosts = append(r.hosts, h)
	return h.Start()
}

// restart starts the process again after a fault terminated it.
func (h *host) restart(r *run) {
	h.reloadedEarly = false
	if err := h.Start(); err != nil {
		r.reportViolation("host %s failed to restart: %v", h.Settings.HostID, err)
	}
}

// restartIfExited restarts a process that exited without a fault that terminates it, as an init system does. An exit
// is a violation unless SIGHUP arrived before the process had installed its signal handlers.
func (h *host) restartIfExited(r *run) {
	select {
	case err := <-h.Exited:
		if !h.killedByReload(err) {
			r.reportViolation("host %s exited unexpectedly after %v: %v", h.Settings.HostID, time.Since(h.Started), err)
		}
		h.restart(r)
	default:
	}
}

// restartExited restarts the processes that exited, except on hosts with a fault, which end by restarting theirs.
func (r *run) restartExited() {
	for _, h := range r.hosts {
		if h.mu.TryLock() {
			h.restartIfExited(r)
			h.mu.Unlock()
		}
	}
}

// killedByReload reports whether SIGHUP terminated the process before it had installed its handler.
func (h *host) killedByReload(err error) bool {
	return h.reloadedEarly && err != nil && err.Error() == "signal: hangup"
}

// injectFault runs a fault of the process. Late answers are permitted until recoveryTime after it, and streams may be cut
// as long unless the fault is a change of the settings.
func (h *host) injectFault(r *run, kind string, fault func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.lateAllowed.open(recoveryTime)()
	if kind != "reload" && kind != "settings" {
		defer h.cutAllowed.open(recoveryTime)()
	}
	h.restartIfExited(r)
	fault()
}

// stop sends SIGTERM, and SIGKILL if the process is still running after the shutdown time of its settings.
func (h *host) stop(r *run) {
	starting := h.Starting()
	err := h.Terminate(time.Duration(h.Settings.Entry.ShutdownMS) * time.Millisecond)
	early := h.killedByReload(err) || (starting && err != nil && err.Error() == "signal: terminated")
	if err != nil && !early {
		r.reportViolation("host %s did not shut down cleanly: %v", h.Settings.HostID, err)
	}
}

// timeWindows is a list of time intervals.
type timeWindows struct {
	mu   sync.Mutex
	list [][2]time.Time
}

// open begins a window; the returned function closes it, effective after the given duration.
func (w *timeWindows) open(after time.Duration) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.list)
	// The end of an open window is not known yet and is assumed to be 24 hours away.
	w.list = append(w.list, [2]time.Time{time.Now(), time.Now().Add(24 * time.Hour)})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.list[i][1] = time.Now().Add(after)
	}
}

// overlap reports whether any window overlaps the interval.
func (w *timeWindows) overlap(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.list {
		if x[0].Before(to) && from.Before(x[1]) {
			return true
		}
	}
	return false
}
