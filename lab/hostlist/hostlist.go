// Package hostlist is a stand-in for the platform's host list. It shows changes
// only after a lag.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// change is a list of hosts and when it becomes visible.
type change struct {
	visible time.Time
	hosts   []hosts.Host
}

// Server is the stand-in.
type Server struct {
	lag time.Duration

	mu      sync.Mutex
	changes []change
}

// New returns a stand-in with a first list.
func New(lag time.Duration, first []hosts.Host) *Server {
	return &Server{lag: lag, changes: []change{{hosts: first}}}
}

// Register adds the stand-in's routes to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/hosts", func(c echo.Context) error {
		return c.JSON(http.StatusOK, s.visible(time.Now()))
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

// Set replaces the list, visibly after the lag. The first list is visible at
// once.
func (s *Server) Set(list []hosts.Host, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changes[0].hosts == nil {
		s.changes[0].hosts = list
		return
	}
	s.changes = append(s.changes, change{visible: now.Add(s.lag), hosts: list})
}

func (s *Server) visible(now time.Time) []hosts.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.changes) > 1 && !now.Before(s.changes[1].visible) {
		s.changes = s.changes[1:]
	}
	return s.changes[0].hosts
}
