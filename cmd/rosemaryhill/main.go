// Command rosemaryhill runs one role of an entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryhill/rosemaryhill/cmd/internal/daemon"
)

func main() {
	// A reload request or a reader of the log that went away must not end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(daemon.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
