// Package load is a load generator. It sends the requests of an experiment file to the caller interface
// of a running system, checks every answer and reports latencies, refusals and violated invariants.
//
// The load is open loop: arrival times are drawn before the run, so a slow system gets no fewer
// requests, and latencies are measured from the drawn time.
package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// run is one experiment in progress.
type run struct {
	exp          *Experiment
	begin        time.Time
	callers      []*caller
	rec          *recorder
	filler       string // prompt text, at least as long as the longest prompt
	inFlight     atomic.Int64
	longRequests longTracker
}

// Run runs the experiment and returns its result. An error means that the experiment could not be run;
// violated invariants are in the result.
func Run(ctx context.Context, exp *Experiment) (*Result, error) {
	if err := exp.check(); err != nil {
		return nil, err
	}
	r := &run{exp: exp, rec: newRecorder(exp), filler: filler(exp.longestPrompt())}
	for i := range exp.Callers {
		r.callers = append(r.callers, newCaller(exp, i))
	}
	defer r.closeCallers()
	plan := exp.plan()
	logrus.WithFields(logrus.Fields{"experiment": exp.Name, "seed": exp.Seed, "arrivals": len(plan)}).Info("load run started")
	r.begin = time.Now()
	faults := r.scheduleFaults(ctx)
	r.sendArrivals(ctx, plan)
	faults.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	result := r.rec.result(exp, time.Since(r.begin))
	r.collectFinalState(ctx, result)
	return result, nil
}

// sendArrivals sends each request of the plan at its time and waits until all have ended.
func (r *run) sendArrivals(ctx context.Context, plan []arrival) {
	var all sync.WaitGroup
	for _, a := range plan {
		at := r.begin.Add(a.at)
		if !sleepUntil(ctx, at) {
			break
		}
		if r.inFlight.Load() >= int64(r.exp.MaxInFlight) {
			r.rec.countNotOffered()
			continue
		}
		r.inFlight.Add(1)
		r.rec.recordStartLag(time.Since(at))
		all.Go(func() {
			defer r.inFlight.Add(-1)
			r.send(ctx, a, at)
		})
	}
	all.Wait()
}

func (r *run) send(ctx context.Context, a arrival, at time.Time) {
	c := r.callers[a.id%len(r.callers)]
	switch a.kind {
	case kindGenerate:
		r.generate(ctx, c, a, at)
	case kindLookup:
		r.lookup(ctx, c, a, at)
	case kindPosting:
		r.posting(ctx, c, a, at)
	}
}

func (r *run) closeCallers() {
	for _, c := range r.callers {
		c.tr.CloseIdleConnections()
	}
}

// sleepUntil waits until the given time. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// longTracker records whether a long request ran at any time during another request.
type longTracker struct {
	running, started atomic.Int64
}

func (l *longTracker) begin() { l.started.Add(1); l.running.Add(1) }
func (l *longTracker) end()   { l.running.Add(-1) }

// watch returns a function that reports whether a long request ran at any time since the call of watch.
func (l *longTracker) watch() func() bool {
	running, started := l.running.Load(), l.started.Load()
	return func() bool { return running > 0 || l.started.Load() != started }
}
