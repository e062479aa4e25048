package entry

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"
)

const (
	// decisionsPerSecond and decisionBurst limit the log lines about single requests, so that a flood of
	// requests neither costs processor time nor hides other lines. A host usually serves about ten requests a
	// second.
	decisionsPerSecond = 50
	decisionBurst      = 200
)

// decisionLog writes a rate-limited log line for each decision about a request. A line that follows omitted
// ones carries their number.
type decisionLog struct {
	log     *logrus.Entry
	limit   *rate.Limiter
	omitted atomic.Int64
}

func newDecisionLog(log *logrus.Entry) *decisionLog {
	return &decisionLog{log: log, limit: rate.NewLimiter(decisionsPerSecond, decisionBurst)}
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
