package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/relay"
)

// chatReply writes a model's response as a stream or in one piece, as requested.
// Which of the two is known once the request has passed the route filter.
type chatReply struct {
	c       echo.Context
	request *pipe.Request
	inner   relay.Writer
}

// SetHeader implements relay.Writer.
func (w *chatReply) SetHeader(status int, header http.Header) error {
	if w.inner == nil {
		w.inner = w.newInner()
	}
	return w.inner.SetHeader(status, header)
}

func (w *chatReply) newInner() relay.Writer {
	if w.request.Streamed {
		return newEventReply(w.c)
	}
	return newCompletionReply(w.c)
}

// WriteData implements relay.Writer.
func (w *chatReply) WriteData(part []byte) error { return w.inner.WriteData(part) }

// Finish implements relay.Writer.
func (w *chatReply) Finish() error { return w.inner.Finish() }

// HasStarted implements relay.Writer.
func (w *chatReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements relay.Writer.
func (w *chatReply) Restart() {
	if w.inner != nil {
		w.inner.Restart()
	}
}

// Refuse implements relay.Writer.
func (w *chatReply) Refuse(p *problem.Problem) error {
	if w.inner == nil {
		return writeRefusal(w.c, p)
	}
	return w.inner.Refuse(p)
}

// WriteBreak implements relay.Writer.
func (w *chatReply) WriteBreak(p *problem.Problem) {
	if w.inner != nil {
		w.inner.WriteBreak(p)
	}
}

var _ relay.Writer = (*chatReply)(nil)
