package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// unreadable is what another writer leaves as its entry: the second half of a torn document,
// {"servers":[{"service":"writers","address":"127.0.0.1:80","state":"ready"}]}.
const unreadable = `"state":"ready"}]}`

// Times of the unreadable case.
const (
	// steadyTime is how long callers are served before the final fault, downTime how long the
	// entries are down, recoveryTime is recovery-s, and afterTime how long service is
	// measured after it.
	steadyTime   = 8 * time.Second
	downTime     = 600 * time.Millisecond
	recoveryTime = 12 * time.Second
	afterTime    = 10 * time.Second
	// requestGap is the time between two requests of all callers.
	requestGap = 50 * time.Millisecond
	// minShare is the share of the requests that must be served.
	minShare = 0.25
)

// tally counts requests and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(1, t.sent))
}

// runUnreadable leaves one entry of another writer among the replicas, kills all entries of the
// system and starts them again. It returns 1 if less than a quarter of the requests is served
// later than recovery-s after that, though a quarter or more was before.
func runUnreadable(record *recorder, trouble bool) (int, error) {
	d, err := newDeployment(record, plainConfig())
	if err != nil {
		return 0, err
	}
	defer d.close()
	serve := func(u *upstream, w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		fmt.Fprint(w, "status")
	}
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := d.startUpstream(fmt.Sprintf("i-%d", i), "writers", zone, 6, serve); err != nil {
			return 0, err
		}
	}
	entries, err := d.startEntries(2)
	if err != nil {
		return 0, err
	}
	time.Sleep(contactTime)
	if trouble {
		d.store.putRaw("servers", "i-other", json.RawMessage(unreadable))
		record.line("another writer has left the entry i-other with bytes that can't be read: %s", unreadable)
	}
	before, after := &tally{}, &tally{}
	d.sendRequests("before", entries, before, steadyTime)
	record.line("before the final fault %d of %d requests were served", before.served, before.sent)
	for _, p := range entries {
		record.line("SIGKILL to %s", p.name)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	time.Sleep(downTime)
	for i, p := range entries {
		if entries[i], err = d.restart(p); err != nil {
			return 0, err
		}
		record.line("%s is back", p.name)
	}
	time.Sleep(recoveryTime)
	d.sendRequests("after", entries, after, afterTime)
	record.line("later than %v after the machines were back %d of %d requests were served", recoveryTime, after.served, after.sent)
	for _, p := range entries {
		record.line("%s ready: %v", p.name, d.isReady(p))
	}
	if before.share() >= minShare && after.share() < minShare {
		return 1, nil
	}
	return 0, nil
}

// sendRequests sends idempotent requests to the entries in turn, each on a new channel.
func (d *deployment) sendRequests(name string, entries []*process, t *tally, duration time.Duration) {
	var all sync.WaitGroup
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		all.Go(func() {
			q := &request{id: fmt.Sprintf("%s-%d", name, n), method: "GET", path: "/short/a", key: apiKey, timeout: time.Second}
			p := entries[n%len(entries)]
			c, err := openChannel(d.callers(p))
			a := &answer{err: err}
			if err == nil {
				defer c.conn.Close()
				a = c.exchange(q)
			}
			d.record.line("%s to %s: %v", q.id, p.name, a)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sent++
			if a.status == http.StatusOK && a.err == nil {
				t.served++
			}
		})
		time.Sleep(requestGap)
	}
	all.Wait()
}
