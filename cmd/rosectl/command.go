package main

import (
	"context"
	"errors"
	"io"
	"slices"

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
	values   *values // arguments that are no flags; nil if there are none
	run      func(ctx context.Context, out io.Writer) error
	children []*command

	sub *flaggy.Subcommand
}

// values are the arguments of a subcommand that are no flags. The first ones have names; the last name stands for all
// further ones if repeated is set.
type values struct {
	names, descriptions []string
	repeated            bool
	given               []string
}

// attach adds at most count values to a subcommand. flaggy needs a variable for each value, and refuses others.
func (v *values) attach(sc *flaggy.Subcommand, count int) {
	if !v.repeated {
		count = len(v.names)
	}
	v.given = make([]string, max(count, len(v.names)))
	for i := range v.given {
		name := min(i, len(v.names)-1)
		sc.AddPositionalValue(&v.given[i], v.names[name], i+1, false, v.descriptions[name])
		sc.PositionalFlags[i].Hidden = i > name
	}
}

// list returns the values that the arguments contain.
func (v *values) list() []string {
	return slices.DeleteFunc(slices.Clone(v.given), func(s string) bool { return s == "" })
}

func commands() []*command {
	return []*command{
		standinCommand(), configCommand(), loadCommand(), reportCommand(), explainCommand(), policyCommand(), placementCommand(), quarantineCommand(),
		limitsCommand(), soakCommand(), rolloutCommand(), isolationCommand(), trailCommand(), demoCommand(),
	}
}

// attach adds c and its children to parent. arguments is the number of arguments on the command line.
func (c *command) attach(parent *flaggy.Subcommand, arguments int) {
	c.sub = flaggy.NewSubcommand(c.name)
	c.sub.Description = c.summary
	if c.examples != "" {
		c.sub.AdditionalHelpAppend = "\nExamples:\n" + c.examples + "\n" + exitCodesHelp
	}
	if c.flags != nil {
		c.flags(c.sub)
	}
	if c.values != nil {
		c.values.attach(c.sub, arguments)
	}
	for _, child := range c.children {
		child.attach(c.sub, arguments)
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
	parser.Description = "Publish configurations, explain requests, run load tests and run stand-ins for outside systems."
	parser.AdditionalHelpAppend = exitCodesHelp
	parser.DisableShowVersionWithVersion()
	parser.ShowCompletion = false
	all := commands()
	for _, c := range all {
		c.attach(&parser.Subcommand, len(args))
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
