package connpool

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endlessUpstream is a faulty upstream that sends bytes until the connection is closed.
type endlessUpstream struct {
	net.Listener
	sent   atomic.Int64
	closed chan struct{}
}

// newEndlessUpstream returns an upstream that sends a prefix and then repeats a part, with a
// pause after each repetition.
func newEndlessUpstream(t *testing.T, prefix, repeated string, pause time.Duration) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endlessUpstream{Listener: l, closed: make(chan struct{}, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c, prefix, repeated, pause)
		}
	}()
	return e
}

func (e *endlessUpstream) serve(c net.Conn, prefix, repeated string, pause time.Duration) {
	defer c.Close()
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		return
	}
	_, err := io.WriteString(c, prefix)
	for err == nil {
		var n int
		n, err = io.WriteString(c, repeated)
		e.sent.Add(int64(n))
		time.Sleep(pause)
	}
	e.closed <- struct{}{}
}

// TestEndlessHeaderIsRejected covers faulty servers whose bytes never complete a header,
// whether they arrive fast or slowly. The attempt must end before the caller's deadline,
// read little and close the connection.
func TestEndlessHeaderIsRejected(t *testing.T) {
	long := strings.Repeat("x", 4<<10)
	for _, tc := range []struct {
		name, prefix, repeated string
		pause                  time.Duration
	}{
		{"a status line", "HTTP/1.1 200 ", long, 0},
		{"a field", "HTTP/1.1 200 OK\r\nX-Name: ", long, 0},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Name: " + long + "\r\n", 0},
		{"no protocol", "", long, 0},
		{"line feeds", "", strings.Repeat("\n", 4<<10), 0},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 0},
		{"informational responses, one now and then", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 50 * time.Millisecond},
		{"a field, a byte now and then", "HTTP/1.1 200 OK\r\nX-Name: ", "x", 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEndlessUpstream(t, tc.prefix, tc.repeated, tc.pause)
			ctx, cancel := context.WithTimeout(t.Context(), 2*headerTimeout)
			defer cancel()
			req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
			x, err := newTestPool().Send(ctx, e.Addr().String(), req, []byte("body"), Options{})
			if err == nil {
				x.Discard()
				t.Fatalf("endless bytes were accepted as a header")
			}
			if ctx.Err() != nil {
				t.Fatalf("the attempt ended only at the caller's deadline: %v", err)
			}
			select {
			case <-e.closed:
			case <-time.After(time.Second):
				t.Error("the connection stays open")
			}
			// The socket buffers hold bytes in addition to those that were read.
			if sent := e.sent.Load(); sent > maxHeaderBytes+16<<20 {
				t.Errorf("%d bytes were read or buffered", sent)
			}
		})
	}
}

// TestInformationalResponsesAreSkipped sends informational responses before the final one,
// which may take longer than a header.
func TestInformationalResponsesAreSkipped(t *testing.T) {
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for name, respond := range map[string]func(c io.Writer){
		"together": func(c io.Writer) { _, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"+hints+validResponse) },
		"apart": func(c io.Writer) {
			_, _ = io.WriteString(c, hints)
			time.Sleep(headerTimeout + 200*time.Millisecond)
			_, _ = io.WriteString(c, validResponse)
		},
	} {
		t.Run(name, func(t *testing.T) {
			u, p := newWritingUpstream(t, respond), newTestPool()
			for range 2 {
				if body, err := send(t, p, u, Options{}); err != nil || body != "good" {
					t.Fatalf("%q, %v", body, err)
				}
			}
			if n := u.opened.Load(); n != 1 {
				t.Errorf("%d connections for two consecutive requests", n)
			}
		})
	}
}

// TestSlowFirstByteIsAccepted lets an upstream wait for longer than headerTimeout before it
// responds: the timeout starts at the first byte.
func TestSlowFirstByteIsAccepted(t *testing.T) {
	u := newFakeUpstream(t, func(int32) string {
		time.Sleep(headerTimeout + 200*time.Millisecond)
		return validResponse
	})
	if body, err := send(t, newTestPool(), u, Options{}); err != nil || body != "good" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestSlowBodyIsRead lets a body arrive more slowly than a header may.
func TestSlowBodyIsRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
		for _, b := range "good" {
			time.Sleep(headerTimeout / 3)
			_, _ = io.WriteString(c, string(b))
		}
	}()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	x, err := newTestPool().Send(t.Context(), l.Addr().String(), req, []byte("body"), Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Discard()
	if body, err := io.ReadAll(x); err != nil || string(body) != "good" {
		t.Errorf("%q, %v", body, err)
	}
}
