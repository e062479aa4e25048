package isolation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a host that takes a few failed servers or one failed zone for isolation, and against one that finds its isolation
// late or does not find its end.
func TestUnreachable(t *testing.T) {
	servers := []Server{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}}
	const s = time.Second
	type event struct {
		at, began time.Duration
		server    int // index in servers; -1 for an answer
	}
	for name, x := range map[string]struct {
		events      []event
		servers     []Server
		other       bool // another service is unreachable
		unreachable bool
	}{
		"no failure":                            {},
		"two servers":                           {events: []event{{s, s, 0}, {s, s, 3}}},
		"one server again and again":            {events: []event{{s, s, 0}, {s, s, 0}, {s, s, 0}, {s, s, 0}}},
		"three servers of one zone":             {events: []event{{s, s, 0}, {s, s, 1}, {s, s, 2}}},
		"three servers of two zones":            {events: []event{{s, s, 0}, {s, s, 1}, {s, s, 3}}, unreachable: true},
		"an answer in between":                  {events: []event{{s, s, 0}, {s, s, 1}, {2 * s, s, -1}, {2 * s, s, 3}}},
		"an answer from before":                 {events: []event{{2 * s, 2 * s, 0}, {2 * s, 2 * s, 1}, {3 * s, s, -1}, {3 * s, 3 * s, 3}}, unreachable: true},
		"failures long ago":                     {events: []event{{s, s, 0}, {s, s, 1}, {7 * s, 7 * s, 3}}},
		"reachable again":                       {events: []event{{s, s, 0}, {s, s, 1}, {s, s, 3}, {4 * s, 3 * s, -1}}},
		"the only server":                       {events: []event{{s, s, 0}}, servers: servers[:1], unreachable: true},
		"no server listed":                      {events: []event{{s, s, 0}, {s, s, 1}, {s, s, 3}}, servers: []Server{}},
		"all servers of a service of one zone":  {events: []event{{s, s, 0}, {s, s, 1}}, servers: servers[:2], unreachable: true},
		"one server, another service is lost":   {events: []event{{s, s, 0}}, other: true, unreachable: true},
		"an answer, while another one is lost":  {events: []event{{s, s, 0}, {2 * s, 2 * s, -1}}, other: true},
		"an answer from before while it is out": {events: []event{{s, s, 0}, {s, s, 1}, {s, s, 3}, {9 * s, s / 2, -1}}, unreachable: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			if x.servers == nil {
				x.servers = servers
			}
			tr := NewTracker()
			if x.other {
				tr.Failed(0, 0, "other", Server{"o", "a"}, []Server{{"o", "a"}})
			}
			for _, e := range x.events {
				before := tr.Unreachable("models")
				var change Change
				var changed bool
				if e.server < 0 {
					change, changed = tr.Answered(e.at, e.began, "models")
				} else {
					change, changed = tr.Failed(e.at, e.began, "models", servers[e.server], x.servers)
				}
				c.Check(changed, qt.Equals, before != tr.Unreachable("models"))
				c.Check(changed && change.Unreachable != tr.Unreachable("models"), qt.IsFalse)
			}
			c.Check(tr.Unreachable("models"), qt.Equals, x.unreachable)
			c.Check(len(tr.All()) > 0, qt.Equals, x.unreachable || x.other)
		})
	}
}
