package kit

import (
	"fmt"
	"os"
	"time"
)

// readyWithin is the time within which all hosts must be ready.
const readyWithin = 8 * time.Second

// Scene is a small deployment: the store, servers and entry hosts.
type Scene struct {
	Daemon   string   // program of the entry host
	IPs      []string // of the hosts
	MemoryMB int      // of a host's machine
	Config   *Config
	Servers  []*Server

	Store *Store
	Hosts []*Host
	dir   string
}

// Start starts the store, the servers and the hosts, and waits until the hosts are ready.
func (s *Scene) Start() (err error) {
	if s.dir, err = os.MkdirTemp("", "scene"); err != nil {
		return err
	}
	s.Store = NewStore()
	address, err := Serve(s.Store)
	if err != nil {
		return err
	}
	s.Store.Put("op/config", s.Config)
	for _, x := range s.Servers {
		if err := StartServer(x, "127.0.0.1"); err != nil {
			return err
		}
		s.Store.Put("servers/"+x.ID, x.Entry("ready"))
	}
	ports, err := FreePorts(s.IPs)
	if err != nil {
		return err
	}
	for i, ip := range s.IPs {
		h, err := NewHost(s.Daemon, s.dir, fmt.Sprintf("edge-%d", i+1), ip, "zone-a", ports, address, s.IPs, s.MemoryMB)
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
		s.Hosts = append(s.Hosts, h)
	}
	for until := time.Now().Add(readyWithin); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range s.Hosts {
			if h.IsReady() {
				ready++
			}
		}
		if ready == len(s.Hosts) {
			return nil
		}
	}
	return fmt.Errorf("the hosts did not become ready")
}

// Runs returns how often a request has run at all servers together.
func (s *Scene) Runs(attempt string) (n int) {
	for _, x := range s.Servers {
		n += x.Runs(attempt)
	}
	return n
}

// Close ends the hosts and the servers.
func (s *Scene) Close() {
	for _, h := range s.Hosts {
		h.Kill()
	}
	for _, x := range s.Servers {
		x.Close()
	}
	_ = os.RemoveAll(s.dir)
}
