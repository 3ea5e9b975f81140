package engine

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
)

// newTestEngine returns a running engine and its base URL.
func newTestEngine(t *testing.T, slots int) string {
	t.Helper()
	s := New(Config{Model: "m", Slots: slots, StepTime: time.Millisecond, ColdSlowdown: 1})
	e := echo.New()
	s.Register(e)
	go s.Run()
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return server.URL
}

// postCompletion starts a completion and returns the response.
func postCompletion(t *testing.T, url, tokens string, header ...string) *http.Response {
	t.Helper()
	body := `{"max_tokens":` + tokens + `,"messages":[{"content":"a"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// readTokens reads a response to its end and returns its tokens, with "end" for the
// end marker.
func readTokens(resp *http.Response) string {
	var got []string
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if _, rest, ok := strings.Cut(lines.Text(), `"content":"`); ok {
			token, _, _ := strings.Cut(rest, ` "`)
			got = append(got, token)
		}
		if strings.HasSuffix(lines.Text(), "[DONE]") {
			got = append(got, "end")
		}
	}
	return strings.Join(got, " ")
}

func TestCompletionResumesAtOffset(t *testing.T) {
	url := newTestEngine(t, 2)
	resp := postCompletion(t, url, "4", headerResumeFrom, "2")
	if got := readTokens(resp); got != "a-3 a-4 end" || resp.Header.Get(headerResumedFrom) != "2" {
		t.Errorf("got %q, resumed from %q", got, resp.Header.Get(headerResumedFrom))
	}
	if resp := postCompletion(t, url, "4", headerResumeFrom, "4"); resp.StatusCode != http.StatusBadRequest {
		t.Errorf("an offset at the end of the response gives status %d", resp.StatusCode)
	}
}

func TestPriorityRequestPreemptsRunningRequest(t *testing.T) {
	url := newTestEngine(t, 1)
	first := postCompletion(t, url, "200")
	if full := postCompletion(t, url, "1"); full.StatusCode != http.StatusTooManyRequests {
		t.Fatalf("a full engine responds with status %d", full.StatusCode)
	}
	if got := readTokens(postCompletion(t, url, "2", headerPriority, "1")); got != "a-1 a-2 end" {
		t.Errorf("the priority request received %q", got)
	}
	if got := readTokens(first); !strings.HasSuffix(got, "a-199 a-200 end") {
		t.Errorf("the response of the preempted request ends with %q", got[max(0, len(got)-40):])
	}
}

func TestReportedLoadLags(t *testing.T) {
	s := New(Config{LoadLag: time.Second})
	begin := time.Unix(1000, 0)
	for i, want := range []int{0, 0, 0, 0, 1, 2} {
		now := begin.Add(time.Duration(i) * 400 * time.Millisecond)
		if got := s.recordLoad(load{Running: i}, now).Running; got != want {
			t.Errorf("after %s: load of report %d, want %d", now.Sub(begin), got, want)
		}
	}
}
