package load

import (
	"bufio"
	"bytes"
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
			`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"one two three"}]}`,
			c.Model, c.Kind != KindDraft, c.Tokens)
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

// completion is the part of a completion that is read when it isn't streamed.
type completion struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func readCompletion(body io.Reader, want int) (response, error) {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return response{}, errors.WithStack(err)
	}
	r := response{tokens: c.Usage.CompletionTokens}
	return r, checkTokenCount(r.tokens, want)
}

func checkTokenCount(got, want int) error {
	if got != want {
		return errors.Errorf("the response has %d tokens, want %d", got, want)
	}
	return nil
}

// readEvents reads a streamed response and checks that it is complete.
func readEvents(body io.Reader, begin time.Time, want int) (response, error) {
	var r response
	failed := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
		case failed:
			r.refusal = &problem.Problem{}
			return r, errors.WithStack(json.Unmarshal(data, r.refusal))
		case string(data) == "[DONE]":
			return r, checkTokenCount(r.tokens, want)
		default:
			if r.tokens == 0 {
				r.timeToFirstToken = time.Since(begin)
			}
			r.tokens++
		}
	}
	return r, errors.New("the stream ended without [DONE]")
}
