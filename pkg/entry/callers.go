package entry

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/intake"
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

// checkHead validates the head of a request.
func (e *Entry) checkHead(c echo.Context, r *pipe.Request) error {
	if len(r.IdempotencyKey) > maxIdempotencyKeyLength {
		return problem.New(problem.ReasonBadRequest, "the Idempotency-Key is longer than "+strconv.Itoa(maxIdempotencyKeyLength)+" characters")
	}
	timeout, refusal := parseTimeout(c.Request().Header.Get(HeaderDeadline))
	if refusal != nil {
		return refusal
	}
	r.Timeout = timeout
	r.ReadBody = func() error { return ReadBody(c, r, e.cfg.MaxBodyBytes) }
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

// ReadBody reads the body of a caller's request. It returns a *problem.Problem if the body is
// longer than a limit in bytes, breaks off or is refused by the limits of the process.
func ReadBody(c echo.Context, r *pipe.Request, limit int64) error {
	tooLarge := problem.New(problem.ReasonBodyTooLarge, "at most "+strconv.FormatInt(limit, 10)+" bytes")
	if c.Request().ContentLength > limit {
		return tooLarge
	}
	if !intake.MayReceive(c.Request().Context(), c.Request().ContentLength) {
		return problem.New(problem.ReasonIntakeFull, "")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var limitErr *http.MaxBytesError
	var refusal *problem.Problem
	switch {
	case errors.As(err, &limitErr):
		return tooLarge
	case errors.As(err, &refusal):
		return refusal
	case err != nil:
		return problem.New(problem.ReasonBadRequest, "the body broke off")
	}
	r.Body, r.ReadBody = body, nil
	return nil
}

// maxUnreadBytes is the length of a body that is discarded so that its connection can be used
// again after the request was refused.
const maxUnreadBytes = 64 << 10

// CloseIfUnread makes the connection of a request whose body was not read be closed if the body
// is long or may have no end. Otherwise the server would read it before it responds.
func CloseIfUnread(c echo.Context, r *pipe.Request) {
	if length := c.Request().ContentLength; r.ReadBody != nil && (length < 0 || length > maxUnreadBytes) {
		c.Response().Header().Set(echo.HeaderConnection, "close")
	}
}
