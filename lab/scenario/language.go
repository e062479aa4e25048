package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rosemaryhill/rosemaryhill/lab/cluster"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
)

// Commands returns the script commands:
//
//	system FILE                         start the system that FILE describes (a cluster.Spec in JSON) and wait until it is ready
//	ask NAME gateway=H [tokens= output= timeout= class=]   send a generation in the background
//	at NAME N                           wait until the stream has delivered N tokens
//	whole NAME                          the stream must be complete, with the text that the engine generates
//	ended NAME OUTCOME REASON           the request must end with this outcome and reason
//	ticket NAME gateway=H               get a ticket
//	post NAME gateway=H ticket=T [service= path= body= timeout=]    send a posting in the background
//	lookup NAME gateway=H [service= path= timeout=]                 send a lookup in the background
//	answered NAME                       the call must return the service's answer
//	same NAME NAME                      both calls must return the same answer
//	executions T N                      the posting with the ticket must have run N times over all servers
//	calls-at SERVICE LABEL              record the number of keys executed at a server under LABEL
//	unchanged SERVICE LABEL             no key may have been executed there since
//	load NAME callers=N                 run N callers in the background that fetch addresses and send short requests
//	load-end NAME min=N                 end the load: at least N requests were answered and none failed
//	serving NAME                        set $DISPATCHER and $ENGINE to those that serve the stream
//	fault PART JSON                     set the faults that a stand-in injects
//	host ID STATE                       change the state of a host in the host list
//	lose|terminate|start PART           kill a component, shut it down gracefully, or start it again
//	pause PART D                        suspend a component; it resumes after D, in the background
//	exited PART LIMIT                   the terminated component must end without an error within the limit
//	publish FILE base=N                 publish a merge patch of the configuration
//	version N LIMIT [PART...]           the roles named, or all, must use the configuration version within the limit
//	leaving ID LIMIT                    all roles must see a server as leaving within the limit
//	loaded ENGINE VERSION LIMIT         the engine must have loaded the model version within the limit
//	idle LIMIT                          all engines must have released their memory within the limit
//	resumed PART N                      the gateway must have resumed N attempts that were lost while they ran
//	sleep D                             wait
//
// N is a number, D and LIMIT are durations such as 3s, and PART is the name of a component.
func Commands(start Starter) map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]func(*state, []string){
		"system": func(s *state, a []string) { s.system(start, arg(s, a, 0)) },
		"ask":    (*state).ask, "at": (*state).at, "whole": (*state).whole, "ended": (*state).ended,
		"ticket": (*state).ticket, "post": (*state).post, "lookup": (*state).lookup, "answered": (*state).answered,
		"same": (*state).same, "executions": (*state).executions, "calls-at": (*state).callsAt, "unchanged": (*state).unchanged,
		"load": (*state).load, "load-end": (*state).loadEnd, "serving": (*state).serving,
		"fault": (*state).fault, "host": (*state).host, "publish": (*state).publish, "version": (*state).version,
		"leaving": (*state).leaving, "idle": (*state).idle, "loaded": (*state).loaded, "resumed": (*state).resumed,
		"lose": (*state).lose, "pause": (*state).pause,
		"terminate": func(s *state, a []string) { s.check(s.fleet.Stop(arg(s, a, 0))) },
		"start":     func(s *state, a []string) { s.check(s.fleet.Start(arg(s, a, 0))) },
		"exited":    func(s *state, a []string) { s.check(s.fleet.WaitExit(arg(s, a, 0), s.duration(arg(s, a, 1)))) },
		"sleep":     func(s *state, a []string) { time.Sleep(s.duration(arg(s, a, 0))) },
	}
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range commands {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s can't be negated", name)
			}
			s := ts.Value(stateKey{}).(*state)
			s.ts = ts
			f(s, args)
		}
	}
	return out
}

type stateKey struct{}

// state holds the system, the requests and the recorded values of one script.
type state struct {
	ts             *testscript.TestScript
	ctx            context.Context
	plan           *cluster.Plan
	fleet          Fleet
	dir            string
	streams        map[string]*streamCall
	calls          map[string]*serviceCall
	tickets        map[string]string
	executedCounts map[string]int
	loads          map[string]*load
	killed         map[string]bool // components that the script killed
}

// Setup prepares the state of a script; use it as testscript.Params.Setup.
func Setup(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	s := &state{
		ctx: ctx, dir: env.WorkDir, streams: map[string]*streamCall{}, calls: map[string]*serviceCall{},
		tickets: map[string]string{}, executedCounts: map[string]int{}, loads: map[string]*load{}, killed: map[string]bool{},
	}
	env.Values[stateKey{}] = s
	env.Defer(func() {
		cancel()
		if s.fleet != nil {
			_ = s.fleet.Close() // components that a script killed or interrupted end with errors
		}
	})
	return nil
}

// readyTimeout limits the time until a started system is ready.
const readyTimeout = 20 * time.Second

func (s *state) system(start Starter, file string) {
	var spec cluster.Spec
	s.check(json.Unmarshal([]byte(s.ts.ReadFile(file)), &spec))
	var err error
	s.plan, err = cluster.NewPlan(spec)
	s.check(err)
	s.fleet, err = start(s.plan, s.dir)
	s.check(err)
	ctx, cancel := context.WithTimeout(s.ctx, readyTimeout)
	defer cancel()
	if err := s.plan.WaitReady(ctx); err != nil {
		if f, ok := s.fleet.(logged); ok {
			s.ts.Logf("%s", f.Logs())
		}
		s.check(err)
	}
}

// logged is implemented by fleets whose components write logs.
type logged interface {
	// Logs returns the last lines of the log of each component, and the errors of those that have ended.
	Logs() string
}

func (s *state) check(err error) {
	if err != nil {
		s.ts.Fatalf("%v", err)
	}
}

func arg(s *state, args []string, i int) string {
	if i >= len(args) {
		s.ts.Fatalf("argument %d is missing", i+1)
	}
	return args[i]
}

// options parses the key=value arguments after the first n. An unknown key fails the script.
func (s *state) options(args []string, n int, known ...string) map[string]string {
	out := map[string]string{}
	for _, a := range args[min(n, len(args)):] {
		key, value, ok := strings.Cut(a, "=")
		if !ok || !strings.Contains(" "+strings.Join(known, " ")+" ", " "+key+" ") {
			s.ts.Fatalf("unknown option %q; known options: %s", a, strings.Join(known, ", "))
		}
		out[key] = value
	}
	return out
}

func (s *state) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	s.check(err)
	return d
}

func (s *state) number(text string, def int) int {
	if text == "" {
		return def
	}
	n, err := strconv.Atoi(text)
	s.check(err)
	return n
}

func (s *state) timeout(text string, def time.Duration) time.Duration {
	if text == "" {
		return def
	}
	return s.duration(text)
}

// eventually polls condition until it returns nil, and fails the script when the limit has passed.
func (s *state) eventually(limit time.Duration, condition func() error) {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(limit); ; time.Sleep(poll) {
		err := condition()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			s.ts.Fatalf("after %s: %v", limit, err)
		}
	}
}

func splitRole(name string) (host string, role settings.Role, err error) {
	host, r, ok := strings.Cut(name, "/")
	if !ok || (r != string(settings.RoleGateway) && r != string(settings.RoleDispatcher)) {
		return "", "", fmt.Errorf("%q is not <host>/gateway or <host>/dispatcher", name)
	}
	return host, settings.Role(r), nil
}
