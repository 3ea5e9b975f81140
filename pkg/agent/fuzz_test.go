package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
)

// FuzzMessages checks that an agent which is not ready starts no run, no matter what an
// entry sends, and responds with a final frame or a state (status 200) or with status 400.
func FuzzMessages(f *testing.F) {
	const token = "loopback-peer-token"
	a := New(Config{PeerToken: token, HeartbeatInterval: time.Second}, nil, prometheus.NewRegistry())
	e := echo.New()
	a.Register(e)
	f.Add(peer.PathAttempts, `{"request_id":"r","attempt":1,"incarnation":"`+a.incarnation+`","deadline_unix_milli":1}`)
	f.Add(peer.PathAttempts, `{"request_id":"r","attempt":1,"deadline_unix_milli":9223372036854775807}`)
	f.Add(peer.PathAttempts, `{"request_id":"","attempt":-1,"deadline_unix_milli":-9223372036854775808}`)
	f.Add(peer.PathAttempts, `{"body":"not base64"}`)
	f.Add(peer.PathWithdraw, `{"request_id":"r","attempt":1,"incarnation":"`+a.incarnation+`","deadline_unix_milli":9223372036854775807}`)
	f.Add(peer.PathReport, `{"marks":{"version":18446744073709551615}}`)
	f.Add(peer.PathReport, `[`)
	f.Fuzz(func(t *testing.T, path, body string) {
		if path != peer.PathAttempts && path != peer.PathWithdraw && path != peer.PathReport {
			return
		}
		req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		req.Header.Set(api.HeaderPeerToken, token)
		response := httptest.NewRecorder()
		e.ServeHTTP(response, req)
		if response.Code != http.StatusOK && response.Code != http.StatusBadRequest {
			t.Errorf("got status %d, want 200 or 400", response.Code)
		}
		if len(a.runs) > 0 {
			t.Errorf("the agent started a run for %q", body)
		}
	})
}

func TestDeadlineOutOfRangeIsInvalid(t *testing.T) {
	now := time.Now()
	for millis, want := range map[int64]bool{
		-1: false, 0: true, now.UnixMilli(): true, now.Add(api.MaxDeadlineAhead + time.Hour).UnixMilli(): false, 1<<63 - 1: false,
	} {
		a := api.AttemptRequest{RequestID: "r", Attempt: 1, DeadlineUnixMilli: millis}
		if a.Valid(now) != want {
			t.Errorf("deadline %d ms: valid is %t", millis, !want)
		}
	}
}
