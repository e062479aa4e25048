package main

import (
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/explain"
)

const (
	// defaultAround is how long a server is excluded at most.
	defaultAround = 6 * time.Second
	// aroundAfter divides the time before a request to get the time after it, in which less is of interest.
	aroundAfter = 3
)

// explainOptions holds the arguments of rosectl explain.
type explainOptions struct {
	values values
	around time.Duration
}

func explainCommand() *command {
	o := &explainOptions{
		around: defaultAround,
		values: values{
			names: []string{"ID", "LOG"},
			descriptions: []string{
				"the request's ID: request=ID in the logs, and the ID that the caller sent",
				"log of one or more entry hosts, plain or gzip, any number of them; none reads standard input",
			},
			repeated: true,
		},
	}
	return &command{
		name:    "explain",
		summary: "Tell from the logs of entry hosts why a request ended as it did",
		examples: `  rosectl explain q184 out/soak/h*.log
  zcat edge-*.log.gz | rosectl explain --around 30s 608478d9dff06ddb`,
		flags: func(sc *flaggy.Subcommand) {
			sc.Duration(&o.around, "", "around", "show events from this long before the request to a third of it after")
		},
		values: &o.values,
		run:    o.run,
	}
}

func (o *explainOptions) run(ctx context.Context, out io.Writer) (err error) {
	given := o.values.list()
	if len(given) == 0 {
		return usageError.New("the request's ID is missing; give it before the logs, as in: rosectl explain ID LOG...")
	}
	if o.around < 0 {
		return usageError.New("--around %v is negative", o.around)
	}
	id, names := given[0], given[1:]
	var sources []explain.Source
	for _, name := range names {
		if err := checkLog(name); err != nil {
			return err
		}
		sources = append(sources, explain.Source{Name: name, Open: func() (io.ReadCloser, error) { return os.Open(name) }})
	}
	if len(names) == 0 {
		src, remove, err := copyInput(ctx, os.Stdin)
		if err != nil {
			return err
		}
		defer remove()
		sources = append(sources, src)
	}
	r, err := explain.Read(ctx, explain.Options{ID: id, Before: o.around, After: o.around / aroundAfter}, sources)
	if err != nil {
		return err
	}
	if len(r.Requests) == 0 {
		return errors.New(notFound(r))
	}
	return r.WriteText(out)
}

func checkLog(name string) error {
	info, err := os.Stat(name)
	if err != nil {
		return usageError.New("%v; the first argument is the request's ID, all others are logs", err)
	}
	if info.IsDir() {
		return usageError.New("%s is a directory; name the log files in it, as in %s/*.log", name, name)
	}
	return nil
}

// copyInput copies standard input to a compressed temporary file, since logs are read twice. remove deletes the file.
func copyInput(ctx context.Context, in *os.File) (src explain.Source, remove func(), err error) {
	if info, err := in.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return src, nil, usageError.New("no logs: name log files after the request's ID, or pipe a log into the command")
	}
	f, err := os.CreateTemp("", "rosectl-explain-*.gz")
	if err != nil {
		return src, nil, err
	}
	remove = func() { _ = os.Remove(f.Name()) }
	copied := make(chan error, 1)
	go func() { copied <- compress(f, in) }()
	select {
	case err = <-copied:
	case <-ctx.Done(): // a read of standard input can't be interrupted, so it is left to the end of the process
		err = ctx.Err()
	}
	if err != nil {
		remove()
		return src, nil, fmt.Errorf("copy standard input to %s: %w", f.Name(), err)
	}
	return explain.Source{Name: "standard input", Open: func() (io.ReadCloser, error) { return os.Open(f.Name()) }}, remove, nil
}

func compress(out io.WriteCloser, in io.Reader) error {
	z, err := gzip.NewWriterLevel(out, gzip.BestSpeed)
	if err != nil {
		return err
	}
	_, err = io.Copy(z, in)
	return errors.Join(err, z.Close(), out.Close())
}

// notFound describes why a request may be missing in the logs.
func notFound(r *explain.Report) string {
	logs := &r.Logs
	broken := ""
	for _, b := range logs.Broken {
		broken += "; " + b
	}
	if logs.Lines == 0 {
		return "the logs contain no event; give logs of entry hosts, with lines as in: time=... level=info msg=... host=..." + broken
	}
	first, last := logs.Span()
	text := fmt.Sprintf("no line has request=%s; the logs hold %d lines of %d hosts from %s to %s",
		r.ID, logs.Lines, len(logs.Hosts), first.Format(time.RFC3339), last.Format(time.RFC3339))
	if n := logs.Omitted(); n > 0 {
		text += fmt.Sprintf("; the hosts left out %d lines about single requests (omitted=N), perhaps this one", n)
	}
	return text + "; give the logs of all hosts at the time of the request, and its ID as the caller sent it" + broken
}
