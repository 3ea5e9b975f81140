package connpool

import (
	"io"
	"net/http"
	"net/url"
	"testing"
)

// TestInvalidStatusIsNoResponse guards against bytes whose status is none of HTTP: they must not
// reach a caller, and what follows on the connection must not be read as the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			u := newFakeUpstream(t, func(int32) string {
				return "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" + next
			})
			p := newTestPool()
			for range 2 {
				x, err := p.Send(t.Context(), u.Addr().String(), &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}, nil, Options{})
				if err == nil {
					body, _ := io.ReadAll(x)
					t.Errorf("got status %d, %q", x.Status(), body)
					x.Discard()
				}
			}
			if opened := u.opened.Load(); opened != 2 {
				t.Errorf("%d connections were opened for two requests, want one each", opened)
			}
		})
	}
}
