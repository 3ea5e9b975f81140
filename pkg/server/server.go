// Package server runs an HTTP server until the process is told to stop, and
// then stops it without cutting off a request.
package server

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/settings"
)

// NewEcho returns an HTTP router without banners.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// SignalContext returns a context that ends when the process is told to stop.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 10 * time.Second

// Drain makes a process take no new work and waits for the running work, until
// the context ends.
type Drain func(context.Context) error

// Run listens on the configured address and serves until ctx ends. It then calls
// drain and shuts the server down, which together may take up to the stop
// timeout.
func Run(ctx context.Context, s *settings.Common, handler http.Handler, drain Drain) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrapf(err, "can't listen on %s; choose another --listen", s.Listen)
	}
	return Serve(ctx, listener, s, handler, drain)
}

// Serve is Run on a listener.
func Serve(ctx context.Context, listener net.Listener, s *settings.Common, handler http.Handler, drain Drain) error {
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- serve(srv, listener, &s.TLS) }()
	log := logging.For("server")
	log.WithField("address", listener.Addr()).Info("listening")
	select {
	case err := <-failed:
		return errors.Wrap(err, "server failed; check --tls-certificate and --tls-key")
	case <-ctx.Done():
	}
	log.Info("stopping; running requests go on")
	stopCtx, cancel := context.WithTimeout(context.Background(), s.StopTimeout)
	defer cancel()
	if err := drain(stopCtx); err != nil {
		log.WithError(err).Warn("requests were still running at the stop timeout")
	}
	return errors.Wrap(srv.Shutdown(stopCtx), "connections were still open at the stop timeout; raise --stop-timeout")
}

func serve(srv *http.Server, listener net.Listener, t *settings.TLS) error {
	if t.Certificate != "" {
		return srv.ServeTLS(listener, t.Certificate, t.Key)
	}
	return srv.Serve(listener)
}
