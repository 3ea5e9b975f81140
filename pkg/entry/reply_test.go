package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

func TestEventReplyKeepsStatusAndEnding(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		parts  []string
		broken bool
		want   string
	}{
		"whole":                  {200, []string{"{}"}, false, "data: {}\n\ndata: [DONE]\n\n"},
		"refused, no body":       {400, nil, false, ""},
		"refused, a body":        {400, []string{"bad"}, false, "bad"},
		"broken off":             {200, []string{"{}"}, true, "event: error"},
		"broken off at the head": {200, nil, true, "stream_broken"},
	} {
		t.Run(name, func(t *testing.T) {
			answer := httptest.NewRecorder()
			w := newEventReply(echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), answer))
			_ = w.SetHeader(tc.status, http.Header{"Content-Type": {"text/plain"}})
			for _, part := range tc.parts {
				_ = w.WriteData([]byte(part))
			}
			if tc.broken {
				_ = w.Refuse(problem.New(problem.ReasonStreamBroken, ""))
			} else {
				_ = w.Finish()
			}
			body := answer.Body.String()
			if !strings.Contains(body, tc.want) || tc.broken && strings.Contains(body, "[DONE]") {
				t.Errorf("got %q", body)
			}
			if !tc.broken && answer.Code != tc.status {
				t.Errorf("status %d in place of %d", answer.Code, tc.status)
			}
		})
	}
}

func TestAnswerInOnePieceLeavesNothingOut(t *testing.T) {
	for part, want := range map[string]bool{
		`{"choices":[{"index":0,"delta":{"role":"assistant","content":"a","refusal":null}}]}`: true,
		`{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":null}`:            true,
		`{"choices":[{"index":1,"delta":{"content":"b"}}]}`:                                   false,
		`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]}`:                      false,
		`{"choices":[{"index":0,"delta":{"content":7}}]}`:                                     false,
		`{`: false,
	} {
		w := newWholeReply(nil)
		_ = w.SetHeader(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		if err := w.WriteData([]byte(part)); (err == nil) != want {
			t.Errorf("%s: %v", part, err)
		}
	}
}
