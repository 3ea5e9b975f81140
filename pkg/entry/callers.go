package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// chatPath is the path of chat completions, at entries and at engines.
const chatPath = "/v1/chat/completions"

// bytesPerToken is the assumed size of a token of a prompt.
const bytesPerToken = 4

// defaultMaxTokens is the assumed length of an answer that names no limit.
const defaultMaxTokens = 256

// plainCost is the assumed cost of a plain call in tokens.
const plainCost = 1

// chatRequest is what the entry reads of a chat completion.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// chat serves chat completions, streamed or whole.
func (e *Entry) chat(c echo.Context) error {
	r, refusal := e.newRequest(c)
	if refusal != nil {
		return e.refuse(c, refusal)
	}
	var body chatRequest
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return e.refuse(c, problem.New(problem.ReasonBadRequest, "the body is not a JSON object of a chat completion"))
	}
	r.Service = r.Index.Service(body.Model)
	if r.Service == nil || r.Service.Kind != table.KindModel {
		return e.refuse(c, problem.New(problem.ReasonNotFound, "unknown model "+strconv.Quote(body.Model)))
	}
	streamed, err := withStream(r.Body)
	if err != nil {
		return e.refuse(c, problem.New(problem.ReasonBadRequest, "the body is not a JSON object of a chat completion"))
	}
	r.Path = chatPath
	r.Body = streamed
	r.Idempotent = true
	r.Cost = chatCost(&body, len(r.Body))
	if body.Stream {
		return e.serve(c, r, newEventReply(c))
	}
	return e.serve(c, r, newWholeReply(c))
}

func chatCost(body *chatRequest, size int) float64 {
	tokens := body.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	return float64(size/bytesPerToken + tokens)
}

// withStream returns the body with streaming asked for, as the engine's answers
// are always read as a stream.
func withStream(body []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.WithStack(err)
	}
	fields["stream"] = json.RawMessage("true")
	raw, err := json.Marshal(fields)
	return raw, errors.WithStack(err)
}

// plain serves any call of a plain service.
func (e *Entry) plain(c echo.Context) error {
	r, refusal := e.newRequest(c)
	if refusal != nil {
		return e.refuse(c, refusal)
	}
	r.Service = r.Index.Service(c.Param("service"))
	if r.Service == nil || r.Service.Kind != table.KindPlain {
		return e.refuse(c, problem.New(problem.ReasonNotFound, "unknown service "+strconv.Quote(c.Param("service"))))
	}
	r.Path = "/" + c.Param("*")
	r.Idempotent = r.Service.Idempotent(r.Method, r.Path)
	if q := c.Request().URL.RawQuery; q != "" {
		r.Path += "?" + q
	}
	r.Cost = plainCost
	return e.serve(c, r, newPlainReply(c))
}

// refuse answers a request that never reached the filters.
func (e *Entry) refuse(c echo.Context, p *problem.Problem) error {
	e.refusals.WithLabelValues(string(p.Reason), string(p.Ran)).Inc()
	setRetryAfter(c, p)
	return operator.WriteProblem(c, p)
}

func setRetryAfter(c echo.Context, p *problem.Problem) {
	if p.RetryAfterSeconds > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(p.RetryAfterSeconds))
	}
}

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
