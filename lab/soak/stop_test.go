package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// TestStoppingEntryCutsNoRequest guards against requests that a stopping entry reads from open
// connections and passes on although they can't end before the process does: streams, and
// orders that must not be repeated. They were cut at the end of the grace period, without a
// response. Responses take over half of the grace period, and none of their kind was known
// before the stop.
func TestStoppingEntryCutsNoRequest(t *testing.T) {
	const (
		conns   = 60
		sendGap = gracePeriod / conns
		work    = 3 * gracePeriod / 4
	)
	d, _, stop := startDeploymentOf(t, DeploymentSize{Entries: 2, Ranks: 3, PlainUpstreams: 2}, 597)
	stop()
	b := newBalancer(d, 1)
	b.failedChecks = []int{0, 2}
	callers := make([]*caller, conns)
	for i := range callers {
		callers[i] = newCaller(d, b, 100+i, 597)
		c, err := net.Dial("tcp", hostIP(1, 0)+":"+itoa(d.port+1))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		callers[i].conn = &wireConn{Conn: c, reader: bufio.NewReader(c)}
		if _, err := callers[i].exchange(t.Context(), &request{}, callers[i].buildRequest(callers[i].newRequest("/none/a", false, "north"), false, time.Second, false), false); err != nil {
			t.Fatal(err)
		}
	}
	for _, u := range d.upstreams {
		u.mu.Lock()
		u.faults.workTime = work
		u.mu.Unlock()
	}
	d.checker.mu.Lock()
	d.checker.cut = nil
	d.checker.mu.Unlock()
	d.entries[0].signal(syscall.SIGTERM)
	var sending sync.WaitGroup
	for i, c := range callers {
		sending.Go(func() {
			time.Sleep(time.Duration(i) * sendGap)
			kind := workKinds[i%len(workKinds)]
			ctx, cancel := context.WithTimeout(context.Background(), 2*gracePeriod)
			defer cancel()
			c.submit(ctx, c.newRequest(kind.path, kind.atMostOnce, "north"), kind.stream, 2*gracePeriod)
			c.close()
		})
	}
	sending.Wait()
	for _, text := range append(d.checker.cut, d.checker.violations...) {
		t.Error(text)
	}
	t.Log(d.checker.counts)
}

// TestStopsInCalmCutNoRequest guards against requests that are cut by planned stops without any
// other fault: callers send throughout the grace period, entries are stopped one after the
// other, and signals are repeated.
func TestStopsInCalmCutNoRequest(t *testing.T) {
	d, _, stop := startDeploymentOf(t, DeploymentSize{Entries: 3, Ranks: 3, PlainUpstreams: 3}, 598)
	time.Sleep(4 * time.Second)
	for round := range 2 {
		for i, p := range d.entries {
			p.markFaulty(time.Now().Add(gracePeriod))
			repeated := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM}
			if (round+i)%2 == 0 {
				go func() {
					for _, s := range repeated {
						time.Sleep(gracePeriod / 8)
						p.signal(s)
					}
				}()
			}
			if err := p.restart(syscall.SIGTERM, 100*time.Millisecond); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
		}
	}
	stop()
	for _, text := range append(d.checker.cut, d.checker.violations...) {
		t.Error(text)
	}
	if d.checker.counts["served"] == 0 {
		t.Error("no request was served")
	}
	t.Log(fmt.Sprint(d.checker.counts))
}
