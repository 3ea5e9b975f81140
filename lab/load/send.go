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

// client is shared, so that connections are reused.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// answer is what one request got.
type answer struct {
	tokens  int
	first   time.Duration
	refusal *problem.Problem
}

func newKey() string { return uuid.NewString() }

// notConnected reports whether no byte of a request left this process.
func notConnected(err error) bool {
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
	case Confirm:
		return http.MethodPost, service + "/orders/confirm", `{"item":"cufflinks"}`
	case Status:
		return http.MethodGet, service + "/orders/17", ""
	default:
		return http.MethodPost, "/v1/chat/completions", fmt.Sprintf(
			`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"one two three"}]}`,
			c.Model, c.Kind != Draft, c.Tokens)
	}
}

// send sends one request to one entry. begin is when it was first sent.
func (s *sender) send(ctx context.Context, entry, key string, begin time.Time) (answer, error) {
	method, path, body := s.cfg.target()
	req, err := http.NewRequestWithContext(ctx, method, entry+path, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	// Without GetBody the transport can't send the request a second time.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+s.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	if s.cfg.Kind == Confirm {
		req.Header.Set("Idempotency-Key", key)
	}
	if s.cfg.Deadline > 0 {
		left := max(time.Millisecond, s.cfg.Deadline-time.Since(begin))
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	return s.read(resp, begin)
}

func (s *sender) read(resp *http.Response, begin time.Time) (answer, error) {
	if resp.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		return answer{refusal: &p}, errors.WithStack(json.NewDecoder(resp.Body).Decode(&p))
	}
	switch s.cfg.Kind {
	case Chat, Counter:
		return readEvents(resp.Body, begin, s.cfg.Tokens)
	case Draft:
		return readDraft(resp.Body, s.cfg.Tokens)
	default:
		_, err := io.Copy(io.Discard, resp.Body)
		return answer{}, errors.WithStack(err)
	}
}

// draft is what is read of an answer in one piece.
type draft struct {
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

func readDraft(body io.Reader, want int) (answer, error) {
	var d draft
	if err := json.NewDecoder(body).Decode(&d); err != nil {
		return answer{}, errors.WithStack(err)
	}
	a := answer{tokens: d.Usage.CompletionTokens}
	return a, checkTokens(a.tokens, want)
}

func checkTokens(got, want int) error {
	if got != want {
		return errors.Errorf("%d tokens came in place of %d", got, want)
	}
	return nil
}

// readEvents reads a streamed answer and checks that it is whole.
func readEvents(body io.Reader, begin time.Time, want int) (answer, error) {
	var a answer
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
			a.refusal = &problem.Problem{}
			return a, errors.WithStack(json.Unmarshal(data, a.refusal))
		case string(data) == "[DONE]":
			return a, checkTokens(a.tokens, want)
		default:
			if a.tokens == 0 {
				a.first = time.Since(begin)
			}
			a.tokens++
		}
	}
	return a, errors.New("the stream ended early")
}
