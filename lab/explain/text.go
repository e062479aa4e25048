package explain

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	clockFormat = "15:04:05.000"
	dateFormat  = "2006-01-02 15:04:05.000 MST"
	// maxSameEvents is the number of events with the same message in a row of which only the first and the last are
	// printed.
	maxSameEvents = 3
)

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	p := &printer{w: w}
	for i, q := range r.Requests {
		if i > 0 {
			p.line("")
		}
		q.write(p, r)
	}
	if n := r.Logs.Skipped; n > 0 {
		p.line("\n%d more lines belong to further requests with this ID and are left out.", n)
	}
	return p.err
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) list(title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	p.line("\n%s", title)
	for _, l := range lines {
		p.line("  %s", l)
	}
}

func (q *Request) write(p *printer, r *Report) {
	e, ended := q.End()
	p.line("request %s at host %s", r.ID, q.Host)
	if ended {
		p.line("%s%s after %s ms, sent to servers: %s", e.Get("outcome"), suffix(" (", e.Get("reason"), ")"), e.Get("took_ms"), e.Get("attempts"))
	} else {
		p.line("no end in the logs")
	}
	p.line("arrived %s%s%s", q.Arrived.Format(dateFormat), suffix(", service ", e.Get("service"), ""), suffix(", team ", e.Get("team"), ""))
	p.list("Findings", q.Findings())
	p.list("What the host knew at the arrival", q.inputs())
	p.line("\nEvents at %s (its clock; + is after the arrival; > marks the request itself)", q.Host)
	q.writeEvents(p, q.Host, r.ID)
	for _, host := range q.OtherHosts() {
		p.line("\nEvents at %s (its own clock, which may differ by up to %v)", host, clockSlack)
		q.writeEvents(p, host, r.ID)
	}
	p.list("Servers of the request, around that time at all hosts", q.serverLines())
	p.list("Counters with the same cause, at "+q.Host, q.Counters())
	p.list("About the logs", q.notes(&r.Logs))
}

// inputs describes the state that the host held when the request arrived.
func (q *Request) inputs() []string {
	s := &q.State
	ago := func(e Event) string { return fmt.Sprintf("%s before the arrival", round(q.Arrived.Sub(e.Time))) }
	known := func(e Event, name, text string) string {
		if e.Time.IsZero() {
			return name + ": not in the logs"
		}
		return name + ": " + text + ", " + ago(e)
	}
	end, _ := q.End()
	out := []string{
		known(s.Config, "configuration "+end.Get("config"), "first applied from "+s.Config.Get("source")),
		known(s.Applied, "published state", fmt.Sprintf("revision %s from %s", s.Applied.Get("revision"), s.Applied.Get("source"))),
		known(s.Store, "store", strings.TrimPrefix(s.Store.Message, "store ")),
		known(s.Partition, "partition", fmt.Sprintf("%s of %s with %s peers", s.Partition.Get("partition"), s.Partition.Get("partitions"), s.Partition.Get("peers"))),
		known(s.Started, "process", "started"),
	}
	if end.Get("config") == "" || end.Get("config") == "0" {
		out[0] = "configuration: none"
	}
	if !s.LastPause.Time.IsZero() {
		out = append(out, known(s.LastPause, "last pause", s.LastPause.Get("gap_ms")+" ms"))
	}
	if !s.Unreachable.Time.IsZero() {
		out = append(out, known(s.Unreachable, "last peer that did not send its state", s.Unreachable.Get("peer")))
	}
	return out
}

// writeEvents writes the events of a host. Of many events with the same message in a row, it writes the first and the
// last.
func (q *Request) writeEvents(p *printer, host, id string) {
	events := q.Related[host]
	for len(events) > 0 {
		n := 1
		for n < len(events) && events[n].Message == events[0].Message && events[n].Get("request") == "" {
			n++
		}
		if n <= maxSameEvents {
			for _, e := range events[:n] {
				q.writeEvent(p, e, id)
			}
		} else {
			q.writeEvent(p, events[0], id)
			p.line("  %24s %d more: %s", "", n-2, events[0].Message)
			q.writeEvent(p, events[n-1], id)
		}
		events = events[n:]
	}
}

