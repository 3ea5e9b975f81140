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

// endless is an upstream in trouble: it answers with bytes without end until its caller
// closes.
type endless struct {
	net.Listener
	sent   atomic.Int64
	closed chan struct{}
}

// newEndless returns an upstream that sends a beginning once and a part again and again,
// with a pause after each.
func newEndless(t *testing.T, beginning, again string, every time.Duration) *endless {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endless{Listener: l, closed: make(chan struct{}, 16)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.answer(c, beginning, again, every)
		}
	}()
	return e
}

func (e *endless) answer(c net.Conn, beginning, again string, every time.Duration) {
	defer c.Close()
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		return
	}
	_, err := io.WriteString(c, beginning)
	for err == nil {
		var n int
		n, err = io.WriteString(c, again)
		e.sent.Add(int64(n))
		time.Sleep(every)
	}
	e.closed <- struct{}{}
}

// TestBytesWithoutEndAreNoHead answers the pattern of a server in trouble: bytes that never
// become the head of an answer, fast or slowly. The attempt ends soon, with little read,
// and the connection is closed.
func TestBytesWithoutEndAreNoHead(t *testing.T) {
	long := strings.Repeat("x", 4<<10)
	for _, tc := range []struct {
		name, beginning, again string
		every                  time.Duration
	}{
		{"a status line", "HTTP/1.1 200 ", long, 0},
		{"a field", "HTTP/1.1 200 OK\r\nX-Name: ", long, 0},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-Name: " + long + "\r\n", 0},
		{"no protocol", "", long, 0},
		{"line feeds", "", strings.Repeat("\n", 4<<10), 0},
		{"a field, a byte now and then", "HTTP/1.1 200 OK\r\nX-Name: ", "x", 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEndless(t, tc.beginning, tc.again, tc.every)
			ctx, cancel := context.WithTimeout(t.Context(), 2*headTime)
			defer cancel()
			req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
			x, err := newPool().Send(ctx, e.Addr().String(), req, []byte("body"), Options{})
			if err == nil {
				x.Discard()
				t.Fatalf("bytes without end passed for the head of an answer")
			}
			if ctx.Err() != nil {
				t.Fatalf("the attempt ended only with its caller's time: %v", err)
			}
			select {
			case <-e.closed:
			case <-time.After(time.Second):
				t.Error("the connection stays open")
			}
			// What the sockets hold comes on top of what was read.
			if sent := e.sent.Load(); sent > maxHeadBytes+16<<20 {
				t.Errorf("%d bytes were taken", sent)
			}
		})
	}
}

// TestASlowSoundHeadIsTaken lets an upstream think for longer than a head may take to
// arrive: the time counts from the first byte on.
func TestASlowSoundHeadIsTaken(t *testing.T) {
	u := serve(t, func(int32) string {
		time.Sleep(headTime + 200*time.Millisecond)
		return good
	})
	if body, err := send(t, newPool(), u, Options{}); err != nil || body != "good" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestASlowSoundBodyIsRead lets a body arrive more slowly than a head may.
func TestASlowSoundBodyIsRead(t *testing.T) {
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
			time.Sleep(headTime / 3)
			_, _ = io.WriteString(c, string(b))
		}
	}()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	x, err := newPool().Send(t.Context(), l.Addr().String(), req, []byte("body"), Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer x.Discard()
	if body, err := io.ReadAll(x); err != nil || string(body) != "good" {
		t.Errorf("%q, %v", body, err)
	}
}
