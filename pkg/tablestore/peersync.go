package tablestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/pause"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Timeouts and intervals of the synchronisation between entries.
const (
	// updateWait is how long a peer delays its response until it has an update.
	updateWait = time.Second
	// updateTimeoutMargin is the time after updateWait at which a request times out.
	// The next request opens a new connection.
	updateTimeoutMargin = 500 * time.Millisecond
	// pollPause is the pause between two requests to a peer.
	pollPause = 50 * time.Millisecond
	// failurePause is the pause after a failed request.
	failurePause = 250 * time.Millisecond
	// neighboursInterval is the time between two selections of neighbours.
	neighboursInterval = 500 * time.Millisecond
)

// Peers requests updates and pages from other entries.
type Peers interface {
	PollUpdate(ctx context.Context, address string, request *tablesync.UpdateRequest) (*tablesync.Update, error)
	Page(ctx context.Context, address, hash string) (table.Page, error)
}

// PeerSync pulls newer tables and marks from other entries.
type PeerSync struct {
	store *Store
	peers Peers
	hosts func() []hosts.Host

	mu sync.Mutex
	// polls has the function that stops the poll of each neighbour, by name.
	polls map[string]context.CancelFunc
}

// NewPeerSync returns a PeerSync with the entries in the host list that list returns.
func NewPeerSync(store *Store, peers Peers, list func() []hosts.Host) *PeerSync {
	return &PeerSync{store: store, peers: peers, hosts: list, polls: make(map[string]context.CancelFunc)}
}

// Run polls this entry's neighbours for updates until ctx ends.
func (x *PeerSync) Run(ctx context.Context) {
	ticker := time.NewTicker(neighboursInterval)
	defer ticker.Stop()
	for {
		x.updateNeighbours(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateNeighbours starts and stops polls to match the current neighbours.
func (x *PeerSync) updateNeighbours(ctx context.Context) {
	var names []string
	for _, h := range x.hosts() {
		if h.Role == hosts.RoleEntry {
			names = append(names, h.Name)
		}
	}
	neighbours := tablesync.Neighbours(x.store.cfg.Entry, names)
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, stop := range x.polls {
		if !slices.Contains(neighbours, name) {
			stop()
			delete(x.polls, name)
		}
	}
	for _, name := range neighbours {
		if _, ok := x.polls[name]; ok {
			continue
		}
		pollCtx, stop := context.WithCancel(ctx)
		x.polls[name] = stop
		go x.pollNeighbour(pollCtx, name)
	}
}

// pollNeighbour polls one neighbour for updates until ctx ends.
func (x *PeerSync) pollNeighbour(ctx context.Context, name string) {
	for ctx.Err() == nil {
		wait := pollPause
		if err := x.pollOnce(ctx, name); err != nil {
			x.store.log.WithError(err).WithField("entry", name).Debug("request for table updates failed")
			wait = failurePause
		}
		pause.Sleep(ctx, wait)
	}
}

func (x *PeerSync) pollOnce(ctx context.Context, name string) error {
	address, ok := x.address(name)
	if !ok {
		return nil
	}
	pollCtx, cancel := context.WithTimeout(ctx, updateWait+updateTimeoutMargin)
	defer cancel()
	update, err := x.peers.PollUpdate(pollCtx, address, x.store.updateRequest(updateWait))
	if err != nil {
		return err
	}
	x.store.MergeProvisional(update.Provisional)
	if update.Head == nil {
		return nil
	}
	fetchCtx, cancelFetch := context.WithTimeout(ctx, fetchTimeout)
	defer cancelFetch()
	return x.store.fetchAndApply(fetchCtx, update.Head, func(ctx context.Context, ref table.PageRef) (table.Page, error) {
		return x.peers.Page(ctx, address, ref.Hash())
	})
}

func (x *PeerSync) address(name string) (string, bool) {
	for _, h := range x.hosts() {
		if h.Name == name {
			return h.Address, true
		}
	}
	return "", false
}

// updateRequest returns a request for the updates that this entry does not have.
func (s *Store) updateRequest(wait time.Duration) *tablesync.UpdateRequest {
	current := s.Marks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &tablesync.UpdateRequest{
		Entry:       s.cfg.Entry,
		Version:     s.replica.Head().Version,
		Provisional: current.Provisional,
		WaitMillis:  wait.Milliseconds(),
	}
}
