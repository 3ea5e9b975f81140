// Package orders simulates a plain order-handling service. POST /orders/confirm is not
// idempotent; GET /orders/{id} is. Its journal records which confirmations ran,
// independently of the system under test. Responses to confirmations can be held back.
package orders

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// Entry is the journal's record of one confirmation that ran.
type Entry struct {
	RequestID string `json:"request_id"`
	Body      string `json:"body"`
}

// Server simulates the service.
type Server struct {
	delay       time.Duration
	incarnation string

	mu      sync.Mutex
	journal []Entry
	// released is closed while responses to confirmations may be sent.
	released chan struct{}
}

// New returns a server that takes the delay for each confirmation.
func New(delay time.Duration) *Server {
	released := make(chan struct{})
	close(released)
	return &Server{delay: delay, incarnation: uuid.NewString(), released: released}
}

// receipt is the response to a confirmation or a status request.
type receipt struct {
	Order     string `json:"order"`
	RequestID string `json:"request_id"`
	Status    string `json:"status"`
}

// load is the load report. It has only the incarnation.
type load struct {
	Incarnation string `json:"incarnation"`
}

// Register adds the routes of the service and of its control to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/load", func(c echo.Context) error {
		return c.JSON(http.StatusOK, load{Incarnation: s.incarnation})
	})
	e.POST("/orders/confirm", s.confirm)
	e.GET("/orders/:id", func(c echo.Context) error {
		return c.JSON(http.StatusOK, receipt{Order: c.Param("id"), Status: "queued"})
	})
	e.PUT("/lab/hold", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.released = make(chan struct{})
		return c.NoContent(http.StatusOK)
	})
	e.PUT("/lab/release", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.released)
		return c.NoContent(http.StatusOK)
	})
	e.GET("/lab/journal", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(http.StatusOK, s.journal)
	})
}

// confirm records a confirmation in the journal and responds after the delay, once
// responses are not held back.
func (s *Server) confirm(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	id := c.Request().Header.Get("X-Request-Id")
	s.mu.Lock()
	s.journal = append(s.journal, Entry{RequestID: id, Body: string(body)})
	released := s.released
	s.mu.Unlock()
	time.Sleep(s.delay)
	<-released
	return c.JSON(http.StatusOK, receipt{Order: uuid.NewString(), RequestID: id, Status: "queued"})
}
