package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of the stop case.
const (
	// A stream has streamEvents events, one each eventGap, below pass-ms and the pause of its
	// route.
	streamEvents = 60
	eventGap     = 100 * time.Millisecond
	callerTime   = 8 * time.Second
	// keptChannels are channels on which a request was served before the stop. The next one is
	// sent on one of them each sendGap after it.
	keptChannels = 60
	sendGap      = 100 * time.Millisecond
	// excusedBefore is the time after SIGTERM up to which a request that is cut while its
	// replica works in the last sixth of grace-s is excused.
	excusedBefore = 3 * time.Second
)

// serveStream serves a stream, and a short answer on the other route.
func serveStream(u *upstream, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/short/a" {
		fmt.Fprint(w, "status")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			u.d.record.line("replica %s: the channel of %s was closed after event %d of %d", u.id, id, n-1, streamEvents)
			return
		}
		if writeEvent(w, n, "word") != nil {
			return
		}
	}
}

// runStop stops an entry while callers go on to use their kept channels. It returns the number
// of requests that were read, passed on and cut without an excuse.
func runStop(record *recorder, trouble bool) (int, error) {
	d, err := newDeployment(record, plainConfig())
	if err != nil {
		return 0, err
	}
	defer d.close()
	for i, zone := range []string{"z-a", "z-b", "z-c"} {
		if _, err := d.startUpstream(fmt.Sprintf("i-%d", i), "writers", zone, 24, serveStream); err != nil {
			return 0, err
		}
	}
	entries, err := d.startEntries(2)
	if err != nil {
		return 0, err
	}
	first := entries[0]
	time.Sleep(contactTime)
	channels := make([]*channel, keptChannels)
	for i := range channels {
		if channels[i], err = openChannel(d.callers(first)); err != nil {
			return 0, err
		}
		q := &request{id: fmt.Sprintf("before-%d", i), method: "GET", path: "/short/a", key: apiKey, timeout: time.Second}
		record.line("%s: %v", q.id, channels[i].exchange(q))
	}
	time.Sleep(500 * time.Millisecond)
	stopAt := time.Now()
	if trouble {
		record.line("SIGTERM to %s", first.name)
		first.signal(syscall.SIGTERM)
		go func() {
			<-first.done
			record.line("%s has ended", first.name)
		}()
		kill := time.AfterFunc(graceTime, func() { first.signal(syscall.SIGKILL) })
		defer kill.Stop()
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	cut := 0
	for i, c := range channels {
		all.Go(func() {
			defer c.conn.Close()
			time.Sleep(time.Until(stopAt.Add(time.Duration(i) * sendGap)))
			q := &request{id: fmt.Sprintf("stream-%d", i), method: "POST", path: "/draft/a", key: apiKey, timeout: callerTime, body: "body"}
			sentAt := time.Now()
			record.line("%s sent %.2f s after the stop", q.id, sentAt.Sub(stopAt).Seconds())
			a := c.exchange(q)
			took := time.Since(sentAt)
			record.line("%s %.2f s later: %v", q.id, took.Seconds(), a)
			if a.err != nil && took < callerTime && sentAt.Sub(stopAt) > excusedBefore && d.wasRun(q.id) {
				mu.Lock()
				defer mu.Unlock()
				cut++
				record.line("BROKEN: %s was sent %.2f s after SIGTERM and passed on, and its channel ended without a complete answer", q.id, sentAt.Sub(stopAt).Seconds())
			}
		})
	}
	all.Wait()
	return cut, nil
}
