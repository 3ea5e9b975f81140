package engine

import (
	"context"
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// PathFault sets the fault of an engine by PUT and returns what it has done so far by GET,
// as a Fault and a FaultCounts.
const PathFault = "/lab/fault"

// Answer is what a faulty engine answers to completions.
type Answer string

// Answers.
const (
	AnswerNone        Answer = ""
	AnswerRejection   Answer = "400"
	AnswerError       Answer = "500"
	AnswerUnavailable Answer = "503"
	// AnswerErrorEvent is a stream with only an error event, AnswerOtherStream one of
	// another request, AnswerEmptyStream one without events.
	AnswerErrorEvent  Answer = "error event"
	AnswerOtherStream Answer = "other stream"
	AnswerEmptyStream Answer = "empty stream"
)

// Fault is what an engine does to completions.
type Fault struct {
	// Breaks resets the connections of streams after BreakAfter tokens.
	Breaks     bool `json:"breaks"`
	BreakAfter int  `json:"break_after"`
	// Answer is what completions are answered with instead of being run.
	Answer Answer `json:"answer"`
	// BrokenAt, if not empty, is the base URL of another engine, and only completions that
	// broke off there are answered with Answer.
	BrokenAt string `json:"broken_at"`
}

// FaultCounts counts what a faulty engine has done since the fault was set.
type FaultCounts struct {
	Broken   int `json:"broken"`
	Answered int `json:"answered"`
}

func (s *Server) setFault(c echo.Context) error {
	var f Fault
	if err := c.Bind(&f); err != nil {
		return c.NoContent(http.StatusBadRequest)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultCounts, s.brokenIDs = f, FaultCounts{}, make(map[string]bool)
	return c.NoContent(http.StatusOK)
}

func (s *Server) handleFaultCounts(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.JSON(http.StatusOK, s.faultCounts)
}

// pathBroken reports, with the status 200 or 404, whether a request has broken off.
const pathBroken = PathFault + "/broken/"

func (s *Server) handleBroken(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.brokenIDs[c.Param("id")] {
		return c.NoContent(http.StatusNotFound)
	}
	return c.NoContent(http.StatusOK)
}

// hasBrokenAt asks another engine whether a request has broken off there.
func hasBrokenAt(ctx context.Context, url, id string) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+pathBroken+id, nil)
	if err != nil {
		return false, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, errors.WithStack(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

// otherTokens is the length of another request's stream.
const otherTokens = 20

// answerFaultily answers a completion as the fault says. It returns false if there is no
// such fault.
func (s *Server) answerFaultily(c echo.Context) (bool, error) {
	s.mu.Lock()
	answer, brokenAt := s.fault.Answer, s.fault.BrokenAt
	s.mu.Unlock()
	if brokenAt != "" {
		if broken, err := hasBrokenAt(c.Request().Context(), brokenAt, c.Request().Header.Get(headerRequestID)); !broken || err != nil {
			return err != nil, err
		}
	}
	s.mu.Lock()
	if answer != AnswerNone {
		s.faultCounts.Answered++
	}
	s.mu.Unlock()
	failure := echo.Map{"error": "the engine failed"}
	switch answer {
	case AnswerNone:
		return false, nil
	case AnswerRejection:
		return true, c.JSON(http.StatusBadRequest, failure)
	case AnswerError:
		return true, c.JSON(http.StatusInternalServerError, failure)
	case AnswerUnavailable:
		return true, c.JSON(http.StatusServiceUnavailable, failure)
	case AnswerErrorEvent:
		return true, c.Blob(http.StatusOK, eventStream, []byte("event: error\ndata: {\"error\":\"the engine failed\"}\n\n"))
	case AnswerEmptyStream:
		return true, c.Blob(http.StatusOK, eventStream, []byte(endMarker))
	default:
		c.Response().Header().Set(echo.HeaderContentType, eventStream)
		q := &sequence{id: "other", length: otherTokens}
		for n := 1; n <= q.length; n++ {
			if err := s.writeEvent(c, q, tokenText([]string{"other"}, n), n == q.length); err != nil {
				return true, err
			}
		}
		_, err := c.Response().Write([]byte(endMarker))
		return true, err
	}
}

// breaksAfter reports whether a stream breaks off after n tokens, and resets its connection
// in that case.
func (s *Server) breaksAfter(c echo.Context, n int) (bool, error) {
	s.mu.Lock()
	breaks := s.fault.Breaks && n >= s.fault.BreakAfter
	if breaks {
		s.faultCounts.Broken++
		s.brokenIDs[c.Request().Header.Get(headerRequestID)] = true
	}
	s.mu.Unlock()
	if !breaks {
		return false, nil
	}
	conn, _, err := c.Response().Hijack()
	if err != nil {
		return true, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Without the option the connection ends regularly, which breaks the stream off as well.
		_ = tcp.SetLinger(0)
	}
	return true, conn.Close()
}
