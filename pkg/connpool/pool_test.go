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
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// upstream is a server that answers each request on a connection by a script.
type upstream struct {
	net.Listener
	opened atomic.Int32
}

// serve answers the n-th request of all connections with answer(n). An empty answer
// closes the connection.
func serve(t *testing.T, answer func(n int32) string) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &upstream{Listener: l}
	var served atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.opened.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					text := answer(served.Add(1))
					if text == "" {
						return
					}
					_, _ = io.WriteString(c, text)
				}
			}()
		}
	}()
	return u
}

func newPool() *Pool {
	return New(Config{DialTimeout: time.Second, Dialer: NewDialer(KeepAlive{}), MaxIdle: 5 * time.Second, MaxIdlePerHost: 4})
}

// send sends a request and returns the body of its answer.
func send(t *testing.T, p *Pool, u *upstream, opts Options) (string, error) {
	t.Helper()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	x, err := p.Send(t.Context(), u.Addr().String(), req, []byte("body"), opts)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(x)
	if err != nil {
		x.Discard()
		return "", err
	}
	x.Release()
	return string(body), nil
}

const good = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

// TestConnectionsAreKept sends requests in turn over one connection, and over a new
// one when the kept one has rested for too long.
func TestConnectionsAreKept(t *testing.T) {
	u, p := serve(t, func(int32) string { return good }), newPool()
	for range 3 {
		if body, err := send(t, p, u, Options{}); err != nil || body != "good" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if n := u.opened.Load(); n != 1 {
		t.Errorf("%d connections for three requests in turn", n)
	}
	time.Sleep(30 * time.Millisecond)
	if _, err := send(t, p, u, Options{MaxIdle: 10 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	if n := u.opened.Load(); n != 2 {
		t.Errorf("%d connections after a rest beyond the bound", n)
	}
}

// TestSurplusBytesAreNoAnswer lets an upstream send more than the answer: what follows
// must not be taken for the next request's answer.
func TestSurplusBytesAreNoAnswer(t *testing.T) {
	u, p := serve(t, func(n int32) string {
		if n == 1 {
			return good + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
		}
		return good
	}), newPool()
	for range 2 {
		body, err := send(t, p, u, Options{})
		if err != nil || body != "good" {
			t.Fatalf("%q, %v", body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := u.opened.Load(); n != 2 {
		t.Errorf("%d connections: the one with surplus bytes was used again", n)
	}
}

// TestCutAnswerIsNoAnswer breaks an answer off in its body, with and without length.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	for _, head := range []string{"Content-Length: 400", "Transfer-Encoding: chunked"} {
		u, p := serve(t, func(n int32) string {
			if n == 1 {
				return "HTTP/1.1 200 OK\r\n" + head + "\r\nConnection: close\r\n\r\n4\r\ngood"
			}
			return ""
		}), newPool()
		go func() {
			// The second request makes the stand-in close; the first can't end by itself.
			time.Sleep(20 * time.Millisecond)
			u.Close()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
		x, err := p.Send(ctx, u.Addr().String(), req, nil, Options{})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(x); err == nil {
			t.Errorf("%s: a cut answer passed for whole: %q", head, body)
		}
		x.Discard()
	}
}

// TestNotSentIsTold tells a request that never left from one that may have run.
func TestNotSentIsTold(t *testing.T) {
	u, p := serve(t, func(int32) string { return "" }), newPool()
	if _, err := send(t, p, u, Options{}); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("a request without an answer: %v", err)
	}
	u.Close()
	if _, err := send(t, p, u, Options{MaxIdle: -1}); !errors.Is(err, ErrNotSent) {
		t.Errorf("a request without a connection: %v", err)
	}
}

// TestDeadRestShortensOthers trusts resting connections less after one was dead.
func TestDeadRestShortensOthers(t *testing.T) {
	u, p := serve(t, func(n int32) string {
		if n == 3 {
			return ""
		}
		return good
	}), newPool()
	for range 2 {
		if _, err := send(t, p, u, Options{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Millisecond)
	}
	if _, err := send(t, p, u, Options{}); err == nil {
		t.Fatal("an answer on a connection that the upstream closed")
	}
	if p.trusted <= 0 || p.trusted > 40*time.Millisecond {
		t.Errorf("rests of %v are trusted after one of 40 ms was dead", p.trusted)
	}
}

// TestKeepAliveOfTheUpstream keeps a connection a little shorter than its upstream.
func TestKeepAliveOfTheUpstream(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 9 * time.Second, "timeout=5": 4 * time.Second, "max=3, timeout=1": 0, "timeout=soon": 9 * time.Second,
	} {
		if got := keepAlive(http.Header{"Keep-Alive": {header}}, 9*time.Second); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}

// TestEarlyAnswerToALongBody reads an answer that comes before the body was sent, and
// does not use the connection again: the rest of the body is still due on it.
func TestEarlyAnswerToALongBody(t *testing.T) {
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
		_, _ = bufio.NewReader(c).ReadString('\n')
		_, _ = io.WriteString(c, good)
	}()
	p := newPool()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	x, err := p.Send(t.Context(), l.Addr().String(), req, []byte(strings.Repeat("x", 32<<20)), Options{})
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(x); err != nil || string(body) != "good" {
		t.Fatalf("%q, %v", body, err)
	}
	x.Release()
	if len(p.idle[l.Addr().String()]) != 0 {
		t.Error("the connection is kept though the body is still being sent")
	}
}

// TestAbandonedRequestsAreReset comes from a day of our own: a host was frozen, callers
// of requests that were on their way to it left, and it got the requests when it woke.
// An abandoned request must be reset, so that nothing of it is delivered later.
func TestAbandonedRequestsAreReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		// The stand-in is frozen while its caller leaves, and reads then.
		time.Sleep(150 * time.Millisecond)
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	if _, err := newPool().Send(ctx, l.Addr().String(), req, []byte("body"), Options{}); err == nil {
		t.Fatal("an answer from a frozen host")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}
