package isolation

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/rosemaryhill/rosemaryhill/platform/standin"
)

// columns are the paths of a table in order.
var columns = []string{standin.SafePath, standin.UnsafePath, standin.StreamPath}

// Table writes results as the lines of a table, each as soon as it is there.
type Table struct{ w *tabwriter.Writer }

// NewTable writes the head of a table.
func NewTable(w io.Writer) Table {
	t := Table{tabwriter.NewWriter(w, 20, 0, 2, ' ', 0)}
	fmt.Fprintf(t.w, "cut off\tmode\tload\tsafe: isolated\tothers\tunsafe: isolated\tothers\tstreams: isolated\tothers\tfirst %v: isolated\tothers\tstore calls/s\tbroken promises\n", DetectionTime)
	_ = t.w.Flush() // an error shows in the next line
	return t
}

// Add writes the line of a result.
func (t Table) Add(r Result) error {
	fmt.Fprintf(t.w, "%s\t%s\t%.1f", r.Set.Name, r.Cut, r.Load)
	for _, path := range columns {
		fmt.Fprintf(t.w, "\t%v\t%v", r.Isolated[path], r.Others[path])
	}
	fmt.Fprintf(t.w, "\t%v\t%v\t%.1f, %.1f before\t%d\n", sum(r.EarlyIsolated), sum(r.EarlyOthers), r.StoreDuring, r.StoreBefore, len(r.Broken))
	return t.w.Flush()
}

func sum(counts map[string]Count) (all Count) {
	for _, n := range counts {
		all.Sent += n.Sent
		all.Served += n.Served
	}
	return all
}
