package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// sideMachine returns the number of the machine of a replica.
func sideMachine(i int) int { return 20 + i }

// startGroup starts the model group with an agent beside each replica, and an entry.
func (d *deployment) startGroup(ctx context.Context, bad func(machine int) func() bool) (*group, []*replica, error) {
	g := newGroup(d.log, d.store)
	var list []*replica
	for i := range groupRanks {
		u, err := d.startReplica(g, i)
		if err != nil {
			return nil, nil, err
		}
		if bad != nil {
			u.badReport = bad(i)
		}
		list = append(list, u)
	}
	for i := range groupRanks {
		if _, err := d.startProcess(fmt.Sprint("side-", i), "acaciaglade-agent", "platform-agent", "side", sideMachine(i)); err != nil {
			return nil, nil, err
		}
	}
	go g.run(ctx)
	_, err := d.startEntry(1)
	return g, list, err
}

func (d *deployment) startReplica(g *group, i int) (*replica, error) {
	m := sideMachine(i)
	return g.start(i, d.address(m, 30), d.address(m, 31), zones[m%3])
}

// Times of the case of exchanged ranks.
const (
	crashEvery = 7 * time.Second
	crashes    = 14
	firstDown  = 2000 * time.Millisecond
	secondDown = 2300 * time.Millisecond
	// firstCrashed is the lowest rank that crashes: the agents that may coordinate go on.
	firstCrashed = 4
)

// caseRanks crashes two of the twelve model replicas at a time. They come back as new boots, and
// each takes the lowest rank that is free as it joins. It ends early once the rule is broken.
func caseRanks(d *deployment, trouble bool) (bool, string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g, list, err := d.startGroup(ctx, nil)
	if err != nil {
		return false, "", err
	}
	n := &drafts{}
	go d.loadDrafts(ctx, 1, 15, n)
	time.Sleep(8 * time.Second)
	for range crashes {
		if trouble {
			if err := d.crashTwo(g, list); err != nil {
				return false, "", err
			}
		}
		time.Sleep(crashEvery - secondDown)
		g.mu.Lock()
		mixed := g.mixed > 0
		g.mu.Unlock()
		if mixed {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	sent, served := n.counts()
	what := fmt.Sprintf("%d of %d passes began with different maps; %d switches, %d epochs; %d of %d streams served", g.mixed, g.passes, g.switches, g.epoch, served, sent)
	if g.switches < 3 {
		return false, what, fmt.Errorf("too few switches of the map: %s", what)
	}
	return g.mixed == 0, what, nil
}

// crashTwo crashes the replicas of two ranks. The one of the higher rank comes back first.
func (d *deployment) crashTwo(g *group, list []*replica) error {
	ranks := rand.Perm(groupRanks - firstCrashed)[:2]
	slices.Sort(ranks)
	g.mu.Lock()
	low, high := g.members[firstCrashed+ranks[0]].machine, g.members[firstCrashed+ranks[1]].machine
	g.mu.Unlock()
	list[low].crash()
	list[high].crash()
	time.Sleep(firstDown)
	u, err := d.startReplica(g, high)
	if err != nil {
		return err
	}
	list[high] = u
	time.Sleep(secondDown - firstDown)
	u, err = d.startReplica(g, low)
	list[low] = u
	return err
}

// Times of the case of a report without end.
const (
	usualTime    = 12 * time.Second
	troubleTime  = 300 * time.Millisecond
	recoveryTime = 12 * time.Second
	afterTime    = 25 * time.Second
)

// caseReport lets the replica of rank 0 answer its own machine's reads of its report with bytes
// without end, for a moment from when a pass is held.
func caseReport(d *deployment, trouble bool) (bool, string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// armed is true while the trouble may begin, until the Unix time in nanoseconds at which it ends.
	var armed atomic.Bool
	var until atomic.Int64
	g, _, err := d.startGroup(ctx, func(machine int) func() bool {
		if machine != 0 {
			return nil
		}
		return func() bool { return time.Now().UnixNano() < until.Load() }
	})
	if err != nil {
		return false, "", err
	}
	g.mu.Lock()
	g.onHold = func() {
		if armed.CompareAndSwap(true, false) {
			d.log.add("trouble of the replica of rank 0 begins, for %v", troubleTime)
			until.Store(time.Now().Add(troubleTime).UnixNano())
		}
	}
	g.mu.Unlock()
	before, after := &drafts{}, &drafts{}
	beforeCtx, stopBefore := context.WithCancel(ctx)
	go d.loadDrafts(beforeCtx, 1, 15, before)
	time.Sleep(usualTime)
	sentBefore, servedBefore := before.counts()
	armed.Store(trouble)
	time.Sleep(recoveryTime + time.Second)
	stopBefore()
	d.log.add("the streams that count begin")
	go d.loadDrafts(ctx, 1, 15, after)
	time.Sleep(afterTime)
	sent, served := after.counts()
	g.mu.Lock()
	what := fmt.Sprintf("%d of %d streams served before the trouble, %d of %d sent later than %v after it; %d switches", servedBefore, sentBefore, served, sent, recoveryTime, g.switches)
	for i, u := range g.members {
		if u.held != nil {
			what += fmt.Sprintf("; rank %d still holds pass %d", i, *u.held)
		}
	}
	g.mu.Unlock()
	if servedBefore*2 < sentBefore || armed.Load() {
		return false, what, fmt.Errorf("no service or no hold before the trouble: %s", what)
	}
	return served*4 >= sent, what, nil
}
