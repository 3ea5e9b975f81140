package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/acaciaglade/acaciaglade/pkg/dispatch"
	"github.com/acaciaglade/acaciaglade/pkg/lockstep"
)

// Times of the questions to coordinators.
const (
	// boardInterval is the time between two questions. Boards tell which ranks are
	// slow, which lasts for seconds.
	boardInterval = time.Second
	// busyInterval is the same while a group is nearly full: then a board also decides
	// how many requests wait. Agents ask their ranks about as often.
	busyInterval = 200 * time.Millisecond
	// boardTimeout bounds a question. A board that is older says little.
	boardTimeout = 150 * time.Millisecond
	// maxBoardBytes bounds an answer: some numbers for each rank.
	maxBoardBytes = 1 << 20
)

// boards asks the coordinators of groups how their ranks do.
type boards struct {
	http *http.Client
	log  *logrus.Entry
	take func(dispatch.GroupLoad)
	// agents returns the agents that may coordinate, by group.
	agents func() map[string][]string
	// busy reports whether a group is nearly full.
	busy func(group string) bool
	// last is the agent of a group that answered last.
	last map[string]string
}

func (b *boards) run(ctx context.Context) {
	b.last = make(map[string]string)
	asked := make(map[string]time.Time)
	tick := time.NewTicker(busyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for group, agents := range b.agents() {
			if now := time.Now(); b.busy(group) || now.Sub(asked[group]) >= boardInterval {
				asked[group] = now
				b.ask(ctx, group, agents)
			}
		}
	}
}

// ask asks the agent that answered last, or the others in turn once it does not.
func (b *boards) ask(ctx context.Context, group string, agents []string) {
	if last := b.last[group]; last != "" {
		agents = []string{last}
	}
	for _, agent := range agents {
		board, err := b.fetch(ctx, agent)
		if err == nil {
			if b.last[group] == "" {
				b.log.WithFields(logrus.Fields{"group": group, "agent": agent, "epoch": board.Epoch}).Info("coordinator found")
			}
			b.last[group] = agent
			b.take(board)
			return
		}
		if b.last[group] != "" {
			b.log.WithError(err).WithFields(logrus.Fields{"group": group, "agent": agent}).Info("coordinator lost")
		}
	}
	delete(b.last, group)
}

func (b *boards) fetch(ctx context.Context, agent string) (dispatch.GroupLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, boardTimeout)
	defer cancel()
	asked := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent+lockstep.PathGroupLoad, http.NoBody)
	if err != nil {
		return dispatch.GroupLoad{}, errors.WithStack(err)
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return dispatch.GroupLoad{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxBoardBytes)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, body)
		return dispatch.GroupLoad{}, errors.Errorf("the agent answered %d; another one coordinates", resp.StatusCode)
	}
	var told lockstep.GroupLoad
	if err := json.NewDecoder(body).Decode(&told); err != nil {
		return dispatch.GroupLoad{}, errors.WithStack(err)
	}
	return boardOf(&told, asked), nil
}

// boardOf returns a board on this host's clock. Its age counts from when it was
// asked for, as the time of the answer on its way is not known.
func boardOf(told *lockstep.GroupLoad, asked time.Time) dispatch.GroupLoad {
	b := dispatch.GroupLoad{
		Group: told.Group, Epoch: told.Epoch,
		At: asked.Add(-time.Duration(told.AgeMillis) * time.Millisecond),
	}
	for rank := range told.Running {
		load := dispatch.RankLoad{}
		if told.Running[rank] >= 0 && rank < len(told.Waiting) && rank < len(told.Slowdown) {
			load = dispatch.RankLoad{Known: true, Requests: told.Running[rank] + told.Waiting[rank], Slowdown: told.Slowdown[rank]}
		}
		b.Ranks = append(b.Ranks, load)
	}
	return b
}
