package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// committer is a reply that can still be refused.
type committer interface {
	pipe.Reply
	// Refuse ends the answer with a refusal.
	Refuse(p *problem.Problem) error
}

// head is the status and media type of an answer that is not yet written.
type head struct {
	status      int
	contentType string
}

// SetHeader implements pipe.Reply.
func (h *head) SetHeader(status int, header http.Header) error {
	h.status, h.contentType = status, header.Get(echo.HeaderContentType)
	return nil
}

// refuse answers with a problem document before anything was written.
func refuse(c echo.Context, p *problem.Problem) error {
	if p.RetryAfterSeconds > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(p.RetryAfterSeconds))
	}
	return operator.WriteProblem(c, p)
}

// eventReply writes a model's answer as server-sent events.
type eventReply struct {
	head
	c echo.Context
}

func newEventReply(c echo.Context) *eventReply { return &eventReply{c: c} }

// WriteData implements pipe.Reply.
func (w *eventReply) WriteData(part []byte) error {
	w.begin()
	if w.status != http.StatusOK {
		_, err := w.c.Response().Write(part)
		return errors.WithStack(err)
	}
	return w.event("data", part)
}

// begin writes the head, if it isn't written yet.
func (w *eventReply) begin() {
	response := w.c.Response()
	if !response.Committed {
		response.Header().Set(echo.HeaderContentType, w.contentType)
		response.WriteHeader(w.status)
	}
}

// Finish implements pipe.Reply.
func (w *eventReply) Finish() error {
	w.begin()
	if w.status != http.StatusOK {
		return nil
	}
	return w.event("data", []byte("[DONE]"))
}

// HasStarted implements pipe.Reply.
func (w *eventReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements pipe.Reply. Nothing is held back.
func (w *eventReply) Restart() {}

// Refuse implements committer. A stream that has begun ends with an error event
// and without the end marker, so that it is not taken for a whole answer.
func (w *eventReply) Refuse(p *problem.Problem) error {
	if !w.c.Response().Committed {
		return refuse(w.c, p)
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return errors.WithStack(err)
	}
	return w.event("event: error\ndata", raw)
}

func (w *eventReply) event(field string, data []byte) error {
	response := w.c.Response()
	for _, part := range [][]byte{[]byte(field + ": "), data, []byte("\n\n")} {
		if _, err := response.Write(part); err != nil {
			return errors.WithStack(err)
		}
	}
	response.Flush()
	return nil
}

// chunk is one event of a model's streamed answer.
type chunk struct {
	ID      string `json:"id"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index        int                        `json:"index"`
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason string                     `json:"finish_reason"`
	} `json:"choices"`
}

// Fields of the new part of a streamed answer.
const (
	deltaRole    = "role"
	deltaContent = "content"
)

// errNotJoined is told when an answer has parts that can't be joined.
const errNotJoined = "the answer has more than the text of one choice; ask for it with \"stream\": true"

// text returns the text of a part. It reports false when the part has more than
// text, which would be missing from an answer in one piece.
func text(delta map[string]json.RawMessage) (content string, ok bool) {
	for field, value := range delta {
		switch {
		case field == deltaRole || string(value) == "null":
		case field != deltaContent || json.Unmarshal(value, &content) != nil:
			return "", false
		}
	}
	return content, true
}

// message is the answer of a model.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choice is one alternative of a completion.
type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// usage counts the tokens of a completion.
type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completion is a model's whole answer.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// wholeReply collects a model's streamed answer and writes it in one piece.
type wholeReply struct {
	head
	c       echo.Context
	last    chunk
	finish  string
	content strings.Builder
	tokens  int
	raw     []byte
}

func newWholeReply(c echo.Context) *wholeReply { return &wholeReply{c: c} }

// WriteData implements pipe.Reply.
func (w *wholeReply) WriteData(part []byte) error {
	if w.status != http.StatusOK {
		w.raw = append(w.raw, part...)
		return nil
	}
	w.last = chunk{}
	if err := json.Unmarshal(part, &w.last); err != nil {
		return problem.New(problem.ReasonUpstreamFailed, "the engine sent an event that is not JSON")
	}
	for _, choice := range w.last.Choices {
		content, ok := text(choice.Delta)
		if !ok || choice.Index != 0 {
			return problem.New(problem.ReasonUpstreamFailed, errNotJoined)
		}
		w.content.WriteString(content)
		if content != "" {
			w.tokens++
		}
		if choice.FinishReason != "" {
			w.finish = choice.FinishReason
		}
	}
	return nil
}

// Finish implements pipe.Reply.
func (w *wholeReply) Finish() error {
	if w.status != http.StatusOK {
		return w.c.Blob(w.status, w.contentType, w.raw)
	}
	return w.c.JSON(http.StatusOK, completion{
		ID:      w.last.ID,
		Object:  "chat.completion",
		Created: w.last.Created,
		Model:   w.last.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: w.content.String()}, FinishReason: w.finish}},
		Usage:   usage{CompletionTokens: w.tokens},
	})
}

// HasStarted implements pipe.Reply.
func (w *wholeReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements pipe.Reply.
func (w *wholeReply) Restart() { *w = wholeReply{c: w.c} }

// Refuse implements committer.
func (w *wholeReply) Refuse(p *problem.Problem) error { return refuse(w.c, p) }

// plainReply collects a plain answer and writes it once it is whole.
type plainReply struct {
	head
	c    echo.Context
	body []byte
}

func newPlainReply(c echo.Context) *plainReply { return &plainReply{c: c} }

// WriteData implements pipe.Reply.
func (w *plainReply) WriteData(part []byte) error {
	w.body = append(w.body, part...)
	return nil
}

// Finish implements pipe.Reply.
func (w *plainReply) Finish() error { return w.c.Blob(w.status, w.contentType, w.body) }

// HasStarted implements pipe.Reply.
func (w *plainReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements pipe.Reply.
func (w *plainReply) Restart() { *w = plainReply{c: w.c} }

// Refuse implements committer.
func (w *plainReply) Refuse(p *problem.Problem) error { return refuse(w.c, p) }

var (
	_ committer = (*eventReply)(nil)
	_ committer = (*wholeReply)(nil)
	_ committer = (*plainReply)(nil)
)
