// Package engine simulates a model engine with continuous batching: each step
// generates one token for every running request. The step time grows with the
// batch, and a cold engine is slower. The steps of a group are run by the ranks of
// an expert-parallel group together, each rank in a process of its own.
package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Config holds the settings of an engine.
type Config struct {
	// Model is the name of the model.
	Model string
	// Slots is the maximum number of requests that run at once.
	Slots int
	// StepTime is the time of a step with an empty batch.
	StepTime time.Duration
	// StepTimePerRequest is the time that each running request adds to a step.
	StepTimePerRequest time.Duration
	// WarmupSteps is the number of steps that a cold engine takes to warm up.
	WarmupSteps int
	// ColdSlowdown is the factor by which a cold engine is slower.
	ColdSlowdown float64
	// LoadLag is the age of the load that the engine reports.
	LoadLag time.Duration
	// Lockstep, if not nil, makes the ranks of a group enter each step. Its time is
	// added to that of the step.
	Lockstep *Lockstep
}

// Server is a simulated engine.
type Server struct {
	cfg Config

	mu          sync.Mutex
	incarnation string
	running     map[*sequence]bool
	// preempted holds requests whose slot a priority request took.
	preempted []*sequence
	// loadHistory holds the loads that are not older than the lag, and the newest
	// one that is.
	loadHistory []timedLoad
	// steps is the number of steps run. The engine is cold until it has run
	// coldUntilStep.
	steps         int
	coldUntilStep int
	lastStepTime  time.Duration
	// deadlyText is the text of a message that crashes the engine, empty for none.
	deadlyText string
	// fault is the current fault, faultCounts what it has done, brokenIDs the requests that
	// it has broken off.
	fault       Fault
	faultCounts FaultCounts
	brokenIDs   map[string]bool
	// wake wakes an idle engine.
	wake chan struct{}
}

// sequence is one admitted request.
type sequence struct {
	id string
	// tokens receives the number of each generated token, from 1. It is closed at the
	// end of the response.
	tokens chan int
	// position is the number of the latest token, length the number of all tokens.
	position int
	length   int
	priority bool
	// cancelled is true once the caller's connection has ended, aborted once a rank
	// of the group has failed.
	cancelled bool
	aborted   bool
	// deadly is true if the first token crashes the engine.
	deadly bool
}

// New returns a cold engine. Run must be called for it to step.
func New(cfg Config) *Server {
	return &Server{
		cfg:           cfg,
		incarnation:   uuid.NewString(),
		running:       make(map[*sequence]bool),
		coldUntilStep: cfg.WarmupSteps,
		wake:          make(chan struct{}, 1),
	}
}

// Register adds the routes of the engine to an HTTP server.
func (s *Server) Register(e *echo.Echo) {
	e.GET("/v1/load", s.handleLoad)
	e.POST("/v1/chat/completions", s.handleCompletion)
	e.PUT(PathDeadly, s.setDeadly)
	e.PUT(PathFault, s.setFault)
	e.GET(PathFault, s.handleFaultCounts)
	e.GET(pathBroken+":id", s.handleBroken)
	e.POST("/lab/cold", func(c echo.Context) error {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.coldUntilStep = s.steps + s.cfg.WarmupSteps
		return c.NoContent(http.StatusOK)
	})
}

// PathDeadly sets the text of a message that crashes the engine: its process ends when it
// generates the first token of a response to a prompt with such a message. An empty text
// stops that.
const PathDeadly = "/lab/deadly"

// crashStatus is the exit status of an engine that a prompt has crashed.
const crashStatus = 3

func (s *Server) setDeadly(c echo.Context) error {
	raw, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deadlyText = string(raw)
	return c.NoContent(http.StatusOK)
}

// isDeadly reports whether a prompt has a message that crashes the engine.
func (s *Server) isDeadly(r *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deadlyText == "" {
		return false
	}
	for _, m := range r.Messages {
		if m.Content == s.deadlyText {
			return true
		}
	}
	return false
}

