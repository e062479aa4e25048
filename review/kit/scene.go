package kit

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	Held      = 0
	Broken    = 1
	NotRun    = 2
	timeLimit = 115 * time.Second // of a script, which may take 120 s
)

// Scene is a small deployment: a store, backend servers, and entry hosts as processes.
type Scene struct {
	Record  *Record
	Store   *Store
	Servers []*Server
	Hosts   []*Host
	// Trouble is false when the script runs without the disruption.
	Trouble bool

	dir     string
	end     sync.Once
	mu      sync.Mutex
	cleanup []func()
}

// OnExit adds a function that is called when the script ends, for any reason.
func (s *Scene) OnExit(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanup = append(s.cleanup, f)
}

// Run runs a script and exits with its code. The arguments are the file of the record and the project's root.
func Run(play func(*Scene) int) {
	record := flag.String("record", "record.txt", "file of the record")
	root := flag.String("root", "", "root of the project")
	flag.Parse()
	rec, err := NewRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	s := &Scene{Record: rec, Store: NewStore(storeAnswer), Trouble: os.Getenv("TROUBLE") != "0"}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	s.Hosts, err = NewHosts(s.dir, filepath.Join(*root, "target", "rosemaryhill"), "zone-a", hostIPs)
	if err != nil {
		s.exit(NotRun, err.Error())
	}
	time.AfterFunc(timeLimit, func() { s.exit(NotRun, "the script took too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { <-stop; s.exit(NotRun, "stopped") }()
	s.Record.Say("disruption: %t", s.Trouble)
	s.exit(play(s), "")
}

// storeAnswer is the usual time of an answer of the store.
const storeAnswer = 4 * time.Millisecond

var hostIPs = []string{"127.0.41.1", "127.0.41.2", "127.0.41.3", "127.0.41.4", "127.0.41.5", "127.0.41.6"}

// exit ends all processes that the script started, and then the script.
func (s *Scene) exit(code int, reason string) {
	s.end.Do(func() {
		for _, h := range s.Hosts {
			h.Kill()
		}
		s.mu.Lock()
		for _, f := range s.cleanup {
			f()
		}
		s.mu.Unlock()
		s.Store.Close()
		for _, x := range s.Servers {
			x.Close()
		}
		if reason != "" {
			s.Record.Say("%s", reason)
		}
		s.Record.Say("exit code %d", code)
		s.Record.Close()
		_ = os.RemoveAll(s.dir)
		os.Exit(code)
	})
}

// KeepHosts drops all hosts but the first n.
func (s *Scene) KeepHosts(n int) { s.Hosts = s.Hosts[:n] }

// AddServers starts servers of a service and lists them in the store.
func (s *Scene) AddServers(service string, n int) error {
	for range n {
		if err := s.AddSpare(service); err != nil {
			return err
		}
		x := s.Servers[len(s.Servers)-1]
		s.Store.Put("servers/"+x.ID, x.Entry("ready"))
	}
	return nil
}

// AddSpare starts a server of a service that is not listed in the store.
func (s *Scene) AddSpare(service string) error {
	id := fmt.Sprintf("i-%04x", 0x7f30+len(s.Servers))
	ip := fmt.Sprintf("127.0.42.%d", len(s.Servers)+1)
	x, err := NewServer(s.Record, id, service, fmt.Sprintf("%s:%d", ip, s.Hosts[0].Port))
	if err != nil {
		return err
	}
	s.Servers = append(s.Servers, x)
	return nil
}

// Start starts the store and the hosts, the first three of which are the seeds, and waits until all are ready.
func (s *Scene) Start() error {
	for i, h := range s.Hosts {
		h.StoreAddress = fmt.Sprintf("127.0.43.%d:%d", i+1, h.Port)
		if err := s.Store.Serve(h.Name, h.StoreAddress); err != nil {
			return err
		}
		if err := h.WriteSettings(s.Hosts[:min(3, len(s.Hosts))]); err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
	}
	for _, h := range s.Hosts {
		if !h.WaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", h.Name)
		}
	}
	return nil
}
