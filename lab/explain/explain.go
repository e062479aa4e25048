// Package explain finds a request in the logs of entry hosts and collects what explains its end: its decisions, the
// state that its host held, and what happened to its host and its servers around that time.
//
// The logs are read twice, so that memory stays bounded: once for the request, once for the events around it. Times are
// compared within a host only, since the clocks of hosts may differ by up to clockSlack.
package explain

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryhill/rosemaryhill/lab/logline"
)

// Error is the class of all errors of this package.
var Error = errs.Class("explain")

const (
	// clockSlack is the difference between the clocks of two hosts up to which their events are related.
	clockSlack = time.Second
	// countAround is how much longer before and after the shown events those are that count for the findings, so that
	// these hardly depend on what is shown.
	countAround = 2 * clockSlack
	// minStepBack is how much a time must be before that of the preceding line to count as a clock that was set back.
	// Lines that are written at the same time may swap.
	minStepBack = 100 * time.Millisecond
	// maxRequests and maxEvents bound the memory for requests with the same ID, and for the events around one of them:
	// those of its host and, apart from them, those of all other hosts.
	maxRequests = 20
	maxEvents   = 2000
)

// Source is a log that can be read more than once. It may hold lines of several hosts and be compressed with gzip.
type Source struct {
	Name string
	Open func() (io.ReadCloser, error)
}

// Event is a log line with its place.
type Event struct {
	logline.Line
	Source string
	Number int // of the line in its source, from 1
	order  int // position among the lines of all sources
}

// Report is what the logs say about a request ID.
type Report struct {
	ID       string
	Requests []*Request // usually one; callers attempt a request again under another ID
	Logs     Logs
}

// Logs describes the logs that were read.
type Logs struct {
	Lines   int
	Hosts   map[string]*HostLog
	Broken  []string // one text for each source with broken lines or a damaged end
	Skipped int      // requests with the same ID beyond maxRequests
	order   int
}

// HostLog describes the lines of one host.
type HostLog struct {
	First, Last time.Time
	Omitted     int64         // lines about single requests that the host left out
	StepBack    time.Duration // the largest step back between two lines of one source; 0 if there is none
	StepBackAt  string        // source and number of the line after it
	previous    time.Time
}

// Options holds the parameters of an explanation.
type Options struct {
	ID string
	// Before and After are how long before the arrival and after the end of the request events are related to it.
	Before, After time.Duration
}

// Read reads the logs and explains a request. An error means that a log could not be opened or read at all; a request
// that is not in the logs leaves Requests empty.
func Read(ctx context.Context, o Options, sources []Source) (*Report, error) {
	r := &Report{ID: o.ID, Logs: Logs{Hosts: map[string]*HostLog{}}}
	if err := readAll(ctx, sources, r.findRequest, r.Logs.summarize); err != nil {
		return nil, err
	}
	if len(r.Requests) == 0 {
		return r, nil
	}
	for _, q := range r.Requests {
		q.prepare(o)
	}
	order := 0
	err := readAll(ctx, sources, func(e Event) {
		order++
		e.order = order
		for _, q := range r.Requests {
			q.relate(e)
		}
	}, nil)
	for _, q := range r.Requests {
		q.sort(r.Logs.Hosts)
	}
	return r, err
}

// readAll calls each for the events of all sources, and then done with the summary of each source.
func readAll(ctx context.Context, sources []Source, each func(Event), done func(Source, logline.Summary)) error {
	for _, src := range sources {
		in, err := src.Open()
		if err != nil {
			return err
		}
		s, err := logline.Read(in, func(n int, l logline.Line) error {
			each(Event{Line: l, Source: src.Name, Number: n})
			return ctx.Err()
		})
		if err = errs.Combine(err, in.Close()); err != nil {
			return Error.New("read %s: %w", src.Name, err)
		}
		if done != nil {
			done(src, s)
		}
	}
	return nil
}

// findRequest records the host of an event, and the event itself if it belongs to the request.
func (r *Report) findRequest(e Event) {
	r.Logs.order++
	e.order = r.Logs.order
	r.Logs.add(e)
	if e.Get("request") != r.ID {
		return
	}
	for _, q := range r.Requests {
		if q.Host == e.Host && !q.ended() {
			q.add(e)
			return
		}
	}
	if len(r.Requests) == maxRequests {
		r.Logs.Skipped++
		return
	}
	q := &Request{Host: e.Host}
	q.add(e)
	r.Requests = append(r.Requests, q)
}

func (s *Logs) add(e Event) {
	h := s.Hosts[e.Host]
	if h == nil {
		h = &HostLog{First: e.Time, Last: e.Time}
		s.Hosts[e.Host] = h
	}
	if e.Time.Before(h.First) {
		h.First = e.Time
	}
	if e.Time.After(h.Last) {
		h.Last = e.Time
	}
	if n, ok := e.Int("omitted"); ok {
		h.Omitted += n
	}
	if back := h.previous.Sub(e.Time); back >= minStepBack && back > h.StepBack {
		h.StepBack, h.StepBackAt = back, fmt.Sprintf("%s:%d", e.Source, e.Number)
	}
	h.previous = e.Time
}

// summarize records the end of a source.
func (s *Logs) summarize(src Source, sum logline.Summary) {
	s.Lines += sum.Lines
	if sum.Broken > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%s: %d lines are no events; the first is line %d: %v", src.Name, sum.Broken, sum.FirstAt, sum.FirstBroken))
	}
	if sum.Damaged != nil {
		s.Broken = append(s.Broken, fmt.Sprintf("%s: the rest can't be read: %v", src.Name, sum.Damaged))
	}
	for _, h := range s.Hosts {
		h.previous = time.Time{} // the sources of a host may be given in any order
	}
}

// HostNames returns the names of all hosts, sorted.
func (s *Logs) HostNames() []string { return slices.Sorted(maps.Keys(s.Hosts)) }

// Span returns the first and the last time of all lines.
func (s *Logs) Span() (first, last time.Time) {
	for _, h := range s.Hosts {
		if first.IsZero() || h.First.Before(first) {
			first = h.First
		}
		if h.Last.After(last) {
			last = h.Last
		}
	}
	return first, last
}

// Omitted returns the number of lines about single requests that the hosts left out.
func (s *Logs) Omitted() (n int64) {
	for _, h := range s.Hosts {
		n += h.Omitted
	}
	return n
}
