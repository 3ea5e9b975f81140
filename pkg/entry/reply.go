package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/relay"
)

// pendingHeader is the status and media type of a response that is not written yet.
type pendingHeader struct {
	status      int
	contentType string
}

// SetHeader implements relay.Writer.
func (h *pendingHeader) SetHeader(status int, header http.Header) error {
	h.status, h.contentType = status, header.Get(echo.HeaderContentType)
	return nil
}

// writeRefusal responds with a problem document. Nothing may have been written before.
func writeRefusal(c echo.Context, p *problem.Problem) error {
	if p.RetryAfterSeconds > 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(p.RetryAfterSeconds))
	}
	return operator.WriteProblem(c, p)
}

// eventReply writes a model's response as server-sent events.
type eventReply struct {
	pendingHeader
	c echo.Context
}

func newEventReply(c echo.Context) *eventReply { return &eventReply{c: c} }

// WriteData implements relay.Writer.
func (w *eventReply) WriteData(part []byte) error {
	w.writeHeader()
	if w.status != http.StatusOK {
		_, err := w.c.Response().Write(part)
		return errors.WithStack(err)
	}
	return w.writeEvent("data", part)
}

// writeHeader writes the status and header unless they are written already.
func (w *eventReply) writeHeader() {
	response := w.c.Response()
	if !response.Committed {
		response.Header().Set(echo.HeaderContentType, w.contentType)
		response.WriteHeader(w.status)
	}
}

// Finish implements relay.Writer.
func (w *eventReply) Finish() error {
	w.writeHeader()
	if w.status != http.StatusOK {
		return nil
	}
	return w.writeEvent("data", []byte("[DONE]"))
}

// HasStarted implements relay.Writer.
func (w *eventReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements relay.Writer. Nothing is buffered.
func (w *eventReply) Restart() {}

// Refuse implements relay.Writer.
func (w *eventReply) Refuse(p *problem.Problem) error { return writeRefusal(w.c, p) }

// WriteBreak implements relay.Writer. A stream that has begun ends with an error event.
func (w *eventReply) WriteBreak(p *problem.Problem) {
	raw, err := json.Marshal(p)
	if err != nil || w.status != http.StatusOK {
		return
	}
	// The connection is aborted next, whether the caller gets the event or not.
	_ = w.writeEvent("event: error\ndata", raw)
}

func (w *eventReply) writeEvent(field string, data []byte) error {
	response := w.c.Response()
	for _, part := range [][]byte{[]byte(field + ": "), data, []byte("\n\n")} {
		if _, err := response.Write(part); err != nil {
			return errors.WithStack(err)
		}
	}
	response.Flush()
	return nil
}

// chunk is one event of a model's streamed response.
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

// Fields of a chunk's delta.
const (
	deltaRole    = "role"
	deltaContent = "content"
)

// detailNotJoinable is the detail of a refusal when the chunks of a response can't be
// joined into one completion.
const detailNotJoinable = "the answer has more than the text of one choice; ask for it with \"stream\": true"

// textOf returns the text of a delta. It returns false if the delta has content other
// than text, which a joined completion would omit.
func textOf(delta map[string]json.RawMessage) (content string, ok bool) {
	for field, value := range delta {
		switch {
		case field == deltaRole || string(value) == "null":
		case field != deltaContent || json.Unmarshal(value, &content) != nil:
			return "", false
		}
	}
	return content, true
}

// message is a message of a completion.
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

// completion is a model's response in one piece.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

// completionReply joins a model's streamed response and writes it in one piece. The body
// of a response with another status than 200 is written unchanged.
type completionReply struct {
	pendingHeader
	c            echo.Context
	lastChunk    chunk
	finishReason string
	content      strings.Builder
	// tokens is the number of chunks with text.
	tokens int
	// errorBody is the body of a response with another status than 200.
	errorBody []byte
}

func newCompletionReply(c echo.Context) *completionReply { return &completionReply{c: c} }

// WriteData implements relay.Writer.
func (w *completionReply) WriteData(part []byte) error {
	if w.status != http.StatusOK {
		w.errorBody = append(w.errorBody, part...)
		return nil
	}
	w.lastChunk = chunk{}
	if err := json.Unmarshal(part, &w.lastChunk); err != nil {
		return problem.New(problem.ReasonUpstreamFailed, "the engine sent an event that is not JSON")
	}
	for _, choice := range w.lastChunk.Choices {
		content, ok := textOf(choice.Delta)
		if !ok || choice.Index != 0 {
			return problem.New(problem.ReasonUpstreamFailed, detailNotJoinable)
		}
		w.content.WriteString(content)
		if content != "" {
			w.tokens++
		}
		if choice.FinishReason != "" {
			w.finishReason = choice.FinishReason
		}
	}
	return nil
}

// Finish implements relay.Writer.
func (w *completionReply) Finish() error {
	if w.status != http.StatusOK {
		return w.c.Blob(w.status, w.contentType, w.errorBody)
	}
	return w.c.JSON(http.StatusOK, completion{
		ID:      w.lastChunk.ID,
		Object:  "chat.completion",
		Created: w.lastChunk.Created,
		Model:   w.lastChunk.Model,
		Choices: []choice{{Message: message{Role: "assistant", Content: w.content.String()}, FinishReason: w.finishReason}},
		Usage:   usage{CompletionTokens: w.tokens},
	})
}

// HasStarted implements relay.Writer.
func (w *completionReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements relay.Writer.
func (w *completionReply) Restart() { *w = completionReply{c: w.c} }

// Refuse implements relay.Writer.
func (w *completionReply) Refuse(p *problem.Problem) error { return writeRefusal(w.c, p) }

// WriteBreak implements relay.Writer. A body that was cut can't have an explanation.
func (*completionReply) WriteBreak(*problem.Problem) {}

// plainReply buffers a plain response and writes it once it is complete.
type plainReply struct {
	pendingHeader
	c    echo.Context
	body []byte
}

func newPlainReply(c echo.Context) *plainReply { return &plainReply{c: c} }

// WriteData implements relay.Writer.
func (w *plainReply) WriteData(part []byte) error {
	w.body = append(w.body, part...)
	return nil
}

// Finish implements relay.Writer.
func (w *plainReply) Finish() error { return w.c.Blob(w.status, w.contentType, w.body) }

// HasStarted implements relay.Writer.
func (w *plainReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements relay.Writer.
func (w *plainReply) Restart() { *w = plainReply{c: w.c} }

// Refuse implements relay.Writer.
func (w *plainReply) Refuse(p *problem.Problem) error { return writeRefusal(w.c, p) }

// WriteBreak implements relay.Writer. A body that was cut can't have an explanation.
func (*plainReply) WriteBreak(*problem.Problem) {}

var (
	_ relay.Writer = (*eventReply)(nil)
	_ relay.Writer = (*completionReply)(nil)
	_ relay.Writer = (*plainReply)(nil)
)
