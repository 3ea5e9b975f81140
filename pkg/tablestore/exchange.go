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

// Bounds of the exchange between entries.
const (
	// newsWait is how long a peer waits for news before it answers.
	newsWait = time.Second
	// newsSilence is how long after that an answer is given up. The next ask
	// opens a new connection.
	newsSilence = 500 * time.Millisecond
	// newsPause is the shortest time between two asks of a peer.
	newsPause = 50 * time.Millisecond
	// failurePause is the time after a failed ask.
	failurePause = 250 * time.Millisecond
	// neighboursInterval is the time between two choices of neighbours.
	neighboursInterval = 500 * time.Millisecond
)

// Peers calls other entries.
type Peers interface {
	PollUpdate(ctx context.Context, address string, ask *tablesync.UpdateRequest) (*tablesync.Update, error)
	Page(ctx context.Context, address, hash string) (table.Page, error)
}

// PeerSync pulls newer tables and marks from other entries.
type PeerSync struct {
	store *Store
	peers Peers
	hosts func() []hosts.Host

	mu    sync.Mutex
	loops map[string]context.CancelFunc
}

// NewPeerSync returns an exchange with the entries of the host list that hosts
// returns.
func NewPeerSync(store *Store, peers Peers, list func() []hosts.Host) *PeerSync {
	return &PeerSync{store: store, peers: peers, hosts: list, loops: make(map[string]context.CancelFunc)}
}

// Run asks this entry's neighbours for news until ctx ends.
func (x *PeerSync) Run(ctx context.Context) {
	ticker := time.NewTicker(neighboursInterval)
	defer ticker.Stop()
	for {
		x.choose(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// choose starts and stops asking to match the neighbours.
func (x *PeerSync) choose(ctx context.Context) {
	var names []string
	for _, h := range x.hosts() {
		if h.Role == hosts.RoleEntry {
			names = append(names, h.Name)
		}
	}
	neighbours := tablesync.Neighbours(x.store.cfg.Entry, names)
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, stop := range x.loops {
		if !slices.Contains(neighbours, name) {
			stop()
			delete(x.loops, name)
		}
	}
	for _, name := range neighbours {
		if _, ok := x.loops[name]; ok {
			continue
		}
		loopCtx, stop := context.WithCancel(ctx)
		x.loops[name] = stop
		go x.follow(loopCtx, name)
	}
}

// follow asks one neighbour for news until ctx ends.
func (x *PeerSync) follow(ctx context.Context, name string) {
	for ctx.Err() == nil {
		wait := newsPause
		if err := x.askOnce(ctx, name); err != nil {
			x.store.log.WithError(err).WithField("entry", name).Debug("no news")
			wait = failurePause
		}
		pause.Sleep(ctx, wait)
	}
}

func (x *PeerSync) askOnce(ctx context.Context, name string) error {
	address, ok := x.address(name)
	if !ok {
		return nil
	}
	askCtx, cancel := context.WithTimeout(ctx, newsWait+newsSilence)
	defer cancel()
	news, err := x.peers.PollUpdate(askCtx, address, x.store.ask(newsWait))
	if err != nil {
		return err
	}
	x.store.MergeProvisional(news.Provisional)
	if news.Head == nil {
		return nil
	}
	fetchCtx, cancelFetch := context.WithTimeout(ctx, fetchTimeout)
	defer cancelFetch()
	return x.store.take(fetchCtx, news.Head, func(ctx context.Context, ref table.PageRef) (table.Page, error) {
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

// ask returns what this entry asks others.
func (s *Store) ask(wait time.Duration) *tablesync.UpdateRequest {
	held := s.Marks()
	s.mu.Lock()
	defer s.mu.Unlock()
	return &tablesync.UpdateRequest{
		Entry:       s.cfg.Entry,
		Version:     s.holder.Head().Version,
		Provisional: held.Provisional,
		WaitMillis:  wait.Milliseconds(),
	}
}
