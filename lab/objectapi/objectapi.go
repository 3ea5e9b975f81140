// Package objectapi is a stand-in for the platform's object API: named JSON
// objects with versions, conditional updates and watches, in memory. It counts
// calls, limits their rate, and can be made unavailable, slow, or to lose the
// answer of a write after it took effect.
package objectapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/acaciaglade/acaciaglade/pkg/objects"
)

// Config is the settings of the stand-in.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit the rates.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Faults is what goes wrong now.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// LoseAnswers makes every write fail after it took effect.
	LoseAnswers bool `json:"lose_answers"`
	// DelayMillis delays every call.
	DelayMillis int `json:"delay_millis"`
}

// Counts is the number of calls so far.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

type key struct{ kind, name string }

// Server is the stand-in.
type Server struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	version  int
	objects  map[key]objects.Object
	log      []objects.Event
	changed  chan struct{}
	faults   Faults
	counts   Counts
	breakers chan struct{}
}

// New returns an empty stand-in.
func New(cfg Config) *Server {
	return &Server{
		reads:    rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadsPerSecond),
		writes:   rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.WritesPerSecond),
		objects:  make(map[key]objects.Object),
		changed:  make(chan struct{}),
		breakers: make(chan struct{}),
	}
}

// Register adds the stand-in's routes to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	g := e.Group(objects.BasePath, s.interfere)
	g.GET("/:kind", s.watch)
	g.POST("/:kind", s.create)
	g.GET("/:kind/:name", s.get)
	g.PUT("/:kind/:name", s.update)
	g.DELETE("/:kind/:name", s.remove)
	e.PUT("/lab/faults", s.setFaults)
	e.GET("/lab/counts", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		return c.JSON(http.StatusOK, s.counts)
	})
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := json.NewDecoder(c.Request().Body).Decode(&f); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.Down {
		close(s.breakers)
		s.breakers = make(chan struct{})
	}
	return c.NoContent(http.StatusOK)
}

// interfere applies the rate limits and faults.
func (s *Server) interfere(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		write := c.Request().Method != http.MethodGet
		s.mu.Lock()
		f := s.faults
		if write {
			s.counts.Writes++
		} else {
			s.counts.Reads++
		}
		s.mu.Unlock()
		limiter := s.reads
		if write {
			limiter = s.writes
		}
		if !limiter.Allow() {
			return c.NoContent(http.StatusTooManyRequests)
		}
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if f.Down {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if f.LoseAnswers && write {
			c.SetResponse(echo.NewResponse(discard{}, c.Echo()))
			_ = next(c)
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// discard is a response that goes nowhere.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

func (s *Server) get(c echo.Context) error {
	s.mu.Lock()
	o, ok := s.objects[key{c.Param("kind"), c.Param("name")}]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, o)
}

func readObject(c echo.Context) (objects.Object, bool) {
	var o objects.Object
	body := http.MaxBytesReader(c.Response(), c.Request().Body, objects.MaxValueBytes)
	return o, json.NewDecoder(body).Decode(&o) == nil
}

func (s *Server) create(c echo.Context) error {
	o, ok := readObject(c)
	if !ok {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{c.Param("kind"), o.Metadata.Name}
	if _, exists := s.objects[k]; exists {
		return c.NoContent(http.StatusConflict)
	}
	return c.JSON(http.StatusCreated, s.store(k, o, objects.Added))
}

func (s *Server) update(c echo.Context) error {
	o, ok := readObject(c)
	if !ok {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{c.Param("kind"), c.Param("name")}
	current, exists := s.objects[k]
	if !exists {
		return c.NoContent(http.StatusNotFound)
	}
	if current.Metadata.ResourceVersion != o.Metadata.ResourceVersion {
		return c.NoContent(http.StatusConflict)
	}
	return c.JSON(http.StatusOK, s.store(k, o, objects.Modified))
}

func (s *Server) remove(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{c.Param("kind"), c.Param("name")}
	o, exists := s.objects[k]
	if !exists {
		return c.NoContent(http.StatusNotFound)
	}
	delete(s.objects, k)
	s.change(objects.Deleted, o)
	return c.JSON(http.StatusOK, o)
}

// store writes an object. The caller holds the lock.
func (s *Server) store(k key, o objects.Object, change string) objects.Object {
	s.version++
	o.Kind = k.kind
	o.Metadata.ResourceVersion = strconv.Itoa(s.version)
	s.objects[k] = o
	s.change(change, o)
	return o
}

// change tells the watches of a change. The caller holds the lock.
func (s *Server) change(change string, o objects.Object) {
	s.log = append(s.log, objects.Event{Type: change, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch streams the current objects of a kind, and then each change.
func (s *Server) watch(c echo.Context) error {
	kind := c.Param("kind")
	c.Response().Header().Set(echo.HeaderContentType, "application/json")
	c.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(c.Response())
	s.mu.Lock()
	s.counts.Watches++
	position := len(s.log)
	var events []objects.Event
	for k, o := range s.objects {
		if k.kind == kind {
			events = append(events, objects.Event{Type: objects.Added, Object: o})
		}
	}
	events = append(events, objects.Event{Type: objects.Bookmark, Object: objects.Object{Kind: kind}})
	breaker := s.breakers
	s.mu.Unlock()
	for {
		for _, e := range events {
			if e.Object.Kind != kind {
				continue
			}
			if err := encoder.Encode(e); err != nil {
				return err
			}
		}
		c.Response().Flush()
		s.mu.Lock()
		events = s.log[position:]
		position = len(s.log)
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-breaker:
			return nil
		case <-c.Request().Context().Done():
			return nil
		}
	}
}
