package session

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Pending is a call whose response has not been recorded yet.
type Pending struct {
	recorder *Recorder
	first    chan struct{}
	done     chan struct{}
	once     sync.Once

	resp *http.Response
	err  error

	mu   sync.Mutex
	body []byte
}

// FirstPart returns a channel that is closed once the first part of the response's body
// has arrived, or the call has ended.
func (p *Pending) FirstPart() <-chan struct{} { return p.first }

// Done returns a channel that is closed once the call has ended.
func (p *Pending) Done() <-chan struct{} { return p.done }

// Text returns the part of the response's body that has arrived.
func (p *Pending) Text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return string(p.body)
}

// Wait waits for the end of the call and records the response.
func (p *Pending) Wait() (status int, body []byte) {
	<-p.done
	if p.resp == nil {
		p.recorder.Line("< no response")
		return 0, nil
	}
	p.recorder.Line("< %d %s", p.resp.StatusCode, p.resp.Header.Get("Content-Type"))
	if retry := p.resp.Header.Get("Retry-After"); retry != "" {
		p.recorder.Line("< Retry-After: %s", retry)
	}
	p.recorder.Line("%s", indentJSON(p.body))
	if p.err != nil {
		p.recorder.Line("< the response was aborted")
	}
	return p.resp.StatusCode, p.body
}

// WaitUnrecorded waits for the end of the call without recording its response.
func (p *Pending) WaitUnrecorded() (status int, body []byte, err error) {
	<-p.done
	if p.resp == nil {
		return 0, nil, p.err
	}
	return p.resp.StatusCode, p.body, p.err
}

// run makes the call and reads its response.
func (p *Pending) run(ctx context.Context, c Call) {
	defer close(p.done)
	defer p.markFirstPart()
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, strings.NewReader(c.Body))
	if err != nil {
		p.err = errors.WithStack(err)
		return
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	for i := 0; i+1 < len(c.Header); i += 2 {
		req.Header.Set(c.Header[i], c.Header[i+1])
	}
	if p.resp, p.err = http.DefaultClient.Do(req); p.err != nil {
		p.resp = nil
		return
	}
	defer p.resp.Body.Close()
	p.readBody()
}

func (p *Pending) readBody() {
	part := make([]byte, 4<<10)
	for {
		n, err := p.resp.Body.Read(part)
		p.mu.Lock()
		p.body = append(p.body, part[:n]...)
		p.mu.Unlock()
		if n > 0 {
			p.markFirstPart()
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.err = errors.WithStack(err)
			}
			return
		}
	}
}

func (p *Pending) markFirstPart() { p.once.Do(func() { close(p.first) }) }
