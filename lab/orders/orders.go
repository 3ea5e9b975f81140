// Package orders is a stand-in for a plain order-handling service. POST
// /orders/confirm is not idempotent; GET /orders/{id} is. Its journal counts
// from outside what ran. Its answers can be held back.
package orders

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
)

// Entry is one line of the journal.
type Entry struct {
	RequestID string `json:"request_id"`
	Body      string `json:"body"`
}

// Server is the stand-in.
type Server struct {
	delay       time.Duration
	incarnation string

	mu      sync.Mutex
	journal []Entry
	// held is closed when confirmations may be answered.
	held chan struct{}
}

// New returns a stand-in that takes some time for each confirmation.
func New(delay time.Duration) *Server {
	released := make(chan struct{})
	close(released)
	return &Server{delay: delay, incarnation: uuid.NewString(), held: released}
}

// receipt is the answer to a confirmation.
type receipt struct {
	Order     string `json:"order"`
	RequestID string `json:"request_id"`
	Status    string `json:"status"`
}

// load is the report of the stand-in's load.
type load struct {
	Incarnation string `json:"incarnation"`
}

// Register adds the stand-in's routes to an HTTP server.
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
		s.held = make(chan struct{})
		return c.NoContent(http.StatusOK)
	})
	e.PUT("/lab/release", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		close(s.held)
		return c.NoContent(http.StatusOK)
	})
	e.GET("/lab/journal", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(http.StatusOK, s.journal)
	})
}

func (s *Server) confirm(c echo.Context) error {
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	id := c.Request().Header.Get("X-Request-Id")
	s.mu.Lock()
	s.journal = append(s.journal, Entry{RequestID: id, Body: string(body)})
	held := s.held
	s.mu.Unlock()
	time.Sleep(s.delay)
	<-held
	return c.JSON(http.StatusOK, receipt{Order: uuid.NewString(), RequestID: id, Status: "queued"})
}
