package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/link"
	"github.com/acaciaglade/acaciaglade/lab/platformstore"
)

// fault is one kind of fault. Each occurrence is ended after its duration.
type fault struct {
	name string
	// begin begins the fault and returns a function that ends it, or nil if there is
	// nothing to end.
	begin func(d *deployment, r *rand.Rand, duration time.Duration) func()
}

// Times of faults.
const (
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	// meanFaultInterval is the mean time between the beginnings of two faults.
	meanFaultInterval = 900 * time.Millisecond
)

// markEntriesFaulty records that a fault of this duration affects all entries.
func (d *deployment) markEntriesFaulty(duration time.Duration) {
	for _, p := range d.entries {
		p.markFaulty(time.Now().Add(duration))
	}
}

func randomElement[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// randomProcess returns a random entry or agent.
func (d *deployment) randomProcess(r *rand.Rand) *process {
	if r.IntN(2) == 0 {
		return randomElement(r, d.entries)
	}
	return randomElement(r, d.agents)
}

// storeFault returns a fault of the store that affects all processes.
func storeFault(name string, faults func(r *rand.Rand) platformstore.Faults) fault {
	return fault{name, func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		d.markEntriesFaulty(duration)
		d.store.SetFaults(faults(r))
		return func() { d.store.SetFaults(platformstore.Faults{}) }
	}}
}

// linkFault returns a fault of one link: from a process to the store, or from all
// processes to an upstream.
func linkFault(name string, begin, end func(*link.Link)) fault {
	return fault{name, func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		u := randomElement(r, d.upstreams)
		l := u.link
		if r.IntN(2) == 0 {
			p := d.randomProcess(r)
			p.markFaulty(time.Now().Add(duration))
			l = p.store
		} else {
			u.markDisturbed(time.Now().Add(duration + streamTimeout))
		}
		begin(l)
		return func() { end(l) }
	}}
}

