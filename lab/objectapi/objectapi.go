// Package objectapi simulates the platform's object API: named JSON objects with
// versions, conditional updates and watches, in memory. It counts and rate-limits
// calls. It can be unavailable, delay calls, or drop the responses of writes that
// have taken effect.
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

// Config configures the simulated API.
type Config struct {
	// WritesPerSecond and ReadsPerSecond limit the rates of calls; more are refused.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Faults are the current faults of the API.
type Faults struct {
	// Down refuses every call before it takes effect, and ends the open watches.
	Down bool `json:"down"`
	// DropResponses carries writes out and closes their connections without a response.
	DropResponses bool `json:"lose_answers"`
	// DelayMillis delays every call.
	DelayMillis int `json:"delay_millis"`
}

// Counts holds the numbers of calls so far. A watch also counts as a read.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

type key struct{ kind, name string }

// Server simulates the object API.
type Server struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	version int
	objects map[key]objects.Object
	history []objects.Event
	// changed is closed at each change.
	changed chan struct{}
	faults  Faults
	counts  Counts
	// endWatches is closed to end the open watches.
	endWatches chan struct{}
}

// New returns a server without objects.
func New(cfg Config) *Server {
	return &Server{
		reads:      rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadsPerSecond),
		writes:     rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.WritesPerSecond),
		objects:    make(map[key]objects.Object),
		changed:    make(chan struct{}),
		endWatches: make(chan struct{}),
	}
}

// Register adds the routes of the API and of its control to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	g := e.Group(objects.BasePath, s.limitAndInjectFaults)
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
		close(s.endWatches)
		s.endWatches = make(chan struct{})
	}
	return c.NoContent(http.StatusOK)
}

// limitAndInjectFaults is the middleware that counts calls and applies the rate limits and
// the faults.
func (s *Server) limitAndInjectFaults(next echo.HandlerFunc) echo.HandlerFunc {
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
		if f.DropResponses && write {
			c.SetResponse(echo.NewResponse(discardResponse{}, c.Echo()))
			_ = next(c)
			panic(http.ErrAbortHandler)
		}
		return next(c)
	}
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

// Header implements http.ResponseWriter.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

func (s *Server) get(c echo.Context) error {
	s.mu.Lock()
	o, ok := s.objects[key{c.Param("kind"), c.Param("name")}]
	s.mu.Unlock()
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return c.JSON(http.StatusOK, o)
}

// readObject decodes the object in a request's body and reports whether it is valid and
// not too large.
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
	return c.JSON(http.StatusCreated, s.put(k, o, objects.Added))
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
	return c.JSON(http.StatusOK, s.put(k, o, objects.Modified))
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
	s.recordEvent(objects.Deleted, o)
	return c.JSON(http.StatusOK, o)
}

// put stores an object under a new version and returns it. The caller holds the lock.
func (s *Server) put(k key, o objects.Object, eventType string) objects.Object {
	s.version++
	o.Kind = k.kind
	o.Metadata.ResourceVersion = strconv.Itoa(s.version)
	s.objects[k] = o
	s.recordEvent(eventType, o)
	return o
}

// recordEvent appends a change to the history and wakes the watches. The caller holds the
// lock.
func (s *Server) recordEvent(eventType string, o objects.Object) {
	s.history = append(s.history, objects.Event{Type: eventType, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch streams the current objects of a kind, a bookmark, and then each change.
func (s *Server) watch(c echo.Context) error {
	kind := c.Param("kind")
	c.Response().Header().Set(echo.HeaderContentType, "application/json")
	c.Response().WriteHeader(http.StatusOK)
	encoder := json.NewEncoder(c.Response())
	s.mu.Lock()
	s.counts.Watches++
	position := len(s.history)
	var events []objects.Event
	for k, o := range s.objects {
		if k.kind == kind {
			events = append(events, objects.Event{Type: objects.Added, Object: o})
		}
	}
	events = append(events, objects.Event{Type: objects.Bookmark, Object: objects.Object{Kind: kind}})
	endWatches := s.endWatches
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
		events = s.history[position:]
		position = len(s.history)
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			continue
		}
		select {
		case <-changed:
		case <-endWatches:
			return nil
		case <-c.Request().Context().Done():
			return nil
		}
	}
}
