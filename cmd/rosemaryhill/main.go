// Command rosemaryhill runs one role of the serving layer: gateway, dispatcher or entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemaryhill/rosemaryhill/cmd/internal/daemon"
)

func main() {
	// Neither a reload request (SIGHUP) nor a closed log pipe (SIGPIPE) may end the process.
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(daemon.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
