package relay

import (
	"context"
	"net/http"

	"github.com/acaciaglade/acaciaglade/pkg/pipe"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/server"
)

// Writer writes a response to a caller in the format that the caller asked for. It decides
// what is buffered until the response is complete.
type Writer interface {
	// SetHeader sets the status and the header. It is not called once a part has reached the
	// caller.
	SetHeader(status int, header http.Header) error
	// WriteData appends a part.
	WriteData(part []byte) error
	// Finish writes what is left of a complete response.
	Finish() error
	// HasStarted reports whether a part has reached the caller.
	HasStarted() bool
	// Restart discards all parts. It is not called once a part has reached the caller.
	Restart()
	// Refuse writes a refusal. It is not called once a part has reached the caller.
	Refuse(p *problem.Problem) error
	// WriteBreak may tell the caller why the response is broken off. The connection is
	// aborted afterwards.
	WriteBreak(p *problem.Problem)
}

// Response is the response to one caller. It implements pipe.Reply.
type Response struct {
	writer  Writer
	request *pipe.Request
	state   State
	// conn is the context with the caller's connection if only the end of the connection
	// ends a response, and nil otherwise.
	conn context.Context
}

// New returns the response to a request that arrived as an HTTP request.
func New(w Writer, r *pipe.Request, req *http.Request) *Response {
	x := &Response{writer: w, request: r}
	if !req.ProtoAtLeast(1, 1) {
		x.conn = req.Context()
	}
	return x
}

// setResetOnClose makes a connection whose end would end the response be reset when it is
// closed, also if the process ends, or be closed as usual.
func (x *Response) setResetOnClose(reset bool) error {
	if x.conn == nil {
		return nil
	}
	return server.SetResetOnClose(x.conn, reset)
}

// StartAttempt implements pipe.Reply.
func (x *Response) StartAttempt() {
	x.state.StartAttempt()
	if !x.HasStarted() {
		x.writer.Restart()
	}
}

// head returns the head of a response with a status and a header.
func (x *Response) head(status int, header http.Header) Head {
	return NewHead(status, header.Get("Content-Type"), x.request.Streamed && status == http.StatusOK)
}

// CanContinue implements pipe.Reply.
func (x *Response) CanContinue(status int, header http.Header) bool {
	return x.state.CanContinue(x.head(status, header))
}

// SetHeader implements pipe.Reply.
func (x *Response) SetHeader(status int, header http.Header) error {
	if err := x.state.AcceptHead(x.head(status, header)); err != nil {
		return err
	}
	if x.HasStarted() {
		return nil
	}
	if err := x.setResetOnClose(true); err != nil {
		return err
	}
	return x.writer.SetHeader(status, header)
}

// WriteData implements pipe.Reply.
func (x *Response) WriteData(part []byte) error {
	if err := x.state.AcceptPart(); err != nil {
		return err
	}
	err := x.writer.WriteData(part)
	if x.writer.HasStarted() {
		x.state.RecordStart()
	}
	return err
}

// Finish implements pipe.Reply.
func (x *Response) Finish() error {
	if err := x.state.AcceptPart(); err != nil {
		return problem.New(problem.ReasonStreamBroken, err.Error())
	}
	err := x.writer.Finish()
	if x.writer.HasStarted() {
		x.state.RecordStart()
	}
	if err == nil {
		err = x.setResetOnClose(false)
	}
	if err != nil {
		return err
	}
	return x.state.RecordComplete()
}

// HasStarted implements pipe.Reply.
func (x *Response) HasStarted() bool { return x.state.HasStarted() }

// Serve runs the filters, which return why the request was not served, and ends the response. If
// they panic, so does Serve.
func (x *Response) Serve(filters func() *problem.Problem) error {
	defer func() {
		if p := recover(); p != nil {
			x.abort()
			panic(p)
		}
	}()
	return x.End(filters())
}

// End ends the response after the filters have returned. p is why the request was not served,
// nil if it was. A response that has begun and is not complete ends in a panic with
// http.ErrAbortHandler, which aborts the connection.
func (x *Response) End(p *problem.Problem) error {
	switch x.state.End() {
	case EndComplete:
		return nil
	case EndRefused:
		if p == nil {
			p = problem.New(problem.ReasonInternal, "no response was written")
		}
		if err := x.setResetOnClose(false); err != nil {
			return err
		}
		return x.writer.Refuse(p)
	default:
		if p != nil {
			x.writer.WriteBreak(p)
		}
		panic(http.ErrAbortHandler)
	}
}

// abort closes a connection whose end would end the response, unless that is complete.
func (x *Response) abort() {
	if x.conn != nil && x.state.End() != EndComplete {
		// The server aborts the connection next, whether it is still open or not.
		_ = server.CloseTransport(x.conn)
	}
}

var _ pipe.Reply = (*Response)(nil)
