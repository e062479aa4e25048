package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/rosemaryhill/rosemaryhill/lab/load"
)

// reportOptions holds the arguments of rosectl report.
type reportOptions struct {
	values values
	page   string
}

func reportCommand() *command {
	o := &reportOptions{values: values{
		names:        []string{"FILE"},
		descriptions: []string{"result that rosectl load wrote with --json"},
	}}
	return &command{
		name:    "report",
		summary: "Turn the result of a load test into one HTML page",
		examples: `  rosectl load --experiment kernhof --loopback --json out/kernhof.json
  rosectl report out/kernhof.json`,
		flags: func(sc *flaggy.Subcommand) {
			sc.String(&o.page, "o", "output", "file for the page; default: FILE with the ending .html")
		},
		values: &o.values,
		run:    o.run,
	}
}

func (o *reportOptions) run(_ context.Context, out io.Writer) error {
	given := o.values.list()
	if len(given) == 0 {
		return usageError.New("the file with the result is missing; write one with: rosectl load --json FILE")
	}
	file := given[0]
	res, err := load.ReadResult(file)
	if err != nil {
		return usageError.New("%v; give a result that was written with: rosectl load --json FILE", err)
	}
	if o.page == "" {
		o.page = strings.TrimSuffix(file, filepath.Ext(file)) + ".html"
	}
	if o.page == file {
		return usageError.New("--output names the result %s itself", file)
	}
	if err := writePage(res, o.page); err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, o.page)
	return err
}

func writePage(res *load.Result, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(res.WritePage(f), f.Close())
}
