package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// restartTime is the time after which an upstream that a request has crashed starts again.
const restartTime = 900 * time.Millisecond

// deadlyParts holds the parts of prompts that crash the rank that begins to respond. It is
// safe for concurrent use.
type deadlyParts struct {
	mu sync.Mutex
	// active are the parts that crash ranks now.
	active []string
	// crashes holds the epochs of the group that ended by each part. Ranks that crash in one
	// pass end one epoch.
	crashes map[string]map[uint64]bool
	// created makes each part unique.
	created int
}

func newDeadlyParts() *deadlyParts { return &deadlyParts{crashes: make(map[string]map[uint64]bool)} }

// add adds a part that crashes ranks from now on, and returns it.
func (p *deadlyParts) add() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.created++
	part := fmt.Sprintf("dead%04x", p.created)
	p.active = append(p.active, part)
	return part
}

// remove makes a part harmless.
func (p *deadlyParts) remove(part string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = slices.DeleteFunc(p.active, func(active string) bool { return active == part })
}

// newest returns the part that was added last and still crashes ranks, or "".
func (p *deadlyParts) newest() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.active) == 0 {
		return ""
	}
	return p.active[len(p.active)-1]
}

// find returns the part of a prompt that crashes ranks, or "". It records that the epoch ends
// by it.
func (p *deadlyParts) find(prompt string, epoch uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry := range strings.SplitSeq(prompt, ",") {
		if id, _, _ := strings.Cut(entry, ":"); slices.Contains(p.active, id) {
			if p.crashes[id] == nil {
				p.crashes[id] = make(map[uint64]bool)
			}
			p.crashes[id][epoch] = true
			return id
		}
	}
	return ""
}

// crashCounts returns how often each part has ended an epoch.
func (p *deadlyParts) crashCounts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.crashes))
	for part, epochs := range p.crashes {
		counts[part] = len(epochs)
	}
	return counts
}

// maxCrashesUnderFaults is how often a part may end an epoch while processes and links fail.
// From the fifth crash on the platform forbids further requests with the part.
const maxCrashesUnderFaults = 5

// checkCrashes records a violation for each part that has crashed ranks too often.
func (c *checker) checkCrashes() {
	for part, n := range c.deadly.crashCounts() {
		if n > maxCrashesUnderFaults {
			c.RecordViolation("%s crashed ranks in %d epochs, want at most %d", part, n, maxCrashesUnderFaults)
		}
	}
}

// crashOnRequest crashes the upstream and starts it again after restartTime. It returns false if
// the upstream was not alive.
func (u *upstream) crashOnRequest() bool {
	if !u.crash() {
		return false
	}
	time.AfterFunc(restartTime, func() {
		if err := u.start(); err != nil {
			u.checker.RecordViolation("the simulated upstream %s can't be restarted: %v", u.host, err)
		}
	})
	return true
}
