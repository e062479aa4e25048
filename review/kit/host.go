package kit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Host is an entry host: a process of the project's program with the settings of a small deployment.
type Host struct {
	Name, Zone   string
	IP           string
	Port         int // of callers; the other ports follow
	StoreAddress string
	// Output receives what the process writes. A nil writer discards it.
	Output *os.File

	program, settings string
	cmd               *exec.Cmd
	exited            chan struct{}
}

// Addresses of a host. All hosts use the same ports.
func (h *Host) at(n int) string { return net.JoinHostPort(h.IP, fmt.Sprint(h.Port+n)) }

// Callers is the address for callers.
func (h *Host) Callers() string { return h.at(0) }

// Ready is the address of the readiness check.
func (h *Host) Ready() string { return h.at(1) }

// Directory is the address at which callers ask for addresses.
func (h *Host) Directory() string { return h.at(2) }

// Control is the address for other hosts.
func (h *Host) Control() string { return h.at(3) }

// portsPerHost is the number of ports of a host, metrics included.
const portsPerHost = 6

// NewHosts returns hosts of one zone on addresses of their own, with ports that are free on all of them.
func NewHosts(dir, program, zone string, ips []string) ([]*Host, error) {
	port, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	var hosts []*Host
	for i, ip := range ips {
		h := &Host{Name: fmt.Sprintf("edge-%d", i+1), Zone: zone, IP: ip, Port: port, program: program}
		h.settings = filepath.Join(dir, h.Name+".toml")
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// locks keeps the locks of ports open until the script ends.
var locks []net.Listener

// portLockIP is the address on which a script listens at its first port, so that another one takes other ports.
const portLockIP = "127.0.45.1"

// freePorts returns the first of portsPerHost ports that are free on all addresses.
func freePorts(ips []string) (int, error) {
	first := 20000 + os.Getpid()%1000*portsPerHost
search:
	for port := first; port < 32000; port += portsPerHost {
		lock, err := net.Listen("tcp", net.JoinHostPort(portLockIP, fmt.Sprint(port)))
		if err != nil {
			continue
		}
		for _, ip := range ips {
			for n := range portsPerHost {
				ln, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port+n)))
				if err != nil {
					_ = lock.Close()
					continue search
				}
				_ = ln.Close()
			}
		}
		locks = append(locks, lock)
		return port, nil
	}
	return 0, fmt.Errorf("no free ports")
}

// WriteSettings writes the settings as the template of the deploy file gives them for a small deployment.
func (h *Host) WriteSettings(seeds []*Host) error {
	var peers []string
	for _, s := range seeds {
		peers = append(peers, fmt.Sprintf("%q", s.Control()))
	}
	text := fmt.Sprintf(`host_id = %q
region = "be-central"
availability_zone = %q

[entry]
http_address = %q
ready_address = %q
directory_address = %q
control_address = %q
gossip_port = %d
admin_port = %d
store_address = %q
peers = [%s]
retry_ratio = 0.2
retry_window_ms = 10000
retry_slack = 100
shutdown_ms = 8000
max_hold_ms = 20000
release_ms = 4000
memory_mb = 284
`, h.Name, h.Zone, h.Callers(), h.Ready(), h.Directory(), h.Control(), h.Port+4, h.Port+5, h.StoreAddress, strings.Join(peers, ","))
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// Start starts the process as the deploy file does.
func (h *Host) Start() error {
	h.cmd = exec.Command(h.program, "entry", "--settings", h.settings)
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if h.Output != nil {
		h.cmd.Stdout, h.cmd.Stderr = h.Output, h.Output
	}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.exited = exited
	go func(cmd *exec.Cmd) { _ = cmd.Wait(); close(exited) }(h.cmd)
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// WaitExit waits until the process has ended and reports whether it has.
func (h *Host) WaitExit(d time.Duration) bool {
	select {
	case <-h.exited:
		return true
	case <-time.After(d):
		return false
	}
}

// Running reports whether the process runs.
func (h *Host) Running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process, if it runs, and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.exited
}

// IsReady asks the readiness check.
func (h *Host) IsReady() bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + h.Ready() + "/api/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the readiness check succeeds.
func (h *Host) WaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.IsReady() {
			return true
		}
	}
	return false
}
