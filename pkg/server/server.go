// Package server runs an HTTP server until the process is told to stop, and
// then stops it without cutting off a request.
package server

import (
	"context"
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

// Run serves until ctx ends. It then calls drain, which may take up to the stop
// timeout, and shuts the server down.
func Run(ctx context.Context, s *settings.Common, handler http.Handler, drain func(context.Context) error) error {
	srv := &http.Server{Addr: s.Listen, Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- listen(srv, &s.TLS) }()
	log := logging.For("server")
	log.WithField("address", s.Listen).Info("listening")
	select {
	case err := <-failed:
		return errors.Wrapf(err, "can't listen on %s; choose another --listen", s.Listen)
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

// readHeaderTimeout bounds the reading of a request's header.
const readHeaderTimeout = 10 * time.Second

func listen(srv *http.Server, t *settings.TLS) error {
	if t.Certificate != "" {
		return srv.ListenAndServeTLS(t.Certificate, t.Key)
	}
	return srv.ListenAndServe()
}