func (q *Request) writeEvent(p *printer, e Event, id string) {
	mark := " "
	if e.Get("request") == id && e.Host == q.Host {
		mark = ">"
	}
	text := e.Message
	for _, f := range e.Fields {
		if f.Key == "role" || f.Key == "request" || f.Value == "" {
			continue
		}
		text += " " + f.Key + "=" + quoteIfNeeded(f.Value)
		if f.Key == "state" && e.Message == msgMember {
			text += memberStates[f.Value]
		}
	}
	p.line("%s %s %+9d ms  %s  [%s:%d]", mark, e.Time.Format(clockFormat), e.Time.Sub(q.Arrived).Milliseconds(), text, e.Source, e.Number)
}

// memberStates explains the numbers of member.State.
var memberStates = map[string]string{"0": " (alive)", "1": " (suspect)", "2": " (dead)"}

func (q *Request) serverLines() []string {
	var out []string
	for _, id := range q.ServerNames() {
		s := q.Servers[id]
		text := fmt.Sprintf("%s (%s): answered %d streams, refused %d requests", id, strings.Join(s.Uses, ", "), s.Answered, s.Refused)
		for _, reason := range slices.Sorted(maps.Keys(s.Failed)) {
			text += fmt.Sprintf(", failed %d (%s)", s.Failed[reason], reason)
		}
		if len(s.ExcludedBy) > 0 {
			text += ", excluded by"
			for _, host := range slices.Sorted(maps.Keys(s.ExcludedBy)) {
				text += fmt.Sprintf(" %s (%+d ms)", host, s.ExcludedBy[host].Milliseconds())
			}
		}
		out = append(out, text)
	}
	return out
}

// notes describes what limits the explanation.
func (q *Request) notes(logs *Logs) []string {
	out := []string{fmt.Sprintf("%d lines of %d hosts; a host that is missing can't be taken into account", logs.Lines, len(logs.Hosts))}
	differences := q.ClockDifferences()
	for _, host := range slices.Sorted(maps.Keys(differences)) {
		d, relation := differences[host], "ahead of"
		if d < 0 {
			relation = "behind"
		}
		out = append(out, fmt.Sprintf("the clock of %s seems to be %s %s that of %s, by the times of the same revisions", host, round(d.Abs()), relation, q.Host))
	}
	for _, host := range append([]string{q.Host}, q.OtherHosts()...) {
		if h := logs.Hosts[host]; h.StepBack > 0 {
			out = append(out, fmt.Sprintf("times of %s step back, by up to %s at %s: its clock was set back or its process paused while it wrote a line; its events are in the order of the log",
				host, round(h.StepBack), h.StepBackAt))
		}
	}
	if q.Left > 0 {
		out = append(out, fmt.Sprintf("%d more events around the request are left out; a smaller --around shows fewer", q.Left))
	}
	if h := logs.Hosts[q.Host]; h.Omitted > 0 {
		out = append(out, fmt.Sprintf("%s left out %d lines about single requests, possibly some of this one", q.Host, h.Omitted))
	}
	return append(out, logs.Broken...)
}

// suffix returns a value between two texts, or nothing if it is empty.
func suffix(before, value, after string) string {
	if value == "" {
		return ""
	}
	return before + value + after
}

func quoteIfNeeded(s string) string {
	if strings.ContainsAny(s, " \"=\t\n\r") {
		return strconv.Quote(s)
	}
	return s
}

// round rounds a duration for display: to ms below 10 s, else to 0.1 s.
func round(d time.Duration) time.Duration {
	if d < 10*time.Second {
		return d.Round(time.Millisecond)
	}
	return d.Round(100 * time.Millisecond)
}
