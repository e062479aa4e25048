package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/core/backendapi"
	"github.com/rosemaryhill/rosemaryhill/core/ident"
	"github.com/rosemaryhill/rosemaryhill/core/sched"
	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
	"github.com/rosemaryhill/rosemaryhill/node/admin"
)

func (s *state) model() ident.Model { return ident.Model(s.plan.Model) }

// standinAddress returns the address of a stand-in by its name.
func (s *state) standinAddress(name string) string {
	switch name {
	case "platform":
		return s.plan.PlatformAddress
	case "hostlist":
		return s.plan.HostListAddress
	}
	for _, e := range s.plan.Engines {
		if e.ID == name {
			return e.Address
		}
	}
	for _, v := range s.plan.ServiceServers {
		if v.ID == name {
			return v.Address
		}
	}
	s.ts.Fatalf("%q is not a stand-in", name)
	return ""
}

// adminAddresses returns the addresses of the administration APIs of all roles, by role name.
func (s *state) adminAddresses() map[string]string {
	out := map[string]string{}
	for _, h := range s.plan.Hosts {
		out[h.ID+"/gateway"] = s.plan.Settings[h.ID].Gateway.AdminAddress
		out[h.ID+"/dispatcher"] = s.plan.Settings[h.ID].Dispatcher.AdminAddress
	}
	return out
}

func (s *state) doJSON(method, address, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, text)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func (s *state) fault(args []string) {
	s.check(s.doJSON("POST", s.standinAddress(arg(s, args, 0)), "/faults", []byte(arg(s, args, 1)), nil))
}

func (s *state) host(args []string) {
	body := fmt.Appendf(nil, `{"state":%q}`, arg(s, args, 1))
	s.check(s.doJSON("POST", s.plan.HostListAddress, "/hosts/"+arg(s, args, 0), body, nil))
}

func (s *state) publish(args []string) {
	o := s.options(args, 1, "base")
	body := s.ts.ReadFile(arg(s, args, 0))
	entry := fmt.Appendf(nil, `{"kind":"patch","base":%d,"body":%s}`, s.number(o["base"], 0), body)
	s.check(s.doJSON("POST", s.plan.PlatformAddress, "/config/publish", entry, nil))
}

func (s *state) version(args []string) {
	want, limit, parts := s.number(arg(s, args, 0), 0), s.duration(arg(s, args, 1)), args[2:]
	for name, address := range s.adminAddresses() {
		if len(parts) > 0 && !slices.Contains(parts, name) {
			continue
		}
		s.eventually(limit, func() error {
			var c admin.ActiveConfig
			if err := cluster.AdminGet(s.ctx, address, "/v1/config", &c); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			if int(c.Version) != want {
				return fmt.Errorf("%s uses configuration version %d, want %d", name, c.Version, want)
			}
			return nil
		})
	}
}

func (s *state) leaving(args []string) {
	id, limit := arg(s, args, 0), s.duration(arg(s, args, 1))
	for name, address := range s.adminAddresses() {
		s.eventually(limit, func() error {
			var list []admin.BackendServer
			if err := cluster.AdminGet(s.ctx, address, "/v1/backend-servers", &list); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			for _, b := range list {
				if string(b.ID) == id && b.Leaving {
					return nil
				}
			}
			return fmt.Errorf("%s does not report %s as leaving", name, id)
		})
	}
}

func (s *state) loaded(args []string) {
	address, want := s.standinAddress(arg(s, args, 0)), arg(s, args, 1)
	s.eventually(s.duration(arg(s, args, 2)), func() error {
		var r backendapi.Report
		if err := s.doJSON("GET", address, "/v1/report", nil, &r); err != nil {
			return err
		}
		if r.Version != want {
			return fmt.Errorf("%s has loaded model version %s, want %s", args[0], r.Version, want)
		}
		return nil
	})
}

// idle skips engines that don't answer, since a killed engine uses no memory.
func (s *state) idle(args []string) {
	limit := s.duration(arg(s, args, 0))
	for _, e := range s.plan.Engines {
		s.eventually(limit, func() error {
			var r backendapi.Report
			if s.doJSON("GET", e.Address, "/v1/report", nil, &r) == nil && r.UsedTokens > 0 {
				return fmt.Errorf("%s still uses memory for %d tokens, with %d sessions", e.ID, r.UsedTokens, len(r.Sessions))
			}
			return nil
		})
	}
}

func (s *state) lose(args []string) {
	s.check(s.fleet.Kill(arg(s, args, 0)))
	s.killed[args[0]] = true
}

// pause suspends a component and waits until its threads have stopped, so that the next command finds it paused.
func (s *state) pause(args []string) {
	name, d := arg(s, args, 0), s.duration(arg(s, args, 1))
	s.check(s.fleet.Pause(name, d))
	const stopDelay = 100 * time.Millisecond // until all threads of the process have stopped
	time.Sleep(stopDelay)
}

// resumed counts attempts that were lost while they ran. A refused attempt that was sent to another
// dispatcher doesn't count, since no part of it had run.
func (s *state) resumed(args []string) {
	want, got := s.number(arg(s, args, 1), 0), 0
	text, err := cluster.AdminText(s.ctx, s.adminAddresses()[arg(s, args, 0)], "/metrics")
	s.check(err)
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "gateway_resumes_total{") && strings.Contains(line, `reason="backend_`) {
			got += s.number(strings.TrimSpace(line[strings.LastIndex(line, " ")+1:]), 0)
		}
	}
	if got != want {
		s.ts.Fatalf("%s resumed %d attempts, want %d", args[0], got, want)
	}
}

// serving finds the dispatcher and the engine that have a session. The stream must be the only one that runs.
func (s *state) serving(args []string) {
	s.stream(arg(s, args, 0))
	s.eventually(waitMargin, func() error {
		for _, h := range s.plan.Hosts {
			var st sched.Status
			if cluster.AdminGet(s.ctx, s.plan.Settings[h.ID].Dispatcher.AdminAddress, "/v1/scheduler", &st) != nil {
				continue
			}
			for _, e := range st.Engines {
				if e.Sessions > 0 && !s.killed[string(e.ID)] {
					s.ts.Setenv("DISPATCHER", h.ID+"/dispatcher")
					s.ts.Setenv("ENGINE", string(e.ID))
					return nil
				}
			}
		}
		return fmt.Errorf("no dispatcher has a running session")
	})
}

// executionsByKey returns the number of executions of each idempotency key at a service server.
func (s *state) executionsByKey(address string) map[string]int {
	out := map[string]int{}
	s.check(s.doJSON("GET", address, "/executions", nil, &out))
	return out
}

func (s *state) executions(args []string) {
	ticket, want, got := s.tickets[arg(s, args, 0)], s.number(arg(s, args, 1), 0), 0
	var at []string
	for _, v := range s.plan.ServiceServers {
		if n := s.executionsByKey(v.Address)[ticket]; n > 0 {
			got += n
			at = append(at, v.ID)
		}
	}
	if got != want {
		s.ts.Fatalf("the posting ran %d times, want %d (at %s)", got, want, strings.Join(at, ", "))
	}
}

func (s *state) callsAt(args []string) {
	s.executedCounts[arg(s, args, 1)] = len(s.executionsByKey(s.standinAddress(arg(s, args, 0))))
}

func (s *state) unchanged(args []string) {
	before, now := s.executedCounts[arg(s, args, 1)], len(s.executionsByKey(s.standinAddress(arg(s, args, 0))))
	if before != now {
		s.ts.Fatalf("%s executed %d postings since %s", args[0], now-before, args[1])
	}
}
