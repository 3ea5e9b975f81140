// Package session records the calls of a caller or an operator to real processes and
// their responses. Values that differ between runs are replaced, so that the record
// can be compared with a golden file.
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

// Recorder records one session.
type Recorder struct {
	record bytes.Buffer
}

// Note adds a comment line that describes the next part of the session.
func (r *Recorder) Note(format string, args ...any) {
	fmt.Fprintf(&r.record, "# "+format+"\n", args...)
}

// Line adds a line to the record.
func (r *Recorder) Line(format string, args ...any) {
	fmt.Fprintf(&r.record, format+"\n", args...)
}

// Bytes returns the normalised record.
func (r *Recorder) Bytes() []byte { return Normalise(r.record.Bytes()) }

// Call is one HTTP call of a session.
type Call struct {
	Method string
	URL    string
	Token  string
	// Header alternates the names and values of header fields.
	Header []string
	Body   string
}

// Do makes a call and records it with its response, which it returns.
func (r *Recorder) Do(ctx context.Context, c Call) (status int, body []byte, err error) {
	p := r.Start(ctx, c)
	status, body = p.Wait()
	return status, body, p.err
}

// Start records a call and makes it in the background. Pending.Wait records the
// response.
func (r *Recorder) Start(ctx context.Context, c Call) *Pending {
	p := &Pending{recorder: r, first: make(chan struct{}), done: make(chan struct{})}
	r.Line("> %s %s %s", c.Method, c.requestURI(), strings.Join(c.Header, " "))
	if c.Body != "" {
		r.Line("> %s", c.Body)
	}
	go p.run(ctx, c)
	return p
}

func (c *Call) requestURI() string {
	u, err := url.Parse(c.URL)
	if err != nil {
		return c.URL
	}
	return u.RequestURI()
}

// indentJSON indents a JSON body and leaves any other body as it is.
func indentJSON(body []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") == nil {
		return strings.TrimSpace(out.String())
	}
	return strings.TrimSpace(string(body))
}

// replacements lists the values that differ between runs and their replacements.
var replacements = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "<id>"},
	{regexp.MustCompile(`127(\.\d+){3}:\d+`), "<address>"},
	{regexp.MustCompile(`"report_age_millis": \d+`), `"report_age_millis": <age>`},
	{regexp.MustCompile(`"(answer_)?age_millis": \d+`), `"${1}age_millis": <age>`},
	{regexp.MustCompile(`(?m) [0-9.]+m?s$`), ` <age>`},
}

// Normalise replaces the values that differ between runs.
func Normalise(b []byte) []byte {
	for _, r := range replacements {
		b = r.pattern.ReplaceAll(b, []byte(r.replacement))
	}
	return b
}
