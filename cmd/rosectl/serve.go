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

// shutdownTimeout bounds the wait for running calls of a stand-in after SIGTERM.
const shutdownTimeout = 2 * time.Second

// serve runs a stand-in at listen until ctx ends. The first line on out tells the address, since listen
// may leave the port to the system.
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
		grace, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(grace) != nil {
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
