package load

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"slices"
)

// ReadResult reads a result that WriteJSON wrote.
func ReadResult(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("%s%s: %w", path, errorPlace(text, err), err)
	}
	if r.Name == "" || r.Sent == nil {
		return nil, fmt.Errorf("%s: no name or no requests sent, so it is no result of a load test", path)
	}
	return r, nil
}

// errorPlace returns the line of a JSON error as ":line", or nothing if the error names no place.
func errorPlace(text []byte, err error) string {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		offset = syntax.Offset
	case errors.As(err, &kind):
		offset = kind.Offset
	}
	if offset < 0 {
		return ""
	}
	return fmt.Sprintf(":%d", 1+bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n")))
}

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is what page.html shows.
type page struct {
	*Result
	Violations []string
	Kinds      []kindCount
	Plots      []template.HTML // SVG
	Latencies  []Latency
	LeftOut    []string // plots that the result has no data for
}

// kindCount counts the requests of one kind.
type kindCount struct {
	Kind           string
	Sent, Answered int
}

// leftOutPlots are the plots that no result has data for.
var leftOutPlots = []string{
	"Served requests by kind over time: the result holds the requests of the whole run only.",
	"Refusals by reason over time: the result holds the refusals of the whole run only.",
}

// WritePage writes the result as one HTML page that needs no other file.
func (r *Result) WritePage(w io.Writer) error {
	p := page{Result: r, Violations: r.Violations(), LeftOut: slices.Clone(leftOutPlots)}
	for _, k := range slices.Sorted(maps.Keys(r.Sent)) {
		p.Kinds = append(p.Kinds, kindCount{k, r.Sent[k], r.Answered[k]})
	}
	for _, x := range []struct {
		title, prefix string
		rows          []Latency
	}{
		{"Time to first token by prompt size", "", r.FirstToken},
		{"Time to the answer of a service call", "", r.Calls},
		{"Time to first token of short prompts by team", "team ", r.Teams},
	} {
		for _, l := range x.rows {
			p.Latencies = append(p.Latencies, Latency{x.prefix + l.Label, l.Quantiles})
		}
		if !slices.ContainsFunc(x.rows, func(l Latency) bool { return l.Count > 0 }) {
			p.LeftOut = append(p.LeftOut, x.title+": no request was answered.")
			continue
		}
		svg, err := latencySVG(x.title, x.rows)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, svg)
	}
	return pageTemplate.Execute(w, p)
}

// latencySVG returns a plot as an element of a page, without the header of an SVG file.
func latencySVG(title string, rows []Latency) (template.HTML, error) {
	p, err := latencyPlot(title, rows)
	if err != nil {
		return "", err
	}
	image, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var text bytes.Buffer
	if _, err := image.WriteTo(&text); err != nil {
		return "", err
	}
	start := bytes.Index(text.Bytes(), []byte("<svg"))
	if start < 0 {
		return "", Error.New("plot %q: no svg element", title)
	}
	return template.HTML(text.Bytes()[start:]), nil
}
