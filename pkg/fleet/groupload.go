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

// Times of the polls of coordinators.
const (
	// groupLoadInterval is the time between two polls. A group's load shows which of its
	// ranks are slow, which lasts for seconds.
	groupLoadInterval = time.Second
	// busyGroupLoadInterval applies while a group is busy: then its load also determines
	// how many requests wait. Agents poll their ranks about as often.
	busyGroupLoadInterval = 200 * time.Millisecond
	// groupLoadTimeout limits one poll. A load that is older is of little use.
	groupLoadTimeout = 150 * time.Millisecond
	// maxGroupLoadBytes limits a response: a few numbers for each rank.
	maxGroupLoadBytes = 1 << 20
	// maxGroupLoadAge is the highest age of a load. Agents publish none that is older than
	// some seconds.
	maxGroupLoadAge = time.Minute
	// maxRankRequests and maxRankSlowdown are the highest values of one rank.
	maxRankRequests = 1 << 20
	maxRankSlowdown = 1e6
)

// groupLoadPoller polls the coordinators of groups for the load of their ranks.
type groupLoadPoller struct {
	httpClient *http.Client
	log        *logrus.Entry
	handle     func(dispatch.GroupLoad)
	// candidates returns the agents that may coordinate, by group.
	candidates func() map[string][]string
	// isBusy reports whether a group is busy, see dispatch.Dispatcher.IsGroupBusy.
	isBusy func(group string) bool
	// lastResponder is the agent that responded to the last poll, by group.
	lastResponder map[string]string
}

func (p *groupLoadPoller) run(ctx context.Context) {
	p.lastResponder = make(map[string]string)
	polledAt := make(map[string]time.Time)
	tick := time.NewTicker(busyGroupLoadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for group, candidates := range p.candidates() {
			if now := time.Now(); p.isBusy(group) || now.Sub(polledAt[group]) >= groupLoadInterval {
				polledAt[group] = now
				p.poll(ctx, group, candidates)
			}
		}
	}
}

// poll requests the load from the agent that responded last. Once that fails, the next
// poll tries all candidates in order.
func (p *groupLoadPoller) poll(ctx context.Context, group string, candidates []string) {
	if last := p.lastResponder[group]; last != "" {
		candidates = []string{last}
	}
	for _, agent := range candidates {
		load, err := p.fetch(ctx, agent)
		if err == nil {
			if p.lastResponder[group] == "" {
				p.log.WithFields(logrus.Fields{"group": group, "agent": agent, "epoch": load.Epoch}).Info("coordinator found")
			}
			p.lastResponder[group] = agent
			p.handle(load)
			return
		}
		if p.lastResponder[group] != "" {
			p.log.WithError(err).WithFields(logrus.Fields{"group": group, "agent": agent}).Info("agent no longer reports the group's load, trying others")
		}
	}
	delete(p.lastResponder, group)
}

func (p *groupLoadPoller) fetch(ctx context.Context, agent string) (dispatch.GroupLoad, error) {
	ctx, cancel := context.WithTimeout(ctx, groupLoadTimeout)
	defer cancel()
	requestedAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+agent+lockstep.PathGroupLoad, http.NoBody)
	if err != nil {
		return dispatch.GroupLoad{}, errors.WithStack(err)
	}
	resp, err := p.httpClient.Do(req)
	if err != nil {
		return dispatch.GroupLoad{}, errors.WithStack(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxGroupLoadBytes)
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, body)
		return dispatch.GroupLoad{}, errors.Errorf("the agent returned status %d; another one may coordinate the group", resp.StatusCode)
	}
	var reported lockstep.GroupLoad
	if err := json.NewDecoder(body).Decode(&reported); err != nil {
		return dispatch.GroupLoad{}, errors.WithStack(err)
	}
	if reported.AgeMillis < 0 || reported.AgeMillis > maxGroupLoadAge.Milliseconds() {
		return dispatch.GroupLoad{}, errors.Errorf("the agent reports a load of %d ms ago; look at the agent", reported.AgeMillis)
	}
	return toLocalClock(&reported, requestedAt), nil
}

// toLocalClock converts a reported load, whose age becomes a time on this host's clock. The
// age counts from when the request was sent, as the time that the response took is unknown.
// The load of a rank is unknown if one of its values is negative, missing or too high.
func toLocalClock(reported *lockstep.GroupLoad, requestedAt time.Time) dispatch.GroupLoad {
	load := dispatch.GroupLoad{
		Group: reported.Group, Epoch: reported.Epoch,
		At: requestedAt.Add(-time.Duration(reported.AgeMillis) * time.Millisecond),
	}
	for rank := range reported.Running {
		rankLoad := dispatch.RankLoad{}
		if isRankLoad(reported, rank) {
			rankLoad = dispatch.RankLoad{Known: true, Requests: reported.Running[rank] + reported.Waiting[rank], Slowdown: reported.Slowdown[rank]}
		}
		load.Ranks = append(load.Ranks, rankLoad)
	}
	return load
}

func isRankLoad(reported *lockstep.GroupLoad, rank int) bool {
	if rank >= len(reported.Waiting) || rank >= len(reported.Slowdown) {
		return false
	}
	running, waiting, slowdown := reported.Running[rank], reported.Waiting[rank], reported.Slowdown[rank]
	return running >= 0 && running <= maxRankRequests && waiting >= 0 && waiting <= maxRankRequests && slowdown >= 0 && slowdown <= maxRankSlowdown
}
