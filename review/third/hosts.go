package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Networks of the stand-ins. Each process has a loopback address of its own, as on machines of its own.
const (
	hostNet   = "127.0.7."
	serverNet = "127.0.8."
	storeNet  = "127.0.9."
)

const (
	portsPerHost = 8
	readyWait    = 15 * time.Second
	stopWait     = 12 * time.Second
)

// host is a process of the entry role.
type host struct {
	name     string
	n        int
	ports    int
	settings string
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
}

func (h *host) at(port int) string { return fmt.Sprintf("%s%d:%d", hostNet, h.n, h.ports+port) }

func (h *host) frontend() string { return h.at(0) }

// freePorts returns the first of some ports that are free on all addresses of the stand-ins.
func freePorts() (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(1000)*10
		if portsFree(base) {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(base int) bool {
	for _, network := range []string{hostNet, serverNet, storeNet} {
		for n := 1; n <= 20; n++ {
			for p := base; p < base+portsPerHost; p++ {
				address := fmt.Sprintf("%s%d:%d", network, n, p)
				ln, err := net.Listen("tcp", address)
				if err != nil {
					return false
				}
				_ = ln.Close()
				udp, err := net.ListenPacket("udp", address)
				if err != nil {
					return false
				}
				_ = udp.Close()
			}
		}
	}
	return true
}

// hostConfig holds what the settings of a host are filled from, with the names of the platform's settings file.
type hostConfig struct {
	zones    []string
	store    string
	memoryMB int
}

// newHost writes the settings of host n as the deploy file's template has them.
func newHost(dir string, n, ports int, c hostConfig) (*host, error) {
	zone := c.zones[(n-1)%len(c.zones)]
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, n), n: n, ports: ports}
	h.settings = filepath.Join(dir, h.name+".toml")
	var peers []string
	for seed := 1; seed <= 3; seed++ {
		peers = append(peers, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", hostNet, seed, ports+3)))
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
retry_window_ms = 10e3
retry_slack = 100
shutdown_ms = 8e3
max_hold_ms = 20000
release_ms = 4000
memory_mb = %d
max_descriptors = 4200
`, h.name, zone, h.at(0), h.at(1), h.at(2), h.at(3), ports+4, ports+5, c.store, strings.Join(peers, ","), c.memoryMB)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start(root, dir string) (err error) {
	if h.log, err = os.OpenFile(filepath.Join(dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command(filepath.Join(root, "target", "rosemaryhill"), "entry", "--settings", h.settings)
	h.cmd.Dir, h.cmd.Stdout, h.cmd.Stderr = root, h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	return nil
}

func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.at(1)+"/api/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := directClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *host) waitReady() error {
	for end := time.Now().Add(readyWait); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", h.name)
}

// stop ends the process, at last by SIGKILL.
func (h *host) stop() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	select {
	case <-h.exited:
	case <-time.After(stopWait):
	}
	_ = h.log.Close()
}
