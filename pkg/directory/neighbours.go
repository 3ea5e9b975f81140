package directory

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/clock"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
)

// PathKnowledge is the path at which an entry tells others what configuration it has.
const PathKnowledge = "/v1/directory"

// Limits of the questions to other entries.
const (
	// askTimeout limits one question.
	askTimeout = 300 * time.Millisecond
	// maxAskTime is how long an entry that starts waits for an answer of another one.
	maxAskTime = 600 * time.Millisecond
	// askInterval is the time between two rounds of questions.
	askInterval = 20 * time.Millisecond
	// maxAsked is the number of entries that are asked at once.
	maxAsked = 16
)

// Knowledge is what an entry tells others about the configuration that it has.
type Knowledge struct {
	// Version is the version of the configuration, 0 for none.
	Version uint64 `json:"version"`
	// Evacuated are the failure domains that the platform has evacuated.
	Evacuated []string `json:"evacuated"`
	// EvacuatedAgeMillis is the time since the evacuations were last confirmed, -1 if they
	// never were.
	EvacuatedAgeMillis int64 `json:"evacuated_age_ms"`
	// RestoredMillis is the time since the store has come back from a copy, -1 if it hasn't
	// since the entry started.
	RestoredMillis int64 `json:"restored_ms_ago"`
}

// Knowledge returns what other entries may ask for.
func (d *Directory) Knowledge() Knowledge {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := Knowledge{Version: d.version(), Evacuated: slices.Clone(d.evacuated), EvacuatedAgeMillis: -1, RestoredMillis: -1}
	if d.evacuationsConfirmedAt > 0 {
		k.EvacuatedAgeMillis = clock.Since(d.evacuationsConfirmedAt).Milliseconds()
	}
	if d.unsettledAt > 0 {
		k.RestoredMillis = clock.Since(d.unsettledAt).Milliseconds()
	}
	return k
}

// AwaitNeighbours makes the directory hold back its table until ReleaseNeighbours is called.
func (d *Directory) AwaitNeighbours() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaiting = true
}

// ReleaseNeighbours lets the directory have a table.
func (d *Directory) ReleaseNeighbours() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaiting {
		d.awaiting = false
		d.rebuild()
	}
}

// ApplyKnowledge applies what another entry knows: an older configuration is neither applied
// nor confirmed. It returns false if the other entry knows none.
func (d *Directory) ApplyKnowledge(k Knowledge) bool {
	if k.Version == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.minVersion = max(d.minVersion, k.Version)
	if d.platformTable != nil && d.platformTable.Version < d.minVersion {
		d.log.WithField("version", d.platformTable.Version).WithField("known_version", d.minVersion).Info("another entry knows a newer configuration")
	}
	if k.RestoredMillis >= 0 && k.RestoredMillis < EvacuationReturnTime.Milliseconds() && len(k.Evacuated) > 0 {
		d.keptEvacuated = k.Evacuated
		d.rebuild()
		time.AfterFunc(EvacuationReturnTime, d.dropKeptEvacuated)
	}
	d.applyNeighbourEvacuations(k)
	return true
}

// applyNeighbourEvacuations takes the failure domains out of service that another entry knows
// to be evacuated, if its list is recent and that of this entry is not. The caller holds the
// lock.
func (d *Directory) applyNeighbourEvacuations(k Knowledge) {
	if !d.evacuationsKnown || clock.Since(d.evacuationsConfirmedAt) <= EvacuationReturnTime {
		return
	}
	if k.EvacuatedAgeMillis < 0 || k.EvacuatedAgeMillis > EvacuationReturnTime.Milliseconds() {
		return
	}
	evacuated := slices.Clone(d.neighbourEvacuated)
	for _, name := range k.Evacuated {
		if !slices.Contains(evacuated, name) {
			evacuated = append(evacuated, name)
		}
	}
	if len(evacuated) == len(d.neighbourEvacuated) {
		return
	}
	d.neighbourEvacuated = evacuated
	d.log.WithField("failure_domains", evacuated).Info("evacuations that another entry knows apply")
	d.rebuild()
}

func (d *Directory) dropKeptEvacuated() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keptEvacuated = nil
	d.rebuild()
}

// Neighbours asks other entries what configuration they have.
type Neighbours struct {
	Directory *Directory
	// Entry is the name of this entry, Hosts returns the hosts of the system.
	Entry string
	Hosts func() []hosts.Host
	// Ask asks the entry at an address.
	Ask func(ctx context.Context, address string) (Knowledge, error)
}

// Run asks the other entries until one has answered that knows a configuration or all have
// answered, at most for maxAskTime, and then releases the directory's table.
func (n *Neighbours) Run(ctx context.Context) {
	defer n.Directory.ReleaseNeighbours()
	ctx, cancel := context.WithTimeout(ctx, maxAskTime)
	defer cancel()
	for ctx.Err() == nil && !n.AskAll(ctx) {
		pause.Sleep(ctx, askInterval)
	}
}

// AskAll asks all other entries once. It reports whether one has answered that knows a
// configuration, or all have answered.
func (n *Neighbours) AskAll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	others := hosts.EntryAddresses(n.Hosts())
	delete(others, n.Entry)
	answered := 0
	var known atomic.Bool
	var mu sync.Mutex
	slots := make(chan struct{}, maxAsked)
	var questions sync.WaitGroup
	for _, address := range others {
		questions.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			k, err := n.Ask(ctx, address)
			if err != nil {
				return
			}
			if n.Directory.ApplyKnowledge(k) {
				known.Store(true)
				// Others may be unreachable, and their answers take until the timeout.
				n.Directory.ReleaseNeighbours()
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
		})
	}
	questions.Wait()
	return known.Load() || len(others) > 0 && answered == len(others)
}

// RegisterPeerRoutes adds the route that other entries call.
func (n *Neighbours) RegisterPeerRoutes(group *echo.Group) {
	group.GET(PathKnowledge, func(c echo.Context) error { return c.JSON(http.StatusOK, n.Directory.Knowledge()) })
}
