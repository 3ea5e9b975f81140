package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// client is shared by all senders, so that connections are reused.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// response is the response to one request as it was read.
type response struct {
	tokens           int
	timeToFirstToken time.Duration
	refusal          *problem.Problem
}

func newIdempotencyKey() string { return uuid.NewString() }

// isDialError reports whether a request failed before its connection was open, so that no
// byte of it was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// target returns the method, path and body of a request.
func (c *Config) target() (method, path, body string) {
	service := "/services/" + c.Service
	if c.Direct {
		service = ""
	}
	switch c.Kind {
	case KindConfirm:
		return http.MethodPost, service + "/orders/confirm", `{"item":"cufflinks"}`
	case KindStatus:
		return http.MethodGet, service + "/orders/17", ""
	default:
		return http.MethodPost, "/v1/chat/completions", fmt.Sprintf(
			`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
			c.Model, c.Kind != KindDraft, c.Tokens, strings.Join(promptWords, " "))
	}
}

// send sends a request to an entry. begin is when it was first sent.
func (s *sender) send(ctx context.Context, entry, key string, begin time.Time) (response, error) {
	method, path, body := s.cfg.target()
	req, err := http.NewRequestWithContext(ctx, method, entry+path, strings.NewReader(body))
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	// Without GetBody the transport can't retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	if s.cfg.Kind == KindConfirm {
		req.Header.Set("Idempotency-Key", key)
	}
	if s.cfg.Deadline > 0 {
		left := max(time.Millisecond, s.cfg.Deadline-time.Since(begin))
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	return s.readResponse(resp, begin)
}

func (s *sender) readResponse(resp *http.Response, begin time.Time) (response, error) {
	if resp.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		return response{refusal: &p}, errors.WithStack(json.NewDecoder(resp.Body).Decode(&p))
	}
	if resp.StatusCode != http.StatusOK {
		return response{}, errors.WithStack(&responseError{text: fmt.Sprintf("the response has status %d", resp.StatusCode)})
	}
	switch s.cfg.Kind {
	case KindChat, KindCounter:
		return readEvents(resp.Body, begin, s.cfg.Tokens)
	case KindDraft:
		return readCompletion(resp.Body, s.cfg.Tokens)
	default:
		_, err := io.Copy(io.Discard, resp.Body)
		return response{}, errors.WithStack(err)
	}
}
