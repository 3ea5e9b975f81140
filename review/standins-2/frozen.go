package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case of an entry that is frozen while a replica starts again.
const (
	statusPerSec = 60
	episodes     = 20
	episodeEvery = 4 * time.Second
	// Within an episode the entry freezes, the replica is killed killedAfter later, starts again
	// downTime later, and the entry goes on after freezeTime.
	freezeTime  = 700 * time.Millisecond
	killedAfter = 30 * time.Millisecond
	downTime    = 300 * time.Millisecond
)

// caseFrozen freezes the entry for a moment, in which one of the replicas of the plain service
// crashes and starts again. Half of the replicas' answers have no length.
func caseFrozen(d *deployment, trouble bool) (bool, string, error) {
	var list []*plainReplica
	defer func() {
		for _, p := range list {
			p.end()
		}
	}()
	for i := range plainReplicas {
		p, err := d.startPlain(sideMachine(i), unframedShare)
		if err != nil {
			return false, "", err
		}
		list = append(list, p)
	}
	entry, err := d.startEntry(1)
	if err != nil {
		return false, "", err
	}
	t := &tally{d: d}
	stop := t.load(pathStatus, http.MethodGet, statusPerSec)
	time.Sleep(3 * time.Second)
	for range episodes {
		i := rand.IntN(plainReplicas)
		if trouble {
			entry.signal(syscall.SIGSTOP)
			d.log.add("%s is stopped", entry.name)
			time.Sleep(killedAfter)
			list[i].kill()
			time.Sleep(downTime)
			p, err := d.startPlain(list[i].machine, unframedShare)
			if err != nil {
				entry.signal(syscall.SIGCONT)
				stop()
				return false, "", err
			}
			list[i] = p
			time.Sleep(freezeTime - killedAfter - downTime)
			entry.signal(syscall.SIGCONT)
			d.log.add("%s goes on", entry.name)
		}
		time.Sleep(episodeEvery - freezeTime)
	}
	stop()
	return t.verdict("status requests")
}

// tally counts the answers of the plain service.
type tally struct {
	d *deployment

	mu                  sync.Mutex
	sent, served, wrong int
}

// load sends requests at a rate until the function that it returns is called, which waits for the
// last answers.
func (t *tally) load(path, method string, perSecond float64) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newRequester()
	var pending sync.WaitGroup
	pending.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			pending.Go(func() { t.record(t.d.send(context.Background(), c, 1, method, path, time.Second)) })
		}
	})
	return func() {
		cancel()
		pending.Wait()
	}
}

// record counts an answer. A success that looks complete must have the whole body of the replica.
func (t *tally) record(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	whole := plainBody(a.attempt)
	switch {
	case a.status != http.StatusOK || !a.complete:
	case bytes.Equal(a.body, failedBody(a.attempt)):
		t.wrong++
		t.d.log.add("MIXED: %s got %d with the seal %q, and the replica had answered 500", a.attempt, a.status, a.seal)
	case bytes.Equal(a.body, whole):
		t.served++
	default:
		t.wrong++
		t.d.log.add("MIXED: %s got %d as complete, with %d of %d bytes of the replica's body", a.attempt, a.status, len(a.body), len(whole))
	}
}

// verdict returns whether the rule held.
func (t *tally) verdict(what string) (bool, string, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result := fmt.Sprintf("%d successes that the replica had not answered so; %d of %d %s served", t.wrong, t.served, t.sent, what)
	if t.served*2 < t.sent {
		return false, result, fmt.Errorf("less than half served: %s", result)
	}
	return t.wrong == 0, result, nil
}