// Run runs steps and does not return.
func (s *Server) Run() {
	for {
		s.mu.Lock()
		idle := len(s.running) == 0
		d := s.stepTime()
		s.mu.Unlock()
		if s.cfg.Lockstep != nil {
			s.stepGroup(idle, d)
			continue
		}
		if idle {
			<-s.wake
			continue
		}
		time.Sleep(d)
		s.finishStep(d)
	}
}

// idleStepInterval is the time between two steps of an idle group, which runs them
// to detect whether its ranks are alive.
const idleStepInterval = 50 * time.Millisecond

// stepGroup runs one step of a group.
func (s *Server) stepGroup(idle bool, constant time.Duration) {
	begin := time.Now()
	if idle {
		select {
		case <-s.wake:
		case <-time.After(idleStepInterval):
		}
		begin = time.Now()
	}
	switch s.cfg.Lockstep.runStep() {
	case stepRan:
		time.Sleep(constant)
		s.finishStep(time.Since(begin))
	case stepHeld:
		time.Sleep(retryInterval)
	case stepFailed:
		s.abortAll()
		time.Sleep(retryInterval)
	}
}

// abortAll ends every running or preempted request without its end marker, as the
// state that the failed rank held for it in memory is gone.
func (s *Server) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for q := range s.running {
		q.aborted = true
		close(q.tokens)
		delete(s.running, q)
	}
	for _, q := range s.preempted {
		q.aborted = true
		close(q.tokens)
	}
	s.preempted = nil
}

// stepTime returns the time of the next step. The caller holds the lock.
func (s *Server) stepTime() time.Duration {
	d := s.cfg.StepTime + time.Duration(len(s.running))*s.cfg.StepTimePerRequest
	if s.steps < s.coldUntilStep {
		d = time.Duration(float64(d) * s.cfg.ColdSlowdown)
	}
	return d
}

// finishStep generates one token for every running request, and resumes preempted
// requests while there are free slots.
func (s *Server) finishStep(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.steps++
	s.lastStepTime = took
	for q := range s.running {
		if q.deadly {
			os.Exit(crashStatus)
		}
		q.position++
		q.tokens <- q.position
		if q.position == q.length || q.cancelled {
			close(q.tokens)
			delete(s.running, q)
		}
	}
	for len(s.preempted) > 0 && len(s.running) < s.cfg.Slots {
		s.running[s.preempted[0]] = true
		s.preempted = s.preempted[1:]
	}
}

// load is the engine's report of its load.
type load struct {
	Incarnation string `json:"incarnation"`
	// Cold is true before the first step of a cold engine only.
	Cold       bool    `json:"cold"`
	StepMillis float64 `json:"step_millis"`
	Skew       float64 `json:"skew"`
	Running    int     `json:"running"`
}

