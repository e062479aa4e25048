package kit

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports are the ports that all hosts share, as on the users' machines. Each host has a loopback address of its own.
type Ports struct{ Front, Ready, Directory, Control, Gossip int }

// FreePorts returns ports that are free on all of the addresses.
func FreePorts(ips []string) (Ports, error) {
	var got []int
	for p := 21000 + os.Getpid()%9000; len(got) < 5 && p < 60000; p++ {
		if portFree(ips, p) {
			got = append(got, p)
		}
	}
	if len(got) < 5 {
		return Ports{}, fmt.Errorf("no free ports")
	}
	return Ports{got[0], got[1], got[2], got[3], got[4]}, nil
}

func portFree(ips []string, port int) bool {
	for _, ip := range ips {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// Host is an entry host that runs as a process.
type Host struct {
	Name, IP, Zone string
	Ports          Ports
	MemoryMB       int
	daemon, dir    string
	settings       string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

// NewHost returns a host with a settings file that is filled as the template of the deploy file is.
func NewHost(daemon, dir, name, ip, zone string, ports Ports, store string, seeds []string, memoryMB int) (*Host, error) {
	h := &Host{Name: name, IP: ip, Zone: zone, Ports: ports, MemoryMB: memoryMB, daemon: daemon, dir: dir}
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = strconv.Quote(net.JoinHostPort(s, strconv.Itoa(ports.Control)))
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
admin_port = 0
store_address = %q
peers = [%s]
retry_ratio = 0.2
retry_window_ms = 10e3
retry_slack = 100
shutdown_ms = 8e3
max_hold_ms = 20000
release_ms = 4000

memory_mb = %d
max_descriptors = 4200
`, name, zone, h.addr(ports.Front), h.addr(ports.Ready), h.addr(ports.Directory), h.addr(ports.Control), ports.Gossip, store,
		strings.Join(quoted, ","), memoryMB)
	h.settings = filepath.Join(dir, name+".toml")
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

func (h *Host) addr(port int) string { return net.JoinHostPort(h.IP, strconv.Itoa(port)) }

// Front returns the address for callers.
func (h *Host) Front() string { return h.addr(h.Ports.Front) }

// Start starts the process with the command of the deploy file.
func (h *Host) Start() error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.daemon, "entry", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROSEMARYHILL_SETTINGS=" + h.settings}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.end = cmd, end
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(end)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.end:
	default:
		_ = h.cmd.Process.Signal(s)
	}
}

// Ended is closed when the process has ended.
func (h *Host) Ended() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.end
}

// Kill ends the process and waits for its end.
func (h *Host) Kill() {
	if h.cmd == nil {
		return
	}
	h.Signal(syscall.SIGKILL)
	<-h.Ended()
}

// MemoryUsed returns the anonymous resident memory of the process in MB, zero if it has ended.
func (h *Host) MemoryUsed() float64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// IsReady asks the process whether it is ready.
func (h *Host) IsReady() bool {
	conn, err := net.DialTimeout("tcp", h.addr(h.Ports.Ready), time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, "GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.Contains(line, " 200 ")
}
