// Package session records what a caller or an operator sees in a whole visit to
// real processes, in a form that is the same in every run, for comparison with a
// golden file.
package session

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"regexp"
	"strings"
)

// Recorder is the record of one session.
type Recorder struct {
	out bytes.Buffer
}

// Note adds a line that says what happens next.
func (r *Recorder) Note(format string, args ...any) {
	fmt.Fprintf(&r.out, "# "+format+"\n", args...)
}

// Line adds a line of the record.
func (r *Recorder) Line(format string, args ...any) {
	fmt.Fprintf(&r.out, format+"\n", args...)
}

// Bytes returns the record, with what differs between runs replaced.
func (r *Recorder) Bytes() []byte { return Normalise(r.out.Bytes()) }

// Call is one HTTP call of a session.
type Call struct {
	Method string
	URL    string
	Token  string
	// Header is pairs of names and values.
	Header []string
	Body   string
}

// Do makes a call and records it with its answer. It returns the answer's body.
func (r *Recorder) Do(ctx context.Context, c Call) (status int, body []byte, err error) {
	p := r.Start(ctx, c)
	status, body = p.Wait()
	return status, body, p.err
}

// Start records a call and makes it in the background.
func (r *Recorder) Start(ctx context.Context, c Call) *Pending {
	p := &Pending{recorder: r, first: make(chan struct{}), done: make(chan struct{})}
	r.Line("> %s %s %s", c.Method, c.path(), strings.Join(c.Header, " "))
	if c.Body != "" {
		r.Line("> %s", c.Body)
	}
	go p.run(ctx, c)
	return p
}

func (c *Call) path() string {
	u, err := url.Parse(c.URL)
	if err != nil {
		return c.URL
	}
	return u.RequestURI()
}

// pretty indents JSON and leaves the rest alone.
func pretty(body []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") == nil {
		return strings.TrimSpace(out.String())
	}
	return strings.TrimSpace(string(body))
}

// replacements is what differs between runs and what stands for it.
var replacements = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`127(\.\d+){3}:\d+`), "<address>"},
	{regexp.MustCompile(`"report_age_millis": \d+`), `"report_age_millis": <age>`},
	{regexp.MustCompile(`"(answer_)?age_millis": \d+`), `"${1}age_millis": <age>`},
	{regexp.MustCompile(`(?m) [0-9.]+m?s$`), ` <age>`},
}

// Normalise replaces what differs between runs.
func Normalise(b []byte) []byte {
	for _, r := range replacements {
		b = r.pattern.ReplaceAll(b, []byte(r.with))
	}
	return b
}
