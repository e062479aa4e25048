package rollout

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

const (
	// lossSlack is the time after the last byte of a request within which a host that has passed it on to no server may close
	// its connection: the request may have crossed the close.
	lossSlack = 200 * time.Millisecond
	// stopSlack is the time after the shutdown time until which a stop is the cause of a loss.
	stopSlack = time.Second
	// changeTime is the time after a reload or a configuration until which it is the cause of a loss.
	changeTime = 3 * time.Second
	// earlyTime is the time after SIGTERM until which callers may use old address lists, and lateShare the last part of the
	// shutdown time: a request of the early time that a server still processes in the last part may be cut.
	earlyTime = 3 * time.Second
	lateShare = 1.0 / 6
	// limitSlack is how long before the end of a request's time its host may end it.
	limitSlack = 50 * time.Millisecond
)

// Loss is a request that ended without a complete answer.
type Loss struct {
	Request, Kind, Host string
	Cause               string // planned work
	Kept                bool   // the connection had carried requests before
	Passed              bool   // it had been passed on to a server
	AfterWork           time.Duration
	Took                time.Duration
	Begun               bool // a part of the answer had arrived
	AfterStop           bool // it was sent after the SIGTERM
	Allowed             bool // its server was still at work at the end of the shutdown time
}

// Result is what a run has shown.
type Result struct {
	Requests, Served int
	Refused          int            // as not run
	Failures         map[string]int // with another complete answer, by kind and status
	Unread           int            // requests whose connection ended before the host had read them, or may have
	OutOfTime        int            // requests that ended without a complete answer when their time was over
	Expired          int            // stops that ended with requests in progress
	Losses           []Loss
	Broken           []string // promises that do not hold: requests that ran twice, or ran and were refused
	Problems         []string
	Work             map[string]int
}

// Lost returns the number of losses that nothing allows.
func (r *Result) Lost() (n int) {
	for _, l := range r.Losses {
		if !l.Allowed {
			n++
		}
	}
	return n
}

func (r *run) check() Result {
	res := Result{Requests: len(r.exchanges), Problems: r.problems, Expired: r.expired, Failures: map[string]int{}, Work: map[string]int{}}
	for _, w := range r.work {
		res.Work[string(w.kind)]++
	}
	runs, arrivals := r.fleet.Runs(), r.fleet.Arrivals(engines)
	maps.Copy(arrivals, r.fleet.Arrivals(plain))
	for _, x := range r.exchanges {
		passed := arrivals[x.ID]
		switch {
		case x.Complete && x.Status == http.StatusOK:
			res.Served++
			if x.Body != r.Profile.body(&x.KeptRequest) {
				res.Broken = append(res.Broken, fmt.Sprintf("request %s got %d bytes that are not the body of its server", x.ID, len(x.Body)))
			}
		case x.Complete && x.Status == http.StatusServiceUnavailable:
			res.Refused++
			if x.kind.Route == "unsafe" && runs[x.ID] > 0 {
				res.Broken = append(res.Broken, fmt.Sprintf("request %s was refused as not run, but ran", x.ID))
			}
		case x.Complete:
			res.Failures[fmt.Sprintf("%s, status %d", x.kind.Name, x.Status)]++
		case r.isLost(&x, passed):
			res.Losses = append(res.Losses, r.loss(&x, passed))
		case x.Sent && x.outOfTime():
			res.OutOfTime++
		default:
			res.Unread++
		}
		if x.kind.Route == "unsafe" && runs[x.ID] > 1 {
			res.Broken = append(res.Broken, fmt.Sprintf("request %s ran %d times", x.ID, runs[x.ID]))
		}
	}
	return res
}

// isLost reports whether a host has read a request whole and ended its connection without a complete answer.
func (r *run) isLost(x *exchange, passed []standin.Arrival) bool {
	if !x.Sent || x.outOfTime() {
		return false
	}
	return len(passed) > 0 || x.Status != 0 || x.EndedAt.Sub(x.SentAt) > lossSlack
}

// outOfTime reports whether the request ended when its time was over, so that its host may have ended it.
func (x *exchange) outOfTime() bool { return x.EndedAt.Sub(x.BegunAt) >= x.Timeout-limitSlack }

func (r *run) loss(x *exchange, passed []standin.Arrival) Loss {
	l := Loss{
		Request: x.ID, Kind: x.kind.Name, Host: x.host.Settings.HostID, Kept: x.Kept, Passed: len(passed) > 0, Begun: x.Status != 0,
		Took: x.EndedAt.Sub(x.SentAt), Cause: "none",
	}
	for _, w := range r.work {
		if w.host != nil && w.host != x.host || x.EndedAt.Before(w.at) {
			continue
		}
		within := changeTime
		if w.kind == stopWork {
			within = time.Duration(r.Profile.ShutdownMS)*time.Millisecond + stopSlack
		}
		// A stop explains a loss better than other work.
		if x.EndedAt.Before(w.at.Add(within)) && (w.kind == stopWork || l.Cause != string(stopWork)) {
			l.Cause, l.AfterWork = string(w.kind), x.SentAt.Sub(w.at)
			l.Allowed = w.kind == stopWork && l.Passed && r.mayBeCut(w.at, x)
			l.AfterStop = w.kind == stopWork && l.AfterWork > 0
		}
	}
	return l
}

// mayBeCut reports whether a stop may cut a request that is at a server because the server has not ended it in time.
func (r *run) mayBeCut(stop time.Time, x *exchange) bool {
	shutdown := time.Duration(r.Profile.ShutdownMS) * time.Millisecond
	late := stop.Add(shutdown - time.Duration(lateShare*float64(shutdown)))
	return !x.SentAt.After(stop.Add(earlyTime)) && x.EndedAt.After(late)
}

// WriteText writes the result as text.
func (r *Result) WriteText(w io.Writer) error {
	for _, kind := range slices.Sorted(maps.Keys(r.Work)) {
		fmt.Fprintf(w, "%-16s %d\n", kind, r.Work[kind])
	}
	allowed, accepted := 0, 0
	for _, l := range r.Losses {
		if l.Allowed {
			allowed++
		}
		if l.Allowed && l.AfterStop {
			accepted++
		}
	}
	fmt.Fprintf(w, "%d requests, %d served, %d refused, %d unread, %d out of time, %d lost\n",
		r.Requests, r.Served, r.Refused, r.Unread, r.OutOfTime, r.Lost())
	for _, what := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(w, "failed: %2d %s\n", r.Failures[what], what)
	}
	fmt.Fprintf(w, "%d of the stops ended with requests in progress; %d requests were cut as allowed, %d of them sent after the SIGTERM\n",
		r.Expired, allowed, accepted)
	counts := map[string]int{}
	for _, l := range r.Losses {
		if !l.Allowed {
			counts[fmt.Sprintf("%s, %s, kept connection %v, passed on %v, answer begun %v", l.Cause, l.Kind, l.Kept, l.Passed, l.Begun)]++
		}
	}
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "lost: %4d %s\n", counts[what], what)
	}
	for _, l := range r.Losses {
		if !l.Allowed {
			fmt.Fprintf(w, "%s %s on %s: %s, sent %v after it, ended %v later\n", l.Kind, l.Request, l.Host, l.Cause,
				l.AfterWork.Round(time.Millisecond), l.Took.Round(time.Millisecond))
		}
	}
	for _, text := range append(r.Broken, r.Problems...) {
		if _, err := fmt.Fprintln(w, text); err != nil {
			return err
		}
	}
	return nil
}
