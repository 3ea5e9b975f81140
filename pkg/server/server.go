// Package server runs an HTTP server until the process receives SIGTERM or SIGINT, and then
// shuts it down gracefully.
package server

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/intake"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/settings"
)

// NewEcho returns an HTTP router that prints no banner.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// SignalContext returns a context that ends when the process receives SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Drain makes a process refuse new requests and waits until the running ones have ended or
// the context ends.
type Drain func(context.Context) error

// Run listens on the configured address and serves until ctx ends. It then calls drain and
// shuts the server down, which together take at most the stop timeout.
func Run(ctx context.Context, s *settings.Common, gate *intake.Gate, handler http.Handler, drain Drain) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrapf(err, "can't listen on %s; choose another --listen", s.Listen)
	}
	return Serve(ctx, listener, s, gate, handler, drain)
}

// Options of the listener of a process that has only one.
const (
	// connectionShare leaves descriptors for connections to other processes.
	connectionShare = 0.75
	// bodyFactor covers the decoded content of a body beside the body.
	bodyFactor = 4
)

// NewGate returns the gate of a process with some resources, and limits the memory of the runtime.
func NewGate(r settings.Resources, registry prometheus.Registerer) *intake.Gate {
	limits := intake.Limits{MemoryBytes: int64(r.MemoryMB) << 20, Descriptors: r.MaxDescriptors}.Complete()
	limits.ApplyToRuntime()
	return intake.New(limits, registry)
}

// Serve does the same as Run on an open listener.
func Serve(ctx context.Context, listener net.Listener, s *settings.Common, gate *intake.Gate, handler http.Handler, drain Drain) error {
	srv, listener := NewHTTP(gate, listener, handler, intake.Options{
		Name: "all", Share: connectionShare, TLS: s.TLS.Certificate != "", BodyFactor: bodyFactor,
	})
	serveErr := make(chan error, 1)
	go func() { serveErr <- serve(srv, listener, &s.TLS) }()
	log := logging.For("server")
	log.WithField("address", listener.Addr()).Info("listening")
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "server failed; check --tls-certificate and --tls-key")
	case <-ctx.Done():
	}
	log.Info("stopping; waiting for running requests")
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
