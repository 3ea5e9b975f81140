package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the drain case, from the beginning of the silence.
const (
	silenceTime = 5 * time.Second
	// lostChangeAt is when a change is written whose answer is lost.
	lostChangeAt = time.Second
	// drainAt is when a replica reports draining: once the silence is over by more than
	// contact-ms.
	drainAt = silenceTime + contactTime + 500*time.Millisecond
	// exitAfter is how long the replica serves on after that: drain-ms and a little longer.
	exitAfter = drainTime + 2500*time.Millisecond
	endAt     = drainAt + exitAfter + 3*time.Second
	// orderTime is the work of an order, orderGap the time between two orders of a caller.
	orderTime   = 300 * time.Millisecond
	orderGap    = 100 * time.Millisecond
	orderBudget = 1000 * time.Millisecond
	callers     = 4
)

// leaver follows the replica that drains.
type leaver struct {
	mu       sync.Mutex
	ackedAt  time.Time
	arrivals int
	lost     map[string]bool
}

// runDrain leaves one entry without answers of the store for some seconds, and lets a replica
// drain later. It returns the number of requests that reached the replica later than drain-ms
// after the store had accepted its report.
func runDrain(record *recorder, trouble bool) (int, error) {
	d, err := newDeployment(record, plainConfig())
	if err != nil {
		return 0, err
	}
	defer d.close()
	l := &leaver{lost: map[string]bool{}}
	serve := func(u *upstream, w http.ResponseWriter, r *http.Request) {
		id, now := r.Header.Get("X-Attempt-Id"), time.Now()
		if u.id == "i-0" {
			l.mu.Lock()
			if !l.ackedAt.IsZero() && now.Sub(l.ackedAt) > drainTime {
				l.arrivals++
				l.lost[id] = true
				record.line("BROKEN: %s reaches replica i-0 %.2f s after the store accepted that it drains", id, now.Sub(l.ackedAt).Seconds())
			}
			l.mu.Unlock()
		}
		select {
		case <-time.After(orderTime):
		case <-r.Context().Done():
			return
		}
		fmt.Fprint(w, "order is queued")
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
	if _, err := d.startUpstream("i-3", "writers", "z-b", 6, serve); err != nil {
		return 0, err
	}
	record.line("replica i-3 registers")
	time.Sleep(time.Second)
	began := time.Now()
	stop := make(chan struct{})
	var all sync.WaitGroup
	for n, p := range entries {
		for c := range callers {
			all.Go(func() { d.sendOrders(fmt.Sprintf("entry%d-caller%d", n+1, c), p, l, stop) })
		}
	}
	if trouble {
		record.line("the store leaves %s without answers for %v", entries[0].name, silenceTime)
		entries[0].store.setSilent(true)
	}
	time.Sleep(time.Until(began.Add(lostChangeAt)))
	if _, err := d.startUpstream("i-4", "writers", "z-c", 6, serve); err != nil {
		return 0, err
	}
	record.line("replica i-4 registers")
	time.Sleep(time.Until(began.Add(silenceTime)))
	if trouble {
		entries[0].store.setSilent(false)
		record.line("the store answers %s again", entries[0].name)
	}
	time.Sleep(time.Until(began.Add(drainAt)))
	leaving := d.upstreams["i-0"]
	l.mu.Lock()
	l.ackedAt = leaving.register("draining", leaving.born)
	l.mu.Unlock()
	record.line("the store accepts that replica i-0 drains")
	time.Sleep(time.Until(began.Add(drainAt + exitAfter)))
	leaving.srv.Close()
	d.store.remove("servers", "i-0")
	record.line("replica i-0 exits")
	time.Sleep(time.Until(began.Add(endAt)))
	close(stop)
	all.Wait()
	return l.arrivals, nil
}

// sendOrders sends orders one after the other until stop is closed.
func (d *deployment) sendOrders(name string, p *process, l *leaver, stop <-chan struct{}) {
	var c *channel
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(orderGap):
		}
		if c == nil {
			var err error
			if c, err = openChannel(d.callers(p)); err != nil {
				continue
			}
		}
		q := &request{id: fmt.Sprintf("%s-%d", name, n), method: "POST", path: "/order/a", key: apiKey, timeout: orderBudget, body: "order"}
		a := c.exchange(q)
		d.record.line("%s to %s: %v", q.id, p.name, a)
		if a.err != nil || a.closes {
			c.conn.Close()
			c = nil
		}
	}
}
