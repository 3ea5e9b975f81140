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

// Config is the settings of a run.
type Config struct {
	Shape DeploymentSize
	// Bin holds the programs, Dir takes settings and logs.
	Bin, Dir string
	Seed     uint64
	// FaultTime is for how long faults are begun.
	FaultTime time.Duration
	// Out takes the faults as they begin. It may be nil.
	Out io.Writer
}

// Result is what a run saw.
type Result struct {
	Seed uint64
	// Violations are the promises that were broken.
	Violations []string
	// Counts are the outcomes of requests.
	Counts map[string]int
	// Calls is how many calls of the store were made.
	Calls int
	// Passes is how many passes the group made, Epochs how often it was formed.
	Passes, Epochs uint64
}

// warmUp is the time before the first fault, readyWithin the longest wait for the
// programs to serve.
const (
	warmUp      = time.Second
	readyWithin = 20 * time.Second
)

// Run plays one run.
func Run(cfg Config) (*Result, error) {
	w, err := newWorld(cfg.Shape, cfg.Bin, cfg.Dir, cfg.Seed)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	if err := w.waitReady(); err != nil {
		return nil, err
	}
	b := newBalancer(w, cfg.Seed)
	go b.watch(w.stop)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range callersCount {
		c := newCaller(w, b, n, cfg.Seed)
		callers.Go(func() { c.run(stop) })
	}
	time.Sleep(warmUp)
	w.play(cfg)
	time.Sleep(recoverWithin)
	from := time.Now()
	time.Sleep(2 * time.Second)
	until := time.Now()
	close(stop)
	callers.Wait()
	// Late orders and writes may still be carried out.
	time.Sleep(time.Second)
	w.ledger.Recovered(from, until)
	return w.result(cfg.Seed), nil
}

func (w *world) result(seed uint64) *Result {
	for _, p := range append(slices.Clone(w.entries), w.agents...) {
		p.mu.Lock()
		if p.ended > 0 {
			w.ledger.Violate("%s ended by itself %d times", p.name, p.ended)
		}
		p.mu.Unlock()
	}
	w.group.mu.Lock()
	defer w.group.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	return &Result{
		Seed: seed, Violations: slices.Clone(w.ledger.broken), Counts: w.ledger.counts, Calls: w.store.Calls(),
		Passes: w.group.step, Epochs: w.group.epoch,
	}
}

// waitReady waits until every entry says that it is ready.
func (w *world) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyWithin)
	defer cancel()
	for i := range w.entries {
		for {
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hostIP(1, i)+":"+itoa(w.port+2)+"/ready", nil)
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
				return errors.Errorf("entry %d is not ready after %v; see %s", i, readyWithin, w.entries[i].log)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// play begins the faults of a run and waits until all have ended.
func (w *world) play(cfg Config) {
	r := rand.New(rand.NewPCG(cfg.Seed, 4))
	began := time.Now()
	var open sync.WaitGroup
	for _, e := range schedule(r, cfg.FaultTime) {
		time.Sleep(time.Until(began.Add(e.at)))
		if cfg.Out != nil {
			fmt.Fprintln(cfg.Out, e, time.Now().Format("15:04:05.000"))
		}
		end := faults[e.fault].play(w, r, e.took)
		if end != nil {
			open.Go(func() {
				time.Sleep(e.took)
				end()
			})
		}
	}
	open.Wait()
}

// Save removes the logs of a run that broke nothing.
func (r *Result) Save(dir string) error {
	if len(r.Violations) > 0 {
		return nil
	}
	return errors.WithStack(os.RemoveAll(filepath.Clean(dir)))
}
