package load

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Size of the SVG.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// minPlotMS is the lowest value that the y axis is fitted to. It is the resolution of the histograms.
const minPlotMS = 0.001

// WritePlot writes an SVG with the time to the first token by prompt size on a logarithmic scale.
func (r *Result) WritePlot(path string) error {
	p, err := latencyPlot("Time to first token, "+r.Name, r.FirstToken)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// latencyPlot plots a line for each percentile over the rows that have samples.
func latencyPlot(title string, rows []Latency) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	var names []string
	var at []Quantiles
	for _, l := range rows {
		if l.Count > 0 {
			names, at = append(names, l.Label), append(at, l.Quantiles)
		}
	}
	if len(names) == 0 {
		names, at = []string{"no answer"}, []Quantiles{{P50: 1, P95: 1, P99: 1}}
	}
	lowest, highest := at[0].P50, at[0].P99
	for _, q := range at {
		lowest, highest = max(minPlotMS, min(lowest, q.P50)), max(highest, q.P99)
	}
	for _, s := range []struct {
		name  string
		color color.Color
		of    func(Quantiles) float64
	}{
		{"p50", color.RGBA{R: 46, G: 125, B: 50, A: 255}, func(q Quantiles) float64 { return q.P50 }},
		{"p95", color.RGBA{R: 239, G: 108, A: 255}, func(q Quantiles) float64 { return q.P95 }},
		{"p99", color.RGBA{R: 183, G: 28, B: 28, A: 255}, func(q Quantiles) float64 { return q.P99 }},
	} {
		points := make(plotter.XYs, len(at))
		for i, q := range at {
			points[i] = plotter.XY{X: float64(i), Y: s.of(q)}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return nil, err
		}
		line.Color, marks.Color, marks.Shape = s.color, s.color, draw.CircleGlyph{}
		p.Add(line, marks)
		p.Legend.Add(s.name, line, marks)
	}
	// A logarithmic axis needs a range above 0, even for a single point.
	p.Y.Min, p.Y.Max = lowest/2, highest*2
	p.NominalX(names...)
	return p, nil
}
