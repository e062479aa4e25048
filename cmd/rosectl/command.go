package main

import (
	"context"
	"errors"
	"io"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the command could not be completed
	exitUsage  = 2 // unknown flag, or a missing or invalid value
	exitCheck  = 3 // the command ran, but a check failed
)

const exitCodesHelp = "\nExit codes: 0 success, 1 failed, 2 invalid usage, 3 a check failed."

var (
	usageError = errs.Class("usage")
	checkError = errs.Class("check")
)

// command is a subcommand. children are its own subcommands; run is nil if it only groups them.
type command struct {
	name     string
	summary  string
	examples string
	flags    func(*flaggy.Subcommand)
	run      func(ctx context.Context, out io.Writer) error
	children []*command

	sub *flaggy.Subcommand
}

func commands() []*command {
	return []*command{standinCommand(), configCommand(), loadCommand(), policyCommand(), placementCommand(), quarantineCommand(), soakCommand(), demoCommand()}
}

// attach adds c and its children to parent.
func (c *command) attach(parent *flaggy.Subcommand) {
	c.sub = flaggy.NewSubcommand(c.name)
	c.sub.Description = c.summary
	if c.examples != "" {
		c.sub.AdditionalHelpAppend = "\nExamples:\n" + c.examples + "\n" + exitCodesHelp
	}
	if c.flags != nil {
		c.flags(c.sub)
	}
	for _, child := range c.children {
		child.attach(c.sub)
	}
	parent.AttachSubcommand(c.sub, 1)
}

// selectedCommand returns the innermost command that the arguments selected, or nil if there is none.
func selectedCommand(cs []*command) *command {
	for _, c := range cs {
		if c.sub.Used {
			if child := selectedCommand(c.children); child != nil {
				return child
			}
			return c
		}
	}
	return nil
}

// run parses args, runs the selected command and returns the exit code. flaggy itself exits the process
// with 0 after printing help and with 2 after an unknown flag.
func run(ctx context.Context, args []string, out io.Writer) int {
	parser := flaggy.NewParser("rosectl")
	parser.Description = "Publish configurations, run load tests and run stand-ins for outside systems."
	parser.AdditionalHelpAppend = exitCodesHelp
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	all := commands()
	for _, c := range all {
		c.attach(&parser.Subcommand)
	}
	if err := parser.ParseArgs(args); err != nil {
		return report(usageError.Wrap(err))
	}
	c := selectedCommand(all)
	if c == nil || c.run == nil {
		parser.ShowHelpWithMessage("A command is missing.")
		return exitUsage
	}
	return report(c.run(ctx, out))
}

func report(err error) int {
	if err == nil {
		return exitOK
	}
	code := exitFailed
	switch {
	case usageError.Has(err):
		code = exitUsage
	case checkError.Has(err):
		code = exitCheck
	case errors.Is(err, context.Canceled):
		err = errors.New("interrupted")
	}
	logrus.WithFields(logrus.Fields{"exit_code": code, "error": err.Error()}).Error("command failed")
	return code
}
