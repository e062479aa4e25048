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

// Commands returns the commands of the language:
//
//	system FILE                         start the system of a cluster.Spec in JSON and wait until it is ready
//	ask NAME gateway=H [tokens= output= timeout= class=]   send a generation in the background
//	at NAME N                           wait until the stream has delivered N tokens
//	whole NAME                          the stream must end whole, with the engines' own text
//	ended NAME OUTCOME REASON           the request must end so
//	ticket NAME gateway=H               get a ticket
//	post NAME gateway=H ticket=T [service= path= body= timeout=]    send a posting in the background
//	lookup NAME gateway=H [service= path= timeout=]                 send a lookup in the background
//	answered NAME                       the call must bring the service's answer
//	same NAME NAME                      both calls must have brought the same answer
//	executions T N                      the posting of a ticket must have run N times in all
//	calls-at SERVICE LABEL              remember the number of keys executed at a server
//	unchanged SERVICE LABEL             no key was executed there since
//	load NAME callers=N                 callers that ask for addresses and short answers, in the background
//	load-end NAME min=N                 end the load: at least N answers, and not one failure
//	serving NAME                        set $DISPATCHER and $ENGINE to what carries the stream
//	fault PART JSON                     set the fault switches of a stand-in
//	host ID STATE                       change a line of the host list
//	lose|terminate|start PART           kill a part, end it gracefully, or start it again
//	pause PART D                        stop a part from running for a time, in the background
//	exited PART LIMIT                   the terminated part must have ended in order within the limit
//	publish FILE base=N                 publish a merge patch
//	version N LIMIT [PART...]           the parts, or all roles, must hold the version within the limit
//	leaving ID LIMIT                    all roles must know within the limit that a server is leaving
//	loaded ENGINE VERSION LIMIT         the engine must have loaded the model version within the limit
//	idle LIMIT                          no engine may hold memory after the limit
//	resumed PART N                      the gateway must have replaced N running attempts
//	sleep D                             wait
//
// N is a number, D and LIMIT are durations such as 3s.
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

// state is what one script knows.
type state struct {
	ts      *testscript.TestScript
	ctx     context.Context
	plan    *cluster.Plan
	fleet   Fleet
	dir     string
	streams map[string]*streamCall
	calls   map[string]*serviceCall
	tickets map[string]string
	marks   map[string]int
	loads   map[string]*load
	lost    map[string]bool // parts that the script killed
}

// Setup prepares a script; use it as testscript.Params.Setup.
func Setup(env *testscript.Env) error {
	ctx, cancel := context.WithCancel(context.Background())
	s := &state{
		ctx: ctx, dir: env.WorkDir, streams: map[string]*streamCall{}, calls: map[string]*serviceCall{},
		tickets: map[string]string{}, marks: map[string]int{}, loads: map[string]*load{}, lost: map[string]bool{},
	}
	env.Values[stateKey{}] = s
	env.Defer(func() {
		cancel()
		if s.fleet != nil {
			_ = s.fleet.Close() // parts that a script killed or cut off end with errors
		}
	})
	return nil
}

// readyLimit bounds the start of a system.
const readyLimit = 20 * time.Second

func (s *state) system(start Starter, file string) {
	var spec cluster.Spec
	s.check(json.Unmarshal([]byte(s.ts.ReadFile(file)), &spec))
	var err error
	s.plan, err = cluster.NewPlan(spec)
	s.check(err)
	s.fleet, err = start(s.plan, s.dir)
	s.check(err)
	ctx, cancel := context.WithTimeout(s.ctx, readyLimit)
	defer cancel()
	s.check(s.plan.WaitReady(ctx))
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

// options reads key=value arguments after the first n and refuses unknown keys.
func (s *state) options(args []string, n int, known ...string) map[string]string {
	out := map[string]string{}
	for _, a := range args[min(n, len(args)):] {
		key, value, ok := strings.Cut(a, "=")
		if !ok || !strings.Contains(" "+strings.Join(known, " ")+" ", " "+key+" ") {
			s.ts.Fatalf("option %q; known: %s", a, strings.Join(known, ", "))
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

// eventually repeats a look until it succeeds or the limit is over.
func (s *state) eventually(limit time.Duration, look func() error) {
	const poll = 10 * time.Millisecond
	for end := time.Now().Add(limit); ; time.Sleep(poll) {
		err := look()
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
