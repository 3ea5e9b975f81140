package abuse

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// lastAttempt numbers the requests of sound callers.
var lastAttempt atomic.Int64

// newClient returns an HTTP client that opens a new connection for each request.
func newClient() *http.Client {
	return &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

// send sends a request as a sound caller does, and returns the response's status and body.
func (p *process) send(ctx context.Context, path string, body io.Reader, header http.Header) (int, string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address(portCallers)+path, body)
	if err != nil {
		return 0, "", err
	}
	id := fmt.Sprint("sound-", lastAttempt.Add(1))
	req.Host = callersHost
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Api-Key", callersKey)
	req.Header.Set("X-Deadline-Ms", "8000")
	resp, err := newClient().Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK && (string(raw) != "done "+id || resp.Header.Get("X-Replica-Seal") != "seal-"+id) {
		err = fmt.Errorf("the response to %s is %q", id, raw)
	}
	return resp.StatusCode, string(raw), err
}

// isServed reports whether one ordinary request is served.
func (p *process) isServed(ctx context.Context) (bool, string) {
	status, body, err := p.send(ctx, pathStatus, strings.NewReader("an ordinary request"), nil)
	return err == nil && status == http.StatusOK, fmt.Sprint(status, " ", body, " ", err)
}

// Limits of what a sound caller does to be served.
const (
	// maxTries is how often it sends a request that is refused.
	maxTries  = 10
	tryPause  = 500 * time.Millisecond
	startTime = 30 * time.Second
)

// awaitServed waits until the process serves requests.
func (p *process) awaitServed(t *testing.T) {
	t.Helper()
	last := ""
	for begin := time.Now(); time.Since(begin) < startTime; time.Sleep(50 * time.Millisecond) {
		ok, why := p.isServed(t.Context())
		if ok {
			return
		}
		last = why
	}
	t.Fatalf("the process serves no request: %s\n%s", last, p.logTail())
}

// answers reports whether one ordinary request to a listener is answered with status 200.
func (p *process) answers(ctx context.Context, port int, path string) (bool, string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address(port)+path, http.NoBody)
	if err != nil {
		return false, err.Error()
	}
	resp, err := newClient().Do(req)
	if err != nil {
		return false, err.Error()
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK, fmt.Sprint(resp.StatusCode, " ", err)
}

// awaitAnswer waits until the process answers a path.
func (p *process) awaitAnswer(t *testing.T, port int, path string) {
	t.Helper()
	last := ""
	for begin := time.Now(); time.Since(begin) < startTime; time.Sleep(50 * time.Millisecond) {
		ok, why := p.answers(t.Context(), port, path)
		if ok {
			return
		}
		last = why
	}
	t.Fatalf("the process does not answer %s: %s\n%s", path, last, p.logTail())
}
