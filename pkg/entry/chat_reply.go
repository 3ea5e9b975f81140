package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// chatReply writes a model's response as a stream or in one piece, as requested.
// Which of the two is known once the request has passed the route filter.
type chatReply struct {
	c       echo.Context
	request *pipe.Request
	inner   refusableReply
}

// SetHeader implements pipe.Reply.
func (w *chatReply) SetHeader(status int, header http.Header) error {
	if w.inner == nil {
		w.inner = w.newInner()
	}
	return w.inner.SetHeader(status, header)
}

func (w *chatReply) newInner() refusableReply {
	if w.request.Streamed {
		return newEventReply(w.c)
	}
	return newCompletionReply(w.c)
}

// WriteData implements pipe.Reply.
func (w *chatReply) WriteData(part []byte) error { return w.inner.WriteData(part) }

// Finish implements pipe.Reply.
func (w *chatReply) Finish() error { return w.inner.Finish() }

// HasStarted implements pipe.Reply.
func (w *chatReply) HasStarted() bool { return w.c.Response().Committed }

// Restart implements pipe.Reply.
func (w *chatReply) Restart() {
	if w.inner != nil {
		w.inner.Restart()
	}
}

// Refuse implements refusableReply.
func (w *chatReply) Refuse(p *problem.Problem) error {
	if w.inner == nil {
		return writeRefusal(w.c, p)
	}
	return w.inner.Refuse(p)
}

var _ refusableReply = (*chatReply)(nil)
