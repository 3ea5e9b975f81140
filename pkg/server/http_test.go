package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/intake"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// pipeListener is a listener of connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// serveLimited serves a handler on connections in memory while play runs.
func serveLimited(t *testing.T, memory int64, handler http.HandlerFunc, play func(*testing.T, *pipeListener)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		inner := newPipeListener()
		gate := intake.New(intake.Limits{MemoryBytes: memory, Descriptors: 1000}, prometheus.NewRegistry())
		srv, l := NewHTTP(gate, inner, handler, intake.Options{Name: "test", Share: 0.5, BodyFactor: 2, MaxHeadBytes: func() int { return 16 << 10 }})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = srv.Serve(l)
		}()
		play(t, inner)
		srv.Close()
		<-done
		// Connections that were refused are closed a little later.
		time.Sleep(time.Minute)
	})
}

// readBody is a handler that responds with the length of the body, or with its refusal.
func readBody(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	var p *problem.Problem
	if errors.As(err, &p) {
		w.WriteHeader(p.Status)
		_, _ = io.WriteString(w, string(p.Reason)+" "+string(p.Ran))
		return
	}
	fmt.Fprint(w, n, " ", err)
}

// readResponse returns the status and the body of the next response.
func readResponse(t *testing.T, c net.Conn) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

const ampleMemory = 1 << 30

// TestSlowBodiesAreRefused guards against bodies that stand still, or of which a byte arrives now
// and then: the refusal states that the request has not run.
func TestSlowBodiesAreRefused(t *testing.T) {
	for name, pause := range map[string]time.Duration{"stands still": time.Hour, "a byte a second": time.Second} {
		t.Run(name, func(t *testing.T) {
			serveLimited(t, ampleMemory, readBody, func(t *testing.T, l *pipeListener) {
				c := l.dial()
				defer c.Close()
				stop := make(chan struct{})
				go func() {
					_, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
					for err == nil {
						select {
						case <-stop:
							return
						case <-time.After(pause):
							_, err = io.WriteString(c, "b")
						}
					}
				}()
				begin := time.Now()
				status, body := readResponse(t, c)
				close(stop)
				if status != http.StatusRequestTimeout || body != "slow_body no" || time.Since(begin) > 30*time.Second {
					t.Errorf("got status %d, %q after %v", status, body, time.Since(begin))
				}
			})
		})
	}
}

// TestSteadyBodyIsReceived guards against refusing a body that is slow and steady, or cancelling
// a request that is served for long after its body has arrived.
func TestSteadyBodyIsReceived(t *testing.T) {
	const total, rate = 64 << 10, 512
	serveLimited(t, ampleMemory, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
			t.Error("the request was cancelled")
		case <-time.After(time.Hour):
		}
		fmt.Fprint(w, n, " ", err)
	}, func(t *testing.T, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		for range 2 {
			go func() {
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", total)
				for range total / rate {
					time.Sleep(time.Second)
					if _, err := io.WriteString(c, strings.Repeat("b", rate)); err != nil {
						return
					}
				}
			}()
			if status, body := readResponse(t, c); status != http.StatusOK || body != fmt.Sprint(total, " ", nil) {
				t.Errorf("got status %d, %q", status, body)
			}
		}
	})
}

// TestLongHeadsAreRefused guards against heads that are longer than the configuration allows, and
// against refusing those that are not.
func TestLongHeadsAreRefused(t *testing.T) {
	for length, want := range map[int]int{15 << 10: http.StatusOK, 40 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		serveLimited(t, ampleMemory, readBody, func(t *testing.T, l *pipeListener) {
			c := l.dial()
			defer c.Close()
			go func() {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("v", length)+"\r\n\r\n")
			}()
			if status, _ := readResponse(t, c); status != want {
				t.Errorf("a head of %d bytes got status %d, want %d", length, status, want)
			}
		})
	}
}

// TestStalledBodyMakesRoom guards against clients that hold the memory of the process and stand
// still: they get a refusal that is true, and another request is served.
func TestStalledBodyMakesRoom(t *testing.T) {
	const memory, large = 64 << 20, 5 << 20
	serveLimited(t, memory, readBody, func(t *testing.T, l *pipeListener) {
		begin := func() net.Conn {
			c := l.dial()
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", large+1)
			if _, err := io.WriteString(c, strings.Repeat("b", large)); err != nil {
				t.Fatal(err)
			}
			return c
		}
		stalled := begin()
		defer stalled.Close()
		time.Sleep(2 * time.Second)
		other := begin()
		defer other.Close()
		if status, body := readResponse(t, stalled); status != http.StatusServiceUnavailable || body != "intake_full no" {
			t.Errorf("the stalled client got status %d, %q", status, body)
		}
		if _, err := io.WriteString(other, "b"); err != nil {
			t.Fatal(err)
		}
		if status, body := readResponse(t, other); status != http.StatusOK || body != fmt.Sprint(large+1, " ", nil) {
			t.Errorf("the other client got status %d, %q", status, body)
		}
	})
}

// TestUnreadResponseEnds guards against a client that never reads its response and keeps the
// request open for good.
func TestUnreadResponseEnds(t *testing.T) {
	var failed atomic.Bool
	serveLimited(t, ampleMemory, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, 1<<20))
		failed.Store(err != nil)
	}, func(t *testing.T, l *pipeListener) {
		c := l.dial()
		defer c.Close()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		if !failed.Load() {
			t.Error("the response is still written, or was written although nobody reads it")
		}
	})
}
