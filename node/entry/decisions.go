package entry

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// decisionsPerS and decisionBurst bound the lines about single requests, so that a flood of requests
	// costs neither processor time nor the reader's attention. A host serves some ten requests a second
	// on a usual day.
	decisionsPerS = 50
	decisionBurst = 200
)

// decisionLog writes one line for each decision about a request, within a rate. A line that follows left
// out ones carries their number.
type decisionLog struct {
	log     *logrus.Entry
	limit   *rate.Limiter
	omitted atomic.Int64
}

func newDecisionLog(log *logrus.Entry) *decisionLog {
	return &decisionLog{log: log, limit: rate.NewLimiter(decisionsPerS, decisionBurst)}
}

func (d *decisionLog) write(f fields, message string) {
	if !d.limit.Allow() {
		d.omitted.Add(1)
		return
	}
	if n := d.omitted.Swap(0); n > 0 {
		f["omitted"] = n
	}
	d.log.WithFields(f).Info(message)
}
