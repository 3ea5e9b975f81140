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

// TestEndlessBodiesAreCutOff guards against a faulty agent whose response or query never
// ends: only a limited part of the body is read, and the call ends without its timeout.
func TestEndlessBodiesAreCutOff(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := strings.Repeat("x", 64<<10)
		_, err := io.WriteString(w, `{"answers":[{"verdict":"`)
		for err == nil {
			_, err = io.WriteString(w, part)
		}
	}))
	defer s.Close()
	a := New(Config{Engine: fakeEngine{}, HTTPClient: s.Client()})
	began := time.Now()
	if out, err := a.call(t.Context(), strings.TrimPrefix(s.URL, "http://"), &query{}, time.Minute); err == nil {
		t.Errorf("an endless response was accepted: %+v", out)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("the call ended after %v", took)
	}

	e := echo.New()
	a.Register(e.Group(""))
	body := strings.NewReader(`{"map":"` + strings.Repeat("A", 2*maxQueryBytes) + `"}`)
	req := httptest.NewRequest(http.MethodPost, pathQuery, body)
	req.Header.Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, req)
	if recorder.Code != http.StatusBadRequest || body.Len() < maxQueryBytes/2 {
		t.Errorf("an endless query got status %d with %d bytes left unread", recorder.Code, body.Len())
	}
}
