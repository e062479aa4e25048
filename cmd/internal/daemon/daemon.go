// Package daemon implements the command line of the daemon. It is separate from package main so that tests
// can run it in their own processes.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"github.com/rosemaryhill/rosemaryhill/node/entry"
	"github.com/rosemaryhill/rosemaryhill/node/process"
	"github.com/rosemaryhill/rosemaryhill/node/settings"
	"github.com/rosemaryhill/rosemaryhill/platform"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1 // the role could not start, or its shutdown cut off requests
	ExitUsage    = 2 // invalid command line
	ExitSettings = 3 // the settings have mistakes
)

const help = `
Examples:
  rosemaryhill check --settings /etc/rosemaryhill.toml
  rosemaryhill check --settings /etc/gateway.toml --role gateway
  rosemaryhill gateway --settings /etc/rosemaryhill.toml
  rosemaryhill dispatcher --settings /etc/rosemaryhill.toml
  rosemaryhill entry --settings /etc/rosemaryhill.toml

SIGTERM starts the graceful shutdown: no running request is cut off.

Exit codes:
  0  orderly shutdown, or the settings are valid
  1  the role could not start, or its shutdown cut off requests
  2  invalid command line
  3  the settings have mistakes; each is listed with its file, key, value and the valid values`

// command is the parsed command line.
type command struct {
	settings, role             string
	gateway, dispatcher, entry *flaggy.Subcommand
	check                      *flaggy.Subcommand
}

// Main parses args, runs the command until it finishes or ctx is done, and returns the exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	c, err := parse(args)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if c.check.Used {
		return c.runCheck(stdout, stderr)
	}
	if c.entry.Used {
		return c.runEntry(ctx, stdout, stderr)
	}
	role := settings.RoleGateway
	if c.dispatcher.Used {
		role = settings.RoleDispatcher
	}
	return c.runRole(ctx, role, stdout, stderr)
}

func parse(args []string) (*command, error) {
	c := &command{
		role:       roleBoth,
		gateway:    flaggy.NewSubcommand("gateway"),
		dispatcher: flaggy.NewSubcommand("dispatcher"),
		entry:      flaggy.NewSubcommand("entry"),
		check:      flaggy.NewSubcommand("check"),
	}
	c.gateway.Description = "run the gateway, which accepts requests from callers"
	c.dispatcher.Description = "run the dispatcher, which places requests on engines"
	c.entry.Description = "run an entry host on the platform: gateway and placement in one process"
	c.check.Description = "validate the settings without starting"
	p := flaggy.NewParser("rosemaryhill")
	p.Description = "serving layer in front of language model engines and plain services"
	p.Version = "0.1.0"
	p.AdditionalHelpAppend = help
	for _, sub := range []*flaggy.Subcommand{c.gateway, c.dispatcher, c.entry, c.check} {
		sub.String(&c.settings, "s", "settings", "settings file (TOML)")
		sub.AdditionalHelpAppend = help
		p.AttachSubcommand(sub, 1)
	}
	c.check.String(&c.role, "r", "role", "role to check the settings for: gateway, dispatcher, entry or both (gateway and dispatcher)")
	if err := p.ParseArgs(args); err != nil {
		return nil, err
	}
	if !c.gateway.Used && !c.dispatcher.Used && !c.entry.Used && !c.check.Used {
		return nil, errors.New("a subcommand is missing: gateway, dispatcher, entry or check; see rosemaryhill --help")
	}
	if c.settings == "" {
		return nil, errors.New("the settings file is missing; give it with --settings FILE")
	}
	return c, nil
}

const roleBoth = "both"

func (c *command) runCheck(stdout, stderr io.Writer) int {
	var roles []settings.Role
	switch c.role {
	case roleBoth:
		roles = []settings.Role{settings.RoleGateway, settings.RoleDispatcher}
	case string(settings.RoleGateway), string(settings.RoleDispatcher), string(settings.RoleEntry):
		roles = []settings.Role{settings.Role(c.role)}
	default:
		fmt.Fprintf(stderr, "--role %q; valid: gateway, dispatcher, entry, both\n", c.role)
		return ExitUsage
	}
	if _, err := settings.Load(c.settings, roles...); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	fmt.Fprintf(stdout, "%s: valid for %s\n", c.settings, c.role)
	return ExitOK
}

func (c *command) runEntry(ctx context.Context, stdout, stderr io.Writer) int {
	s, err := settings.Load(c.settings, settings.RoleEntry)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	h, err := entry.Start(entry.Config{
		Settings: s, SettingsFile: c.settings, Dialect: platform.Dialect{}, LogTo: stdout, LogAside: true,
		OpenStore: func(log *logrus.Entry) entry.Store { return platform.NewStore(s.Entry.StoreAddress, log) },
	})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if err := h.Run(ctx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

func (c *command) runRole(ctx context.Context, role settings.Role, stdout, stderr io.Writer) int {
	s, err := settings.Load(c.settings, role)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitSettings
	}
	p, err := process.Start(process.Config{Settings: s, Role: role, LogTo: stderr, LogAside: true, TraceTo: stdout})
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if err := p.Run(ctx); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}
