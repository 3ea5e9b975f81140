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

// fakeUpstream is a server with scripted responses.
type fakeUpstream struct {
	net.Listener
	opened atomic.Int32
}

// newFakeUpstream responds to the n-th request over all connections with respond(n). An
// empty response closes the connection.
func newFakeUpstream(t *testing.T, respond func(n int32) string) *fakeUpstream {
	t.Helper()
	var served atomic.Int32
	return newServingUpstream(t, func(c net.Conn) bool {
		text := respond(served.Add(1))
		_, _ = io.WriteString(c, text)
		return text != ""
	})
}

// newWritingUpstream responds to each request with what respond writes.
func newWritingUpstream(t *testing.T, respond func(c io.Writer)) *fakeUpstream {
	t.Helper()
	return newServingUpstream(t, func(c net.Conn) bool {
		respond(c)
		return true
	})
}

// newServingUpstream calls serve for each request, until it returns false.
func newServingUpstream(t *testing.T, serve func(c net.Conn) bool) *fakeUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	u := &fakeUpstream{Listener: l}
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
					if !serve(c) {
						return
					}
				}
			}()
		}
	}()
	return u
}

func newTestPool() *Pool {
	return New(Config{DialTimeout: time.Second, Dialer: NewDialer(KeepAlive{}), MaxIdle: 5 * time.Second, MaxIdlePerHost: 4})
}

