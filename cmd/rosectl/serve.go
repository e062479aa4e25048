package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// shutdownTimeout is how long a stand-in waits for running requests after SIGTERM or an interrupt.
const shutdownTimeout = 2 * time.Second

// serve runs a stand-in on the address listen until ctx ends. It writes the actual address to out first,
// because listen may leave the choice of the port to the system.
func serve(ctx context.Context, kind, listen string, h http.Handler, out io.Writer) error {
	if listen == "" {
		return usageError.New("--listen is missing, for example --listen 127.0.0.1:7100")
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	fmt.Fprintf(out, "kind=%s address=%s\n", kind, ln.Addr())
	log := logrus.WithFields(logrus.Fields{"standin": kind, "address": ln.Addr().String()})
	log.Info("listening")
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(shutdownCtx) != nil {
			srv.Close()
		}
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	<-stopped
	log.Info("stopped")
	return nil
}
