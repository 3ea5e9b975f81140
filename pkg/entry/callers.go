package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// serveChat serves chat completions, streamed or not.
func (e *Entry) serveChat(c echo.Context) error {
	r := newRequest(c)
	return e.serve(c, r, &chatReply{c: c, request: r})
}

// servePlain serves any request to a plain service.
func (e *Entry) servePlain(c echo.Context) error {
	return e.serve(c, newRequest(c), newPlainReply(c))
}

// newRequest converts a caller's HTTP request, without its body.
func newRequest(c echo.Context) *pipe.Request {
	h := c.Request().Header
	return &pipe.Request{
		ID:             uuid.NewString(),
		Token:          pipe.BearerToken(h),
		Method:         c.Request().Method,
		Path:           c.Request().URL.Path,
		Query:          c.Request().URL.RawQuery,
		ContentType:    h.Get(echo.HeaderContentType),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
		ReceivedAt:     time.Now(),
	}
}

// readRequest validates a request and reads its body before the filters run.
func (e *Entry) readRequest(c echo.Context, r *pipe.Request) error {
	if len(r.IdempotencyKey) > maxIdempotencyKeyLength {
		return problem.New(problem.ReasonBadRequest, "the Idempotency-Key is longer than "+strconv.Itoa(maxIdempotencyKeyLength)+" characters")
	}
	timeout, refusal := parseTimeout(c.Request().Header.Get(HeaderDeadline))
	if refusal != nil {
		return refusal
	}
	r.Timeout = timeout
	body, refusal := readBody(c, e.cfg.MaxBodyBytes)
	if refusal != nil {
		return refusal
	}
	r.Body = body
	return nil
}

// maxIdempotencyKeyLength is the length of the longest idempotency key, in bytes.
const maxIdempotencyKeyLength = 255

// parseTimeout parses a time limit in milliseconds. It returns 0 for an empty header.
func parseTimeout(header string) (time.Duration, *problem.Problem) {
	if header == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(header, 10, 32)
	if err != nil || millis < 1 {
		return 0, problem.New(problem.ReasonBadDeadline, strconv.Quote(header))
	}
	return time.Duration(millis) * time.Millisecond, nil
}

func readBody(c echo.Context, limit int64) ([]byte, *problem.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.ReasonBodyTooLarge, "at most "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		return nil, problem.New(problem.ReasonBadRequest, "the body broke off")
	}
	return body, nil
}
