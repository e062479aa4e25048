package load

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rosemaryhill/rosemaryhill/node/servicehttp"
)

// faultTimeout limits a call to a stand-in's fault or executions endpoint.
const faultTimeout = 2 * time.Second

// scheduleFaults calls the fault endpoints in the background, each at its time. The returned WaitGroup is
// done after the last call.
func (r *run) scheduleFaults(ctx context.Context) *sync.WaitGroup {
	faults := slices.Clone(r.exp.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int {
		if a.AtS < b.AtS {
			return -1
		}
		return 1
	})
	var done sync.WaitGroup
	done.Go(func() {
		for _, f := range faults {
			if !sleepUntil(ctx, r.begin.Add(time.Duration(f.AtS*float64(time.Second)))) {
				return
			}
			r.setFault(ctx, f)
		}
	})
	return &done
}

func (r *run) setFault(ctx context.Context, f Fault) {
	address, _ := r.exp.Targets.find(f.Target) // checked before the run
	ctx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	c := serviceClient(f.Target, address)
	resp, err := c.Lookup(ctx, servicehttp.Call{Method: http.MethodPost, Path: "/faults", Body: []byte(f.Body)})
	fields := logrus.Fields{"target": f.Target, "at_s": f.AtS, "body": f.Body}
	switch {
	case err != nil:
		r.rec.countFaultFailed(f.Target)
		logrus.WithFields(fields).WithError(err).Error("fault not set")
	case resp.Status != http.StatusOK:
		r.rec.countFaultFailed(f.Target)
		logrus.WithFields(fields).WithField("status", resp.Status).Error("fault not set")
	default:
		logrus.WithFields(fields).Info("fault set")
	}
}
