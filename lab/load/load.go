// Package load sends open-loop traffic to entries, so that a slow answer never
// slows the arrivals, and checks that every answer is whole.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// Kind is the kind of work that is sent.
type Kind string

// Kinds of work.
const (
	// Chat is a streamed chat completion.
	Chat Kind = "chat"
	// Confirm is a call that is not idempotent.
	Confirm Kind = "confirm"
)

// Config is the settings of one organisation's traffic.
type Config struct {
	Entries      []string
	Organisation string
	Token        string
	Kind         Kind
	// PerSecond is the rate of arrivals.
	PerSecond float64
	// Tokens is the length of a chat completion's answer.
	Tokens  int
	Model   string
	Service string
}

// Refusals counts the refusals of one reason.
type Refusals struct {
	Reason problem.Reason `json:"reason"`
	Ran    problem.Ran    `json:"ran"`
	Count  int            `json:"count"`
}

// Result is what became of one organisation's traffic.
type Result struct {
	Organisation string     `json:"organisation"`
	Kind         Kind       `json:"kind"`
	Sent         int        `json:"sent"`
	Complete     int        `json:"complete"`
	Tokens       int        `json:"tokens"`
	Refusals     []Refusals `json:"refusals"`
	// Broken counts answers that ended without being whole and without a reason.
	Broken int `json:"broken"`
	// FirstToken and Whole are the latencies in microseconds.
	FirstToken *hdrhistogram.Histogram `json:"-"`
	Whole      *hdrhistogram.Histogram `json:"-"`
}

// RefusedText lists the refusals in words.
func (r *Result) RefusedText() string {
	var parts []string
	for _, f := range r.Refusals {
		parts = append(parts, fmt.Sprintf("%d %s (ran: %s)", f.Count, f.Reason, f.Ran))
	}
	if r.Broken > 0 {
		parts = append(parts, fmt.Sprintf("%d broken", r.Broken))
	}
	return strings.Join(parts, ", ")
}

// maxLatency is the largest latency that is recorded, in microseconds.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// client is shared, so that connections are reused.
var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

// answerTimeout bounds the wait for an answer once no more is sent.
const answerTimeout = 30 * time.Second

// Run sends traffic until ctx ends, waits for the answers and returns what
// became of them.
func Run(ctx context.Context, cfg Config) Result {
	s := &sender{cfg: cfg, result: Result{
		Organisation: cfg.Organisation,
		Kind:         cfg.Kind,
		FirstToken:   hdrhistogram.New(1, maxLatency, 3),
		Whole:        hdrhistogram.New(1, maxLatency, 3),
	}}
	interval := time.Duration(float64(time.Second) / cfg.PerSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			s.group.Wait()
			return s.result
		case <-ticker.C:
			entry := cfg.Entries[i%len(cfg.Entries)]
			s.result.Sent++
			s.group.Go(func() { s.one(entry) })
		}
	}
}

type sender struct {
	cfg    Config
	group  sync.WaitGroup
	mu     sync.Mutex
	result Result
}

// answer is what one request got.
type answer struct {
	tokens  int
	first   time.Duration
	refusal *problem.Problem
}

func (s *sender) one(entry string) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	begin := time.Now()
	a, err := s.send(ctx, entry)
	took := time.Since(begin)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.result.Broken++
	case a.refusal != nil:
		s.refused(a.refusal)
	default:
		s.result.Complete++
		s.result.Tokens += a.tokens
		_ = s.result.Whole.RecordValue(took.Microseconds())
		if a.first > 0 {
			_ = s.result.FirstToken.RecordValue(a.first.Microseconds())
		}
	}
}

func (s *sender) refused(p *problem.Problem) {
	i := slices.IndexFunc(s.result.Refusals, func(r Refusals) bool { return r.Reason == p.Reason && r.Ran == p.Ran })
	if i < 0 {
		s.result.Refusals = append(s.result.Refusals, Refusals{Reason: p.Reason, Ran: p.Ran, Count: 1})
		return
	}
	s.result.Refusals[i].Count++
}

func (s *sender) send(ctx context.Context, entry string) (answer, error) {
	target, body := entry+"/v1/chat/completions", fmt.Sprintf(
		`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"one two three"}]}`, s.cfg.Model, s.cfg.Tokens)
	if s.cfg.Kind == Confirm {
		target, body = entry+"/services/"+s.cfg.Service+"/orders/confirm", `{"item":"cufflinks"}`
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+s.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", uuid.NewString())
	begin := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		return answer{refusal: &p}, errors.WithStack(json.NewDecoder(resp.Body).Decode(&p))
	}
	if s.cfg.Kind == Confirm {
		_, err := io.Copy(io.Discard, resp.Body)
		return answer{}, errors.WithStack(err)
	}
	return readEvents(resp.Body, begin, s.cfg.Tokens)
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
			if a.tokens != want {
				return a, errors.Errorf("%d tokens came in place of %d", a.tokens, want)
			}
			return a, nil
		default:
			if a.tokens == 0 {
				a.first = time.Since(begin)
			}
			a.tokens++
		}
	}
	return a, errors.New("the stream ended early")
}
