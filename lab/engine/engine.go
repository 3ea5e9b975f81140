// Package engine is a stand-in for a model engine that batches continuously:
// each step gives every running request one token. Its step time grows with the
// batch, and a cold engine is slow and falls over under full load.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Config is the settings of the stand-in.
type Config struct {
	// Model is the model's name.
	Model string
	// Slots is how many requests run at once.
	Slots int
	// Step is the time of a step with an empty batch.
	Step time.Duration
	// StepPerRequest is what each running request adds to a step.
	StepPerRequest time.Duration
	// ColdSteps is how many steps a cold engine takes to warm up.
	ColdSteps int
	// ColdSlowdown is how much slower a cold engine is.
	ColdSlowdown float64
	// LoadLag is how old the load is that the engine reports.
	LoadLag time.Duration
	// Lockstep, if any, makes the ranks of a group enter each step. Its time is
	// added to that of the step.
	Lockstep *Lockstep
}

// Server is the stand-in.
type Server struct {
	cfg Config

	mu          sync.Mutex
	incarnation string
	running     map[*sequence]bool
	// paused holds requests that gave their slot to priority work.
	paused []*sequence
	// reports holds the loads that are not older than the lag, and one that is.
	reports   []timedLoad
	steps     int
	coldUntil int
	lastStep  time.Duration
	wake      chan struct{}
}

// sequence is one running request.
type sequence struct {
	id       string
	tokens   chan int
	next     int
	length   int
	priority bool
	gone     bool
	failed   bool
}

// New returns a cold engine. Run must be called for it to step.
func New(cfg Config) *Server {
	return &Server{
		cfg:         cfg,
		incarnation: uuid.NewString(),
		running:     make(map[*sequence]bool),
		coldUntil:   cfg.ColdSteps,
		wake:        make(chan struct{}, 1),
	}
}

// Register adds the stand-in's routes to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/load", s.load)
	e.POST("/v1/chat/completions", s.complete)
	e.POST("/lab/cold", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.coldUntil = s.steps + s.cfg.ColdSteps
		return c.NoContent(http.StatusOK)
	})
}

// Run steps the engine for ever.
func (s *Server) Run() {
	for {
		s.mu.Lock()
		idle := len(s.running) == 0
		d := s.stepTime()
		s.mu.Unlock()
		if s.cfg.Lockstep != nil {
			s.lockstep(idle, d)
			continue
		}
		if idle {
			<-s.wake
			continue
		}
		time.Sleep(d)
		s.step(d)
	}
}

// idleStep is the time between two steps of an idle group, which show that its
// ranks are alive.
const idleStep = 50 * time.Millisecond

// lockstep runs one step of a group.
func (s *Server) lockstep(idle bool, constant time.Duration) {
	begin := time.Now()
	if idle {
		select {
		case <-s.wake:
		case <-time.After(idleStep):
		}
		begin = time.Now()
	}
	switch s.cfg.Lockstep.run() {
	case stepRan:
		time.Sleep(constant)
		s.step(time.Since(begin))
	case stepHeld:
		time.Sleep(retryStep)
	case stepLost:
		s.fail()
		time.Sleep(retryStep)
	}
}

// fail ends every running request without its end marker: what a lost rank kept
// of it in memory is gone.
func (s *Server) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for q := range s.running {
		q.failed = true
		close(q.tokens)
		delete(s.running, q)
	}
	for _, q := range s.paused {
		q.failed = true
		close(q.tokens)
	}
	s.paused = nil
}

// stepTime returns the time of the next step. The caller holds the lock.
func (s *Server) stepTime() time.Duration {
	d := s.cfg.Step + time.Duration(len(s.running))*s.cfg.StepPerRequest
	if s.steps < s.coldUntil {
		d = time.Duration(float64(d) * s.cfg.ColdSlowdown)
	}
	return d
}

// step gives every running request one token.
func (s *Server) step(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps++
	s.lastStep = took
	for q := range s.running {
		q.next++
		q.tokens <- q.next
		if q.next == q.length || q.gone {
			close(q.tokens)
			delete(s.running, q)
		}
	}
	for len(s.paused) > 0 && len(s.running) < s.cfg.Slots {
		s.running[s.paused[0]] = true
		s.paused = s.paused[1:]
	}
}

// load is the engine's report of its load.
type load struct {
	Incarnation string  `json:"incarnation"`
	Cold        bool    `json:"cold"`
	StepMillis  float64 `json:"step_millis"`
	Skew        float64 `json:"skew"`
	Running     int     `json:"running"`
}