// send sends a request and returns the body of the response.
func send(t *testing.T, p *Pool, u *fakeUpstream, opts Options) (string, error) {
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

const validResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"

// TestConnectionReuse sends consecutive requests over one connection, and over a new one
// if the kept one was idle for too long.
func TestConnectionReuse(t *testing.T) {
	u, p := newFakeUpstream(t, func(int32) string { return validResponse }), newTestPool()
	for range 3 {
		if body, err := send(t, p, u, Options{}); err != nil || body != "good" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if n := u.opened.Load(); n != 1 {
		t.Errorf("%d connections for three consecutive requests", n)
	}
	time.Sleep(30 * time.Millisecond)
	if _, err := send(t, p, u, Options{MaxIdle: 10 * time.Millisecond}); err != nil {
		t.Fatal(err)
	}
	if n := u.opened.Load(); n != 2 {
		t.Errorf("%d connections after the idle limit", n)
	}
}

// TestSurplusBytesCloseConnection checks that bytes after a response are not read as the
// response to the next request.
func TestSurplusBytesCloseConnection(t *testing.T) {
	u, p := newFakeUpstream(t, func(n int32) string {
		if n == 1 {
			return validResponse + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
		}
		return validResponse
	}), newTestPool()
	for range 2 {
		body, err := send(t, p, u, Options{})
		if err != nil || body != "good" {
			t.Fatalf("%q, %v", body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if n := u.opened.Load(); n != 2 {
		t.Errorf("%d connections: the one with surplus bytes was reused", n)
	}
}

// TestTruncatedResponseIsAnError truncates a body with and without Content-Length.
func TestTruncatedResponseIsAnError(t *testing.T) {
	for _, header := range []string{"Content-Length: 400", "Transfer-Encoding: chunked"} {
		u, p := newFakeUpstream(t, func(n int32) string {
			if n == 1 {
				return "HTTP/1.1 200 OK\r\n" + header + "\r\nConnection: close\r\n\r\n4\r\ngood"
			}
			return ""
		}), newTestPool()
		go func() {
			// Closing the listener leaves the connection open, so the read ends with ctx.
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
			t.Errorf("%s: a truncated response was accepted as complete: %q", header, body)
		}
		x.Discard()
	}
}

// TestErrNotSent distinguishes a request that was never sent from one that may have run.
func TestErrNotSent(t *testing.T) {
	u, p := newFakeUpstream(t, func(int32) string { return "" }), newTestPool()
	if _, err := send(t, p, u, Options{}); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("a request without a response: %v", err)
	}
	u.Close()
	if _, err := send(t, p, u, Options{MaxIdle: -1}); !errors.Is(err, ErrNotSent) {
		t.Errorf("a request without a connection: %v", err)
	}
}

// TestDeadConnectionLimitsIdleTime checks that idle connections are reused for a shorter
// time after one of them was dead.
func TestDeadConnectionLimitsIdleTime(t *testing.T) {
	u, p := newFakeUpstream(t, func(n int32) string {
		if n == 3 {
			return ""
		}
		return validResponse
	}), newTestPool()
	for range 2 {
		if _, err := send(t, p, u, Options{}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(40 * time.Millisecond)
	}
	if _, err := send(t, p, u, Options{}); err == nil {
		t.Fatal("a response on a connection that the upstream closed")
	}
	if p.maxTrustedIdle <= 0 || p.maxTrustedIdle > 40*time.Millisecond {
		t.Errorf("idle times of %v are trusted after a connection was dead after 40 ms", p.maxTrustedIdle)
	}
}

// TestUpstreamMaxIdle checks that a connection is kept for a shorter time than the upstream
// keeps it.
func TestUpstreamMaxIdle(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"": 9 * time.Second, "timeout=5": 4 * time.Second, "max=3, timeout=1": 0, "timeout=soon": 9 * time.Second,
	} {
		if got := upstreamMaxIdle(http.Header{"Keep-Alive": {header}}, 9*time.Second); got != want {
			t.Errorf("%q: %v, want %v", header, got, want)
		}
	}
}

// TestEarlyResponseToLongBody reads a response that arrives before the request's body is
// fully sent. The connection must not be reused, as the rest of the body is still sent on
// it.
func TestEarlyResponseToLongBody(t *testing.T) {
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
		_, _ = io.WriteString(c, validResponse)
	}()
	p := newTestPool()
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

// TestAbandonedRequestIsReset guards against requests that a frozen host receives when it
// resumes although their callers have disconnected. An abandoned request must be reset, so
// that none of it is delivered later.
func TestAbandonedRequestIsReset(t *testing.T) {
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
		// The server is frozen while its caller disconnects, and reads afterwards.
		time.Sleep(150 * time.Millisecond)
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	if _, err := newTestPool().Send(ctx, l.Addr().String(), req, []byte("body"), Options{}); err == nil {
		t.Fatal("a response from a frozen host")
	}
	if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with %v, want a reset", err)
	}
}

// TestUnrefusedConnections guards against a repeated refusal that is taken for the response to a
// later request: that one must be sent on another connection. Other requests reuse the connection.
func TestUnrefusedConnections(t *testing.T) {
	u, p := newFakeUpstream(t, func(int32) string { return validResponse }), newTestPool()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	x, err := p.Send(t.Context(), u.Addr().String(), req, nil, Options{})
	if err != nil {
		t.Fatal(err)
	}
	x.MarkRefused()
	if _, err := io.ReadAll(x); err != nil {
		t.Fatal(err)
	}
	x.Release()
	for i, step := range []struct {
		opts   Options
		opened int32
	}{{Options{}, 1}, {Options{Unrefused: true}, 2}, {Options{Unrefused: true}, 2}, {Options{}, 2}, {Options{MaxIdle: -1}, 3}} {
		if _, err := send(t, p, u, step.opts); err != nil {
			t.Fatal(err)
		}
		if got := u.opened.Load(); got != step.opened {
			t.Errorf("step %d: %d connections, want %d", i, got, step.opened)
		}
	}
}

// TestRefusedConnectionsDontPileUp guards against connections that hold places at the upstream
// although no request may use them, and against kept connections on which requests were refused
// that leave no place for others.
func TestRefusedConnectionsDontPileUp(t *testing.T) {
	u, p := newFakeUpstream(t, func(int32) string { return validResponse }), newTestPool()
	req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
	begin := func(opts Options) *Exchange {
		x, err := p.Send(t.Context(), u.Addr().String(), req, nil, opts)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(x); err != nil {
			t.Fatal(err)
		}
		return x
	}
	refuse := func(opts Options, n int) {
		running := make([]*Exchange, n)
		for i := range running {
			running[i] = begin(opts)
			running[i].MarkRefused()
		}
		for _, x := range running {
			x.Release()
		}
	}
	refuse(Options{Unrefused: true}, 3)
	if n := len(p.idle[u.Addr().String()]); n != 0 {
		t.Errorf("%d connections are kept that no request of their kind may use", n)
	}
	refuse(Options{}, p.cfg.MaxIdlePerHost)
	begin(Options{Unrefused: true}).Release()
	opened := u.opened.Load()
	begin(Options{Unrefused: true}).Release()
	if got := u.opened.Load(); got != opened || len(p.idle[u.Addr().String()]) != p.cfg.MaxIdlePerHost {
		t.Errorf("%d connections were opened, want %d; %d are kept", got, opened, len(p.idle[u.Addr().String()]))
	}
}

// TestResetDuringRequestIsNoPlainEnd guards against a response without length that is reset while
// its request is still being written, and counts as whole: the kernel reports the reset to the
// write, and the end of the connection to the read.
func TestResetDuringRequestIsNoPlainEnd(t *testing.T) {
	const exchanges = 100
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nthe first half")
			time.Sleep(2 * time.Millisecond)
			// Unread bytes of the request reset the connection.
			c.Close()
		}
	}()
	p, body, whole := newTestPool(), make([]byte, 16<<20), 0
	for range exchanges {
		req := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h", Header: http.Header{}}
		x, err := p.Send(t.Context(), l.Addr().String(), req, body, Options{})
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(x); err == nil {
			whole++
		}
		x.Discard()
	}
	if whole > 0 {
		t.Errorf("%d of %d responses that were reset count as whole", whole, exchanges)
	}
}

// TestProbeNoticesEndOfUpstream guards against an upstream that counts as alive because its
// listener has accepted a connection, which the upstream's end then closes.
func TestProbeNoticesEndOfUpstream(t *testing.T) {
	const watch = 50 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// The connection waits to be accepted as the listener is closed.
	time.AfterFunc(watch/5, func() { l.Close() })
	p := newTestPool()
	if err := p.ProbeFor(t.Context(), l.Addr().String(), watch); !errors.Is(err, ErrClosedAtOnce) {
		t.Errorf("the probe of an upstream that ends returned %v", err)
	}
	u := newFakeUpstream(t, func(int32) string { return validResponse })
	if err := p.ProbeFor(t.Context(), u.Addr().String(), watch); err != nil {
		t.Error(err)
	}
	if _, err := send(t, p, u, Options{}); err != nil || u.opened.Load() != 1 {
		t.Errorf("%v, %d connections; want the probe's connection to be used", err, u.opened.Load())
	}
}