func (s *Server) handleLoad(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	skew := 1.0
	if s.cfg.Lockstep != nil {
		recentSkew, healthy := s.cfg.Lockstep.status()
		if !healthy {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		skew = recentSkew
	}
	return c.JSON(http.StatusOK, s.recordLoad(load{
		Incarnation: s.incarnation,
		Cold:        s.steps < s.coldUntilStep && s.steps == 0,
		StepMillis:  float64(s.lastStepTime) / float64(time.Millisecond),
		Skew:        skew,
		Running:     len(s.running),
	}, time.Now()))
}

// timedLoad is the load at a time.
type timedLoad struct {
	at   time.Time
	load load
}

// recordLoad records the current load and returns the newest recorded load that is
// at least as old as the lag, or the oldest one if there is none. The caller holds
// the lock.
func (s *Server) recordLoad(l load, now time.Time) load {
	s.loadHistory = append(s.loadHistory, timedLoad{at: now, load: l})
	for len(s.loadHistory) > 1 && now.Sub(s.loadHistory[1].at) >= s.cfg.LoadLag {
		s.loadHistory = s.loadHistory[1:]
	}
	return s.loadHistory[0].load
}

// request holds the fields of a chat completion request that the engine uses.
type request struct {
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int `json:"max_tokens"`
}

// defaultTokens is the number of tokens of a response without max_tokens.
const defaultTokens = 16

func (s *Server) handleCompletion(c echo.Context) error {
	var body request
	if err := json.NewDecoder(c.Request().Body).Decode(&body); err != nil || len(body.Messages) == 0 {
		return c.JSON(http.StatusBadRequest, echo.Map{"error": "messages are missing"})
	}
	if done, err := s.answerFaultily(c); done {
		return err
	}
	q := &sequence{id: c.Request().Header.Get(headerRequestID), length: body.MaxTokens}
	if q.length <= 0 {
		q.length = defaultTokens
	}
	q.priority = c.Request().Header.Get(headerPriority) != ""
	q.deadly = s.isDeadly(&body)
	if from := c.Request().Header.Get(headerResumeFrom); from != "" {
		offset, err := strconv.Atoi(from)
		if err != nil || offset < 0 || offset >= q.length {
			return c.JSON(http.StatusBadRequest, echo.Map{"error": "the offset is not in the answer"})
		}
		q.position = offset
		c.Response().Header().Set(headerResumedFrom, from)
	}
	q.tokens = make(chan int, q.length+1)
	if !s.acquireSlot(q) {
		return c.NoContent(http.StatusTooManyRequests)
	}
	defer s.cancel(q)
	words := strings.Fields(body.Messages[len(body.Messages)-1].Content)
	return s.streamTokens(c, q, words)
}

// Headers of the engine's protocol.
const (
	headerRequestID = "X-Request-Id"
	// headerPriority marks a request that preempts another one if no slot is free.
	headerPriority = "X-Priority"
	// headerResumeFrom requests the tokens after a number of tokens. The response
	// confirms the number in headerResumedFrom.
	headerResumeFrom  = "X-Resume-From"
	headerResumedFrom = "X-Resumed-From"
)

// acquireSlot starts a request in a free slot. It returns false if there is none.
func (s *Server) acquireSlot(q *sequence) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) >= s.cfg.Slots && !(q.priority && s.preempt()) {
		return false
	}
	s.running[q] = true
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// preempt frees the slot of a request without priority, which resumes once a slot
// is free. It returns false if there is no such request. The caller holds the lock.
func (s *Server) preempt() bool {
	for q := range s.running {
		if !q.priority {
			delete(s.running, q)
			s.preempted = append(s.preempted, q)
			return true
		}
	}
	return false
}

// cancel makes the next step end a request.
func (s *Server) cancel(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q.cancelled = true
}

// delta is the new content of a streamed response.
type delta struct {
	Content string `json:"content,omitempty"`
}

// choice is the only choice of a streamed response.
type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// chunk is one event of a streamed response.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// eventStream is the media type of a streamed response, endMarker its last event.
const (
	eventStream = "text/event-stream"
	endMarker   = "data: [DONE]\n\n"
)

// errRankFailed ends a stream without its end marker.
var errRankFailed = errors.New("a rank of the group failed or restarted")

func (s *Server) streamTokens(c echo.Context, q *sequence, words []string) error {
	c.Response().Header().Set(echo.HeaderContentType, eventStream)
	c.Response().WriteHeader(http.StatusOK)
	c.Response().Flush()
	for sent := 0; ; sent++ {
		if broken, err := s.breaksAfter(c, sent); broken {
			return err
		}
		select {
		case n, ok := <-q.tokens:
			if !ok && q.aborted {
				return errRankFailed
			}
			if !ok {
				_, err := io.WriteString(c.Response(), endMarker)
				return err
			}
			if err := s.writeEvent(c, q, tokenText(words, n), n == q.length); err != nil {
				return err
			}
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

// tokenText returns the nth token of a response: the words of the prompt in turn,
// each with the number n, so that a missing or repeated token is detectable.
func tokenText(words []string, n int) string {
	word := "token"
	if len(words) > 0 {
		word = words[(n-1)%len(words)]
	}
	return fmt.Sprintf("%s-%d ", word, n)
}

func (s *Server) writeEvent(c echo.Context, q *sequence, content string, last bool) error {
	event := chunk{ID: q.id, Object: "chat.completion.chunk", Created: 0, Model: s.cfg.Model, Choices: []choice{{Delta: delta{Content: content}}}}
	if last {
		reason := "stop"
		event.Choices[0].FinishReason = &reason
	}
	raw, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c.Response(), "data: %s\n\n", raw); err != nil {
		return err
	}
	c.Response().Flush()
	return nil
}