// upstreamFault returns a fault of one upstream.
func upstreamFault(name string, set func(f *upstreamFaults, r *rand.Rand)) fault {
	return fault{name, func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		u := randomElement(r, d.upstreams)
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

// processFault returns a fault that ends a process with a signal and starts it again.
func processFault(name string, s syscall.Signal) fault {
	return fault{name, func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		p := d.randomProcess(r)
		p.markFaulty(time.Now().Add(duration + gracePeriod))
		return func() {
			if err := p.restart(s, 0); err != nil {
				d.checker.RecordViolation("%s can't be restarted: %v", p.name, err)
			}
		}
	}}
}

// faults lists all kinds of faults.
var faults = []fault{
	processFault("kill", syscall.SIGKILL),
	processFault("stop", syscall.SIGTERM),
	{"pause", func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		p := d.randomProcess(r)
		p.markFaulty(time.Now().Add(duration))
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"settings reload", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		d.randomProcess(r).signal(syscall.SIGHUP)
		return nil
	}},
	storeFault("store down", func(*rand.Rand) platformstore.Faults { return platformstore.Faults{Down: true} }),
	storeFault("store drops responses", func(*rand.Rand) platformstore.Faults { return platformstore.Faults{DropResponses: true} }),
	storeFault("store loses answers", func(*rand.Rand) platformstore.Faults { return platformstore.Faults{LoseAnswers: true} }),
	storeFault("store delays writes", func(r *rand.Rand) platformstore.Faults {
		return platformstore.Faults{WriteDelay: time.Duration(r.IntN(3000)) * time.Millisecond}
	}),
	storeFault("store slow", func(r *rand.Rand) platformstore.Faults {
		return platformstore.Faults{Delay: time.Duration(r.IntN(400)) * time.Millisecond}
	}),
	{"store restored from a copy", func(d *deployment, _ *rand.Rand, duration time.Duration) func() {
		objects := d.store.Copy()
		return func() {
			// What was written meanwhile is lost.
			d.markEntriesFaulty(restoreOutage)
			d.store.SetFaults(platformstore.Faults{Down: true})
			time.Sleep(restoreOutage)
			d.store.SetFaults(platformstore.Faults{})
			d.restoreStore(objects)
		}
	}},
	{"store drops history", func(d *deployment, _ *rand.Rand, _ time.Duration) func() {
		d.store.DropHistory()
		return nil
	}},
	linkFault("link cut", (*link.Link).Cut, (*link.Link).Heal),
	linkFault("link blackholes open connections", (*link.Link).BlackholeOpen, func(*link.Link) {}),
	linkFault("link reset", (*link.Link).Reset, func(*link.Link) {}),
	linkFault("link stalled", func(l *link.Link) { l.SetStalled(true); l.BlackholeOpen() }, func(l *link.Link) { l.SetStalled(false) }),
	linkFault("link drops responses", func(l *link.Link) { l.SetDropResponses(true) }, func(l *link.Link) { l.SetDropResponses(false) }),
	linkFault("link slow", func(l *link.Link) { l.SetDelay(60 * time.Millisecond) }, func(l *link.Link) { l.SetDelay(0) }),
	upstreamFault("upstream drops responses", func(f *upstreamFaults, _ *rand.Rand) { f.dropResponses = true }),
	upstreamFault("upstream corrupts responses", func(f *upstreamFaults, _ *rand.Rand) { f.corruptResponses = true }),
	upstreamFault("upstream repeats refusals", func(f *upstreamFaults, _ *rand.Rand) { f.repeatRefusals = true }),
	{"invalid objects among the upstreams", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		return d.addInvalidUpstreams(r, 1+r.IntN(5))
	}},
	upstreamFault("upstream truncates streams", func(f *upstreamFaults, _ *rand.Rand) { f.truncateStreams = true }),
	upstreamFault("upstream pauses streams", func(f *upstreamFaults, r *rand.Rand) {
		f.pauseTime = time.Duration(r.IntN(2000)) * time.Millisecond
	}),
	upstreamFault("upstream slow", func(f *upstreamFaults, r *rand.Rand) {
		f.responseDelay = time.Duration(r.IntN(300)) * time.Millisecond
	}),
	upstreamFault("upstream delays orders", func(f *upstreamFaults, r *rand.Rand) {
		f.orderDelay = time.Duration(200+r.IntN(2000)) * time.Millisecond
	}),
	{"upstreams break responses off", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		return d.breakResponses(newBreaker(r))
	}},
	{"upstream names a limit", func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		u := randomElement(r, d.upstreams)
		u.nameLimit(randomElement(r, []float64{0, 0.2, 1, 3}))
		return func() {
			// The limit lasts beyond the time that entries have to learn it.
			time.Sleep(contactTimeout + duration)
			u.removeLimit()
		}
	}},
	{"upstream wants no requests", func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		randomElement(r, d.upstreams).turnAway(duration)
		return nil
	}},
	{"upstream states that it is leaving", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		u := randomElement(r, d.upstreams)
		if !u.isAlive() {
			return nil
		}
		u.stateLeaving(r.IntN(2) == 0)
		return func() {
			// Requests reach it beyond the time that entries have to stop sending them.
			time.Sleep(drainLimit + time.Second)
			if !u.isAlive() {
				return
			}
			u.crash()
			if err := u.start(); err != nil {
				d.checker.RecordViolation("the simulated upstream %s can't be restarted: %v", u.host, err)
			}
		}
	}},
	{"upstream crash", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		u := randomElement(r, d.upstreams)
		if !u.isAlive() {
			return nil
		}
		u.crash()
		return func() {
			if err := u.start(); err != nil {
				d.checker.RecordViolation("the simulated upstream %s can't be restarted: %v", u.host, err)
			}
		}
	}},
	{"deadly part", func(d *deployment, _ *rand.Rand, duration time.Duration) func() {
		part := d.checker.deadly.add()
		return func() {
			// A rank that has crashed is back after about a second, so the fault lasts longer
			// than others.
			time.Sleep(duration)
			d.checker.deadly.remove(part)
		}
	}},
	{"upstream drains", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		u := d.upstreams[d.size.Ranks+r.IntN(d.size.PlainUpstreams)]
		if !u.isAlive() {
			return nil
		}
		if err := u.drain(); err != nil {
			d.checker.RecordViolation("the simulated upstream can't announce that it drains: %v", err)
		}
		return func() {
			time.Sleep(drainLimit)
			if !u.isAlive() {
				return
			}
			u.crash()
			if err := u.start(); err != nil {
				d.checker.RecordViolation("the simulated upstream %s can't be restarted: %v", u.host, err)
			}
		}
	}},
	{"failure domain evacuated", func(d *deployment, r *rand.Rand, duration time.Duration) func() {
		if !d.evacuate(randomElement(r, failureDomains)) {
			return nil
		}
		return func() {
			// Requests reach it beyond the time that entries have to stop sending them.
			time.Sleep(evacuateLimit + duration)
			d.takeBack()
		}
	}},
	{"expert popularity shift", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		d.group.firstPopular = r.IntN(experts)
		return nil
	}},
	{"key replaced", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		d.replaceKey(randomElement(r, []string{"north", "south"}))
		d.updateConfig()
		return nil
	}},
	{"route moved", func(d *deployment, r *rand.Rand, _ time.Duration) func() {
		d.mu.Lock()
		d.plainService = randomElement(r, plainServices)
		d.mu.Unlock()
		d.updateConfig()
		return nil
	}},
}

// updateConfig writes the next version of the configuration. It records a failure as a
// violation, as a write of the simulated store by itself can't fail.
func (d *deployment) updateConfig() {
	if err := d.writeConfig(); err != nil {
		d.checker.RecordViolation("the configuration can't be written: %v", err)
	}
}

// event is a scheduled fault.
type event struct {
	// at is the time from the start of the faults to the beginning of this one.
	at, duration time.Duration
	// fault is the index of the kind in faults.
	fault int
}

// String implements fmt.Stringer.
func (e event) String() string {
	return fmt.Sprintf("%.1fs %s for %.1fs", e.at.Seconds(), faults[e.fault].name, e.duration.Seconds())
}

// drawSchedule draws the faults that begin within a period. Most are of up to three random
// kinds, so that faults of one kind come in series and overlap; a quarter are of any kind.
func drawSchedule(r *rand.Rand, length time.Duration) []event {
	frequent := []int{r.IntN(len(faults)), r.IntN(len(faults)), r.IntN(len(faults))}
	var list []event
	for at := time.Duration(0); at < length; at += time.Duration(r.ExpFloat64() * float64(meanFaultInterval)) {
		e := event{at: at, duration: minFaultDuration + time.Duration(r.Float64()*float64(maxFaultDuration-minFaultDuration)), fault: randomElement(r, frequent)}
		if r.IntN(4) == 0 {
			e.fault = r.IntN(len(faults))
		}
		list = append(list, e)
	}
	return list
}
