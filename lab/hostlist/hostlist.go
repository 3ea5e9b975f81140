// Package hostlist simulates the platform's host list, in which changes become
// visible only after a lag.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// version is a list of hosts and the time from which it is visible.
type version struct {
	visibleFrom time.Time
	hosts       []hosts.Host
}

// Server simulates the host list.
type Server struct {
	lag time.Duration

	mu sync.Mutex
	// versions holds the visible list and the later ones, oldest first.
	versions []version
}

// New returns a server with an initial list, or without a list if initial is nil.
func New(lag time.Duration, initial []hosts.Host) *Server {
	return &Server{lag: lag, versions: []version{{hosts: initial}}}
}

// Register adds the routes of the list and of its control to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/hosts", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.visibleHosts(time.Now()))
	})
	e.PUT("/lab/hosts", func(c echo.Context) error {
		var list []hosts.Host
		if err := json.NewDecoder(c.Request().Body).Decode(&list); err != nil {
			return c.NoContent(http.StatusBadRequest)
		}
		s.Set(list, time.Now())
		return c.NoContent(http.StatusOK)
	})
}

// Set replaces the list. The new list becomes visible after the lag, or immediately if
// there was none.
func (s *Server) Set(list []hosts.Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions[0].hosts == nil {
		s.versions[0].hosts = list
		return
	}
	s.versions = append(s.versions, version{visibleFrom: now.Add(s.lag), hosts: list})
}

// visibleHosts returns the list that is visible at a time.
func (s *Server) visibleHosts(now time.Time) []hosts.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.versions) > 1 && !now.Before(s.versions[1].visibleFrom) {
		s.versions = s.versions[1:]
	}
	return s.versions[0].hosts
}
