package trail

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// Lag sums up how far hosts trail.
type Lag struct {
	Longest time.Duration
	Late    int // requests more than Bound after the ack
}

func (l *Lag) add(trail time.Duration) {
	l.Longest = max(l.Longest, trail)
	if trail > Bound {
		l.Late++
	}
}

// Result is what a run has shown. Config is about requests that were handled as only an older version allows, by the time from the
// ack of the next version to the request; Leaving about requests that reached a server that had left, by the time from
// the ack of its leaving to the arrival.
type Result struct {
	Faults                  int
	Versions, Leaves        int
	Requests, Served        int
	Config, Leaving         Lag // of all requests
	CalmConfig, CalmLeaving Lag // without faults in the calm time before the request
	Denied                  int // requests that all versions allow and that were answered 401, 403 or 404
	Examples                []string
	Problems                []string
}

// maxExamples is the number of late requests that are described.
const maxExamples = 6

// handledBy returns the newest version that handles a request in the way that was seen, or false if the answer tells nothing.
func (r *run) handledBy(q *request, services map[string]int, arrivals map[string][]standin.Arrival) (last int, known bool) {
	newest := r.newestAt(q.EndedAt)
	denied := isDenied(q)
	switch {
	case q.kind == onMoved:
		service, ran := services[q.ID]
		if !ran {
			return 0, false
		}
		last = newest - (newest-service+movedServices)%movedServices
		return last, last >= 0
	case q.kind == onLasting:
		return 0, false
	case denied && newest > q.index+1:
		return newest, true
	case denied:
		return q.index - 1, true
	case len(arrivals[q.ID]) > 0:
		return min(newest, q.index+1), true
	}
	return 0, false
}

// newestAt returns the newest version that a host may know at a time.
func (r *run) newestAt(t time.Time) int {
	i, _ := slices.BinarySearchFunc(r.versions, t, func(v version, t time.Time) int { return v.sent.Compare(t) })
	return i - 1
}

// movedRuns returns the index of the service that each request on the moved route has reached.
func (r *run) movedRuns() map[string]int {
	out := map[string]int{}
	for i := range movedServices {
		for id := range r.fleet.Arrivals(movedService(i)) {
			out[id] = i
		}
	}
	return out
}

// calm reports whether the bound holds for a host at a request.
func (r *run) calm(q *request) bool {
	return !slices.ContainsFunc(r.troubles, func(x trouble) bool {
		return (x.host == nil || x.host == q.host) && x.from.Before(q.EndedAt) && x.to.Add(calmTime).After(q.SentAt)
	})
}

func (r *run) judge() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writing.Lock()
	defer r.writing.Unlock()
	res := Result{Faults: r.faults, Versions: len(r.versions), Leaves: len(r.leaves), Requests: len(r.requests), Problems: r.problems}
	services, arrivals := r.movedRuns(), r.fleet.Arrivals(poolService)
	for i := range r.requests {
		q := &r.requests[i]
		if q.Status == http.StatusOK && q.Complete {
			res.Served++
		}
		if (q.kind == onMoved || q.kind == onLasting) && isDenied(q) {
			res.Denied++
			res.example("denied", r, q, 0)
		}
		if last, known := r.handledBy(q, services, arrivals); known && last+1 < len(r.versions) {
			if trail := q.BegunAt.Sub(r.versions[last+1].acked); trail > 0 {
				res.count("older version", &res.Config, &res.CalmConfig, r, q, trail)
			}
		}
		for _, a := range arrivals[q.ID] {
			if left, has := r.leaves[a.Server]; has && a.At.After(left) {
				res.count("server "+a.Server+" that had left", &res.Leaving, &res.CalmLeaving, r, q, a.At.Sub(left))
			}
		}
	}
	return res
}

func isDenied(q *request) bool {
	return slices.Contains([]int{http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound}, q.Status)
}

func (res *Result) count(what string, all, calm *Lag, r *run, q *request, trail time.Duration) {
	all.add(trail)
	if r.calm(q) {
		calm.add(trail)
	}
	if trail > Bound {
		res.example(what, r, q, trail)
	}
}

// example describes a late request.
func (res *Result) example(what string, r *run, q *request, trail time.Duration) {
	if len(res.Examples) < maxExamples {
		res.Examples = append(res.Examples, fmt.Sprintf("%s %s: %s, %d ms, sent %s, status %d, calm %v", q.ID, q.Path, what,
			trail.Milliseconds(), q.BegunAt.UTC().Format("15:04:05.000"), q.Status, r.calm(q)))
	}
}

// WriteHeader writes the head of the table that WriteRow adds rows to.
func WriteHeader(w io.Writer) {
	fmt.Fprintln(w, "config and left: longest trail in ms, requests beyond 2.0 s; calm: without faults in the 3.0 s before the request")
	fmt.Fprintf(w, "%-26s %5s %5s %6s | %13s %13s | %13s %13s | %6s %8s %8s %8s\n", "fault", "hosts", "seed", "faults",
		"config", "calm", "left", "calm", "denied", "versions", "leaves", "requests")
}

// WriteRow writes the result of a run as a row of a table.
func (res *Result) WriteRow(w io.Writer, cfg Config) {
	lag := func(l Lag) string { return fmt.Sprintf("%6d %6d", l.Longest.Milliseconds(), l.Late) }
	fmt.Fprintf(w, "%-26s %5d %5d %6d | %s %s | %s %s | %6d %8d %8d %8d\n", strings.Join(cfg.Faults, "+"), cfg.Hosts, cfg.Seed, res.Faults,
		lag(res.Config), lag(res.CalmConfig), lag(res.Leaving), lag(res.CalmLeaving), res.Denied, res.Versions, res.Leaves, res.Requests)
}
