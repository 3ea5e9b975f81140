package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config configures a run.
type Config struct {
	Size DeploymentSize
	// Bin is the directory of the programs, Dir the directory for settings and logs.
	Bin, Dir string
	Seed     uint64
	// FaultTime is the period in which faults begin.
	FaultTime time.Duration
	// Out receives a line for each fault when it begins. It may be nil.
	Out io.Writer
}

// Result is the result of a run.
type Result struct {
	Seed uint64
	// Violations describe the violated invariants.
	Violations []string
	// Counts holds the number of requests by outcome.
	Counts map[string]int
	// StoreCalls is the number of calls of the store.
	StoreCalls int
	// Passes is the number of forward passes of the group, Epochs how often the group
	// was formed.
	Passes, Epochs uint64
	// Crashes is how often each deadly part has ended an epoch.
	Crashes map[string]int
}

// warmUpTime is the time before the first fault, readyTimeout the time in which all
// entries must become ready.
const (
	warmUpTime   = time.Second
	readyTimeout = 20 * time.Second
)

// Run starts a deployment, sends requests to it while it injects the faults of a seed,
// and checks the invariants.
func Run(cfg Config) (*Result, error) {
	d, err := newDeployment(cfg.Size, cfg.Bin, cfg.Dir, cfg.Seed)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	if err := d.waitReady(); err != nil {
		return nil, err
	}
	b := newBalancer(d, cfg.Seed)
	go b.pollReadiness(d.stop)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range callerCount {
		c := newCaller(d, b, n, cfg.Seed)
		callers.Go(func() { c.run(stop) })
	}
	time.Sleep(warmUpTime)
	d.injectFaults(cfg)
	time.Sleep(recoveryTime)
	from := time.Now()
	time.Sleep(2 * time.Second)
	until := time.Now()
	close(stop)
	callers.Wait()
	// Delayed orders and writes may still be carried out.
	time.Sleep(time.Second)
	d.checker.CheckRecovery(from, until)
	d.checker.checkCrashes()
	return d.result(cfg.Seed), nil
}

func (d *deployment) result(seed uint64) *Result {
	for _, p := range append(slices.Clone(d.entries), d.agents...) {
		p.mu.Lock()
		if p.unexpectedExits > 0 {
			d.checker.RecordViolation("%s exited unexpectedly %d times", p.name, p.unexpectedExits)
		}
		p.mu.Unlock()
	}
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.checker.mu.Lock()
	defer d.checker.mu.Unlock()
	return &Result{
		Seed: seed, Violations: slices.Clone(d.checker.violations), Counts: d.checker.counts, StoreCalls: d.store.Calls(),
		Passes: d.group.step, Epochs: d.group.epoch, Crashes: d.checker.deadly.crashCounts(),
	}
}

// waitReady waits until every entry reports that it is ready.
func (d *deployment) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for i := range d.entries {
		for {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostIP(1, i)+":"+itoa(d.port+2)+"/ready", nil)
			if err != nil {
				return errors.WithStack(err)
			}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return errors.Errorf("entry %d is not ready after %v; see %s", i, readyTimeout, d.entries[i].log)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// injectFaults begins the faults of a run at their times and waits until all have ended.
func (d *deployment) injectFaults(cfg Config) {
	r := rand.New(rand.NewPCG(cfg.Seed, 4))
	start := time.Now()
	var active sync.WaitGroup
	for _, e := range drawSchedule(r, cfg.FaultTime) {
		time.Sleep(time.Until(start.Add(e.at)))
		if cfg.Out != nil {
			fmt.Fprintln(cfg.Out, e, time.Now().Format("15:04:05.000"))
		}
		end := faults[e.fault].begin(d, r, e.duration)
		if end != nil {
			active.Go(func() {
				time.Sleep(e.duration)
				end()
			})
		}
	}
	active.Wait()
}

// RemoveCleanLogs removes the directory of a run without violations.
func (r *Result) RemoveCleanLogs(dir string) error {
	if len(r.Violations) > 0 {
		return nil
	}
	return errors.WithStack(os.RemoveAll(filepath.Clean(dir)))
}