func (s *Server) load(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	skew := 1.0
	if s.cfg.Lockstep != nil {
		recent, works := s.cfg.Lockstep.state()
		if !works {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		skew = recent
	}
	return c.JSON(http.StatusOK, s.lagged(load{
		Incarnation: s.incarnation,
		Cold:        s.steps < s.coldUntil && s.steps == 0,
		StepMillis:  float64(s.lastStep) / float64(time.Millisecond),
		Skew:        skew,
		Running:     len(s.running),
	}, time.Now()))
}

// timedLoad is a load and when it was true.
type timedLoad struct {
	at   time.Time
	load load
}

// lagged keeps the load of now and returns the newest one that is as old as the
// lag, or the oldest of all. The caller holds the lock.
func (s *Server) lagged(l load, now time.Time) load {
	s.reports = append(s.reports, timedLoad{at: now, load: l})
	for len(s.reports) > 1 && now.Sub(s.reports[1].at) >= s.cfg.LoadLag {
		s.reports = s.reports[1:]
	}
	return s.reports[0].load
}

// request is what the engine reads of a chat completion.
type request struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// defaultLength is the number of tokens of an answer without a limit.
const defaultLength = 16

func (s *Server) complete(c echo.Context) error {
	var body request
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil || len(body.Messages) == 0 {
		return c.JSON(http.StatusBadRequest, echo.Map{"error": "messages are missing"})
	}
	q := &sequence{id: c.Request().Header.Get("X-Request-Id"), length: body.MaxTokens}
	if q.length <= 0 {
		q.length = defaultLength
	}
	q.priority = c.Request().Header.Get(headerPriority) != ""
	if from := c.Request().Header.Get(headerResumeFrom); from != "" {
		offset, err := strconv.Atoi(from)
		if err != nil || offset < 0 || offset >= q.length {
			return c.JSON(http.StatusBadRequest, echo.Map{"error": "the offset is not in the answer"})
		}
		q.next = offset
		c.Response().Header().Set(headerResumedFrom, from)
	}
	q.tokens = make(chan int, q.length+1)
	if !s.start(q) {
		return c.NoContent(http.StatusTooManyRequests)
	}
	defer s.leave(q)
	words := strings.Fields(body.Messages[len(body.Messages)-1].Content)
	return s.stream(c, q, words)
}

// Headers of the engine's protocol.
const (
	// headerPriority marks a request that takes the slot of another when all
	// are taken.
	headerPriority = "X-Priority"
	// headerResumeFrom asks for an answer from after a number of tokens on, and
	// headerResumedFrom says that it is.
	headerResumeFrom  = "X-Resume-From"
	headerResumedFrom = "X-Resumed-From"
)

// start gives a request a slot. It reports false when there is none.
func (s *Server) start(q *sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= s.cfg.Slots && !(q.priority && s.pause()) {
		return false
	}
	s.running[q] = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// pause takes the slot of a request without priority, which goes on once a slot
// is free. The caller holds the lock.
func (s *Server) pause() bool {
	for q := range s.running {
		if !q.priority {
			delete(s.running, q)
			s.paused = append(s.paused, q)
			return true
		}
	}
	return false
}

// leave takes a request out at the next step.
func (s *Server) leave(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.gone = true
}

// delta is the new part of a streamed answer.
type delta struct {
	Content string `json:"content,omitempty"`
}

// choice is the only alternative of a streamed answer.
type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// errRankLost ends a stream without its end marker.
var errRankLost = errors.New("a rank was lost")

func (s *Server) stream(c echo.Context, q *sequence, words []string) error {
	c.Response().Header().Set(echo.HeaderContentType, "text/event-stream")
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	for {
		select {
		case n, ok := <-q.tokens:
			if !ok && q.failed {
				return errRankLost
			}
			if !ok {
				_, err := fmt.Fprint(c.Response(), "data: [DONE]\n\n")
				return err
			}
			if err := s.event(c, q, token(words, n), n == q.length); err != nil {
				return err
			}
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// token returns the nth token of an answer: the prompt's words in turn, with
// their number, so that a gap or a repeat shows.
func token(words []string, n int) string {
	word := "token"
	if len(words) > 0 {
		word = words[(n-1)%len(words)]
	}
	return fmt.Sprintf("%s-%d ", word, n)
}

func (s *Server) event(c echo.Context, q *sequence, content string, last bool) error {
	part := chunk{ID: q.id, Object: "chat.completion.chunk", Created: 0, Model: s.cfg.Model, Choices: []choice{{Delta: delta{Content: content}}}}
	if last {
		reason := "stop"
		part.Choices[0].FinishReason = &reason
	}
	raw, err := json.Marshal(part)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Response(), "data: %s\n\n", raw); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}
