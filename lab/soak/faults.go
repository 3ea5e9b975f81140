package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// fault is one kind of trouble. It ends by itself within its duration.
type fault struct {
	name string
	// play begins the fault and returns what ends it. It may return nil.
	play func(w *world, r *rand.Rand, d time.Duration) func()
}

// longest and shortest bound how long a fault lasts.
const (
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	// meanGap is the mean time from the beginning of a fault to that of the next.
	meanGap = 900 * time.Millisecond
)

// harmAll records that no entry is in touch until a fault has ended.
func (w *world) harmAll(d time.Duration) {
	for _, p := range w.entries {
		p.harm(time.Now().Add(d))
	}
}

func oneOf[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// anyProcess picks an entry or an agent.
func (w *world) anyProcess(r *rand.Rand) *process {
	if r.IntN(2) == 0 {
		return oneOf(r, w.entries)
	}
	return oneOf(r, w.agents)
}

// storeFault is a fault of the store for all processes.
func storeFault(name string, faults func(r *rand.Rand) platformstore.Faults) fault {
	return fault{name, func(w *world, r *rand.Rand, d time.Duration) func() {
		w.harmAll(d)
		w.store.SetFaults(faults(r))
		return func() { w.store.SetFaults(platformstore.Faults{}) }
	}}
}

// linkFault is a fault of one connection path: of a process to the store, or of all
// to an upstream.
func linkFault(name string, begin, end func(*link.Link)) fault {
	return fault{name, func(w *world, r *rand.Rand, d time.Duration) func() {
		l := oneOf(r, w.upstreams).link
		if r.IntN(2) == 0 {
			p := w.anyProcess(r)
			p.harm(time.Now().Add(d))
			l = p.store
		}
		begin(l)
		return func() { end(l) }
	}}
}

// upstreamFault is a fault of one upstream.
func upstreamFault(name string, set func(f *upstreamFaults, r *rand.Rand)) fault {
	return fault{name, func(w *world, r *rand.Rand, _ time.Duration) func() {
		u := oneOf(r, w.upstreams)
		u.mu.Lock()
		set(&u.faults, r)
		u.mu.Unlock()
		return func() {
			u.mu.Lock()
			defer u.mu.Unlock()
			u.faults = upstreamFaults{}
		}
	}}
}

// processFault ends a process with a signal and starts it again.
func processFault(name string, s syscall.Signal) fault {
	return fault{name, func(w *world, r *rand.Rand, d time.Duration) func() {
		p := w.anyProcess(r)
		p.harm(time.Now().Add(d + graceTook))
		return func() {
			if err := p.restart(s, 0); err != nil {
				w.ledger.Violate("%s can't be started again: %v", p.name, err)
			}
		}
	}}
}

// faults are all kinds of trouble.
var faults = []fault{
	processFault("kill", syscall.SIGKILL),
	processFault("stop", syscall.SIGTERM),
	{"pause", func(w *world, r *rand.Rand, d time.Duration) func() {
		p := w.anyProcess(r)
		p.harm(time.Now().Add(d))
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"hang up", func(w *world, r *rand.Rand, _ time.Duration) func() {
		w.anyProcess(r).signal(syscall.SIGHUP)
		return nil
	}},
	storeFault("store down", func(*rand.Rand) platformstore.Faults { return platformstore.Faults{Down: true} }),
	storeFault("store loses answers", func(*rand.Rand) platformstore.Faults { return platformstore.Faults{DropResponses: true} }),
	storeFault("store writes late", func(r *rand.Rand) platformstore.Faults {
		return platformstore.Faults{WriteDelay: time.Duration(r.IntN(3000)) * time.Millisecond}
	}),
	storeFault("store slow", func(r *rand.Rand) platformstore.Faults {
		return platformstore.Faults{Delay: time.Duration(r.IntN(400)) * time.Millisecond}
	}),
	{"store forgets", func(w *world, _ *rand.Rand, _ time.Duration) func() {
		w.store.DropHistory()
		return nil
	}},
	linkFault("link cut", (*link.Link).Cut, (*link.Link).Heal),
	linkFault("link silent", (*link.Link).BlackholeOpen, func(*link.Link) {}),
	linkFault("link reset", (*link.Link).Reset, func(*link.Link) {}),
	linkFault("link hangs", func(l *link.Link) { l.SetStalled(true); l.BlackholeOpen() }, func(l *link.Link) { l.SetStalled(false) }),
	linkFault("link one way", func(l *link.Link) { l.SetDropResponses(true) }, func(l *link.Link) { l.SetDropResponses(false) }),
	linkFault("link slow", func(l *link.Link) { l.SetDelay(60 * time.Millisecond) }, func(l *link.Link) { l.SetDelay(0) }),
	upstreamFault("answers lost", func(f *upstreamFaults, _ *rand.Rand) { f.loseAnswers = true }),
	upstreamFault("answers garbled", func(f *upstreamFaults, _ *rand.Rand) { f.garble = true }),
	upstreamFault("streams torn", func(f *upstreamFaults, _ *rand.Rand) { f.tear = true }),
	upstreamFault("upstream slow", func(f *upstreamFaults, r *rand.Rand) { f.slow = time.Duration(r.IntN(300)) * time.Millisecond }),
	upstreamFault("orders late", func(f *upstreamFaults, r *rand.Rand) {
		f.lateOrders = time.Duration(200+r.IntN(2000)) * time.Millisecond
	}),
	{"upstream crash", func(w *world, r *rand.Rand, _ time.Duration) func() {
		u := oneOf(r, w.upstreams)
		if !u.isAlive() {
			return nil
		}
		u.crash()
		return func() {
			if err := u.start(); err != nil {
				w.ledger.Violate("the stand-in %s can't start again: %v", u.host, err)
			}
		}
	}},
	{"upstream leaves", func(w *world, r *rand.Rand, _ time.Duration) func() {
		u := w.upstreams[w.shape.Ranks+r.IntN(w.shape.PlainUpstreams)]
		if !u.isAlive() {
			return nil
		}
		if err := u.drain(); err != nil {
			w.ledger.Violate("the stand-in can't announce that it leaves: %v", err)
		}
		return func() {
			time.Sleep(drainAfter)
			if !u.isAlive() {
				return
			}
			u.crash()
			if err := u.start(); err != nil {
				w.ledger.Violate("the stand-in %s can't start again: %v", u.host, err)
			}
		}
	}},
	{"experts shift", func(w *world, r *rand.Rand, _ time.Duration) func() {
		w.group.mu.Lock()
		defer w.group.mu.Unlock()
		w.group.hot = r.IntN(experts)
		return nil
	}},
	{"new key", func(w *world, r *rand.Rand, _ time.Duration) func() {
		w.newKey(oneOf(r, []string{"north", "south"}))
		w.mustConfigure()
		return nil
	}},
	{"route moved", func(w *world, r *rand.Rand, _ time.Duration) func() {
		w.mu.Lock()
		w.statusService = oneOf(r, services)
		w.mu.Unlock()
		w.mustConfigure()
		return nil
	}},
}

// mustConfigure writes a configuration. The stand-in's own write can't fail.
func (w *world) mustConfigure() {
	if err := w.configure(); err != nil {
		w.ledger.Violate("the configuration can't be written: %v", err)
	}
}

// event is a fault of a run.
type event struct {
	at, took time.Duration
	fault    int
}

// String implements fmt.Stringer.
func (e event) String() string {
	return fmt.Sprintf("%.1fs %s for %.1fs", e.at.Seconds(), faults[e.fault].name, e.took.Seconds())
}

// schedule draws the faults of a run: two or three kinds that come in series and
// overlap, and now and then any other.
func schedule(r *rand.Rand, length time.Duration) []event {
	favourites := []int{r.IntN(len(faults)), r.IntN(len(faults)), r.IntN(len(faults))}
	var list []event
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		e := event{at: at, took: shortest + time.Duration(r.Float64()*float64(longest-shortest)), fault: oneOf(r, favourites)}
		if r.IntN(4) == 0 {
			e.fault = r.IntN(len(faults))
		}
		list = append(list, e)
	}
	return list
}
