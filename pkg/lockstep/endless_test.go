package lockstep

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
)

// TestAgentsThatSendWithoutEnd answers the pattern of a process in trouble: its answer, or
// its question, never ends. Little of it is taken, and the call ends by itself.
func TestAgentsThatSendWithoutEnd(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := strings.Repeat("x", 64<<10)
		_, err := io.WriteString(w, `{"answers":[{"verdict":"`)
		for err == nil {
			_, err = io.WriteString(w, part)
		}
	}))
	defer s.Close()
	a := New(Config{Engine: ownRank{}, HTTPClient: s.Client()})
	began := time.Now()
	if out, err := a.call(t.Context(), strings.TrimPrefix(s.URL, "http://"), &ask{}, time.Minute); err == nil {
		t.Errorf("an answer without end was taken: %+v", out)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the call ended after %v", took)
	}

	e := echo.New()
	a.Register(e.Group(""))
	body := strings.NewReader(`{"map":"` + strings.Repeat("A", 2*maxAskBytes) + `"}`)
	req := httptest.NewRequest(http.MethodPost, pathAsk, body)
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, req)
	if recorder.Code != http.StatusBadRequest || body.Len() < maxAskBytes/2 {
		t.Errorf("a question without end was answered %d after all but %d bytes", recorder.Code, body.Len())
	}
}
