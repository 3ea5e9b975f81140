package sessions

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/engine"
	"github.com/acaciaglade/acaciaglade/lab/load"
	"github.com/acaciaglade/acaciaglade/lab/session"
	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap"
	"github.com/acaciaglade/acaciaglade/pkg/expertmap/mapswitch"
	"github.com/acaciaglade/acaciaglade/pkg/group"
)

// groupConfig returns a deployment with a group of four ranks whose agents plan every
// 500 ms.
func groupConfig(rankArgs ...string) deploy.Config {
	return deploy.Config{
		Entries: 1, Ranks: 4,
		RankArgs: append([]string{"--layers", "2", "--experts", "8", "--expert-slots", "4"}, rankArgs...),
		RankAgentArgs: []string{
			"--group-layers", "2", "--group-experts", "8", "--group-expert-slots", "4", "--plan-interval", "500ms", "--plan-rest", "500ms",
			"--group-interval", "100ms", "--group-patience", "500ms", "--rank-order-timeout", "500ms", "--expert-bytes", "1e6", "--healthy-step", "10s",
		},
	}
}

// fetchJSON gets a JSON document from a process, with the peers' token.
func fetchJSON(t *testing.T, target string, out any) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(api.HeaderPeerToken, deploy.PeerToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	return errors.WithStack(json.NewDecoder(resp.Body).Decode(out))
}

// agentStatus returns the status of the group as the agent of a rank reports it.
func agentStatus(t *testing.T, d *deploy.Deployment, rank int) (group.Status, error) {
	t.Helper()
	var s group.Status
	err := fetchJSON(t, d.RankAgents[rank].URL()+group.PathStatus, &s)
	return s, err
}

// shiftPopularity changes the popularity of every expert.
func shiftPopularity(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	resp, err := http.Post(d.Ranks[0].URL()+engine.PathShiftPopularity, "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// mapVersionsByStep returns, for each rank, the version of the map that it used in each
// step that it has entered since it started.
func mapVersionsByStep(t *testing.T, d *deploy.Deployment) []map[uint64]expertmap.Version {
	t.Helper()
	all := make([]map[uint64]expertmap.Version, len(d.Ranks))
	for r, p := range d.Ranks {
		var ranges []engine.StepRange
		if err := fetchJSON(t, p.URL()+engine.PathJournal, &ranges); err != nil {
			t.Fatal(err)
		}
		all[r] = make(map[uint64]expertmap.Version)
		for _, s := range ranges {
			for step := s.From; step <= s.To; step++ {
				all[r][step] = s.Version
			}
		}
	}
	return all
}

// assertOneMapPerStep checks that all ranks used the same map in each step, and returns
// the versions that were used.
func assertOneMapPerStep(t *testing.T, d *deploy.Deployment) map[expertmap.Version]bool {
	t.Helper()
	used := make(map[uint64]expertmap.Version)
	versions := make(map[expertmap.Version]bool)
	for r, steps := range mapVersionsByStep(t, d) {
		for step, v := range steps {
			if other, ok := used[step]; ok && other != v {
				t.Errorf("step %d: rank %d used map version %d, another rank used version %d", step, r, v, other)
			}
			used[step] = v
			versions[v] = true
		}
	}
	return versions
}

// waitForNewMap waits until the current map of every rank is newer than a version, and
// returns its version.
func waitForNewMap(t *testing.T, d *deploy.Deployment, above expertmap.Version) expertmap.Version {
	t.Helper()
	var version expertmap.Version
	eventually(t, 20*time.Second, "every rank uses a new map", func() error {
		for r := range d.Ranks {
			s, err := agentStatus(t, d, r)
			if err != nil {
				return err
			}
			if s.Switch.Rank.Current == nil || s.Switch.Rank.Current.Version <= above {
				return errors.Errorf("rank %d: %+v", r, s.Switch)
			}
			version = s.Switch.Rank.Current.Version
		}
		return nil
	})
	return version
}

// putJSON puts a JSON value to a simulator.
func putJSON(t *testing.T, target string, value any) {
	t.Helper()
	if err := deploy.PutJSON(t.Context(), target, value); err != nil {
		t.Fatal(err)
	}
}

// maxPause is the longest time without a step that is allowed when the coordinator
// fails.
const maxPause = 5 * time.Second

// longestPause returns the longest time without a step since the last call.
func longestPause(t *testing.T, d *deploy.Deployment) time.Duration {
	t.Helper()
	var millis int64
	if err := fetchJSON(t, d.Ranks[0].URL()+engine.PathLongestPause, &millis); err != nil {
		t.Fatal(err)
	}
	return time.Duration(millis) * time.Millisecond
}

// waitForPreparedMap waits until a rank has a prepared map that isn't committed, and
// returns its version.
func waitForPreparedMap(t *testing.T, d *deploy.Deployment, rank int) expertmap.Version {
	t.Helper()
	var version expertmap.Version
	eventually(t, 20*time.Second, "a map is prepared and not committed", func() error {
		var s mapswitch.RankState
		if err := fetchJSON(t, d.Ranks[rank].URL()+engine.PathState, &s); err != nil {
			return err
		}
		if s.Next == nil || s.Next.Committed {
			return errors.New("the rank has no prepared map")
		}
		version = s.Next.Map.Version
		return nil
	})
	return version
}

// startChats sends chat completions until the returned function is called, which
// returns their result.
func startChats(t *testing.T, d *deploy.Deployment) func() load.Result {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	var result load.Result
	wait.Go(func() {
		result = load.Run(ctx, load.Config{
			Entries: []string{d.Entries[0].URL()}, Organisation: "franchise", Token: demo.Token("franchise"),
			Kind: load.KindChat, PerSecond: 20, Tokens: 12, Model: deploy.ModelService,
		})
	})
	return func() load.Result {
		cancel()
		wait.Wait()
		return result
	}
}

// allComplete reports whether every response of the traffic was complete.
func allComplete(t *testing.T, r load.Result) bool {
	t.Helper()
	t.Logf("sent %d, complete %d, tokens %d, refused: %s", r.Sent, r.Complete, r.Tokens, r.RefusalSummary())
	return r.Sent > 0 && r.Complete == r.Sent && r.Tokens == 12*r.Sent
}

func sendSignal(t *testing.T, p *deploy.Process, s syscall.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// TestMapSwitchUnderTraffic switches maps while the coordinator is killed between prepare
// and commit and a rank is frozen. All ranks must use one map in each step, and every
// response must be complete.
func TestMapSwitchUnderTraffic(t *testing.T) {
	for name, args := range map[string][2][]string{
		"engine checks fencing":  {{"--checks-fencing", "--load-time", "300ms"}, {"--rank-checks-fencing"}},
		"engine ignores fencing": {{"--load-time", "300ms"}, nil},
	} {
		t.Run(name, func(t *testing.T) { testMapSwitch(t, args[0], args[1]) })
	}
}

func testMapSwitch(t *testing.T, rankArgs, agentArgs []string) {
	cfg := groupConfig(rankArgs...)
	cfg.RankAgentArgs = append(cfg.RankAgentArgs, agentArgs...)
	d := startDeployment(t, cfg)
	r := &session.Recorder{}
	stop := startChats(t, d)

	r.Note("the planner replaces the contiguous map")
	first := waitForNewMap(t, d, 0)
	// The first map that is seen may already be the planner's. Without a shift of the
	// popularity the planner would then plan no further map.
	shiftPopularity(t, d)
	second := waitForNewMap(t, d, first)
	r.Line("all ranks use a new map")

	r.Note("the popularity shifts, and the coordinator is killed between prepare and commit")
	longestPause(t, d) // resets the longest pause
	putJSON(t, d.Ranks[1].URL()+engine.PathStall, mapswitch.OrderPrepare)
	shiftPopularity(t, d)
	aborted := waitForPreparedMap(t, d, 2)
	// The agent of the highest rank is the coordinator.
	if err := d.Kill(t.Context(), d.RankAgents[3]); err != nil {
		t.Fatal(err)
	}
	putJSON(t, d.Ranks[1].URL()+engine.PathStall, "")
	if err := d.Restart(d.RankAgents[3]); err != nil {
		t.Fatal(err)
	}
	third := waitForNewMap(t, d, max(second, aborted))
	pause := longestPause(t, d)
	t.Logf("longest pause between steps: %s", pause)
	r.Line("the longest pause between steps is at most %s: %t", maxPause, pause <= maxPause)
	r.Line("the prepared map was aborted, and all ranks use another one")

	r.Note("a rank is frozen for a second while the popularity shifts")
	shiftPopularity(t, d)
	sendSignal(t, d.Ranks[2], syscall.SIGSTOP)
	<-time.After(time.Second)
	sendSignal(t, d.Ranks[2], syscall.SIGCONT)
	waitForNewMap(t, d, third)
	r.Line("all ranks use a new map")

	result := stop()
	r.Note("the responses to the callers")
	r.Line("every response complete: %t", allComplete(t, result))
	r.Note("the maps that the steps used")
	used := assertOneMapPerStep(t, d)
	r.Line("at least 4 maps used: %t", len(used) >= 4)
	r.Line("the aborted map was used: %t", used[aborted])
	r.Line("all ranks used the same map in every step: %t", !t.Failed())
	assertGolden(t, r)
}

// TestLeavingRankDrainsItsGroup guards against requests that are aborted when a rank
// stops: its agent must not end before the whole group has drained.
func TestLeavingRankDrainsItsGroup(t *testing.T) {
	cfg := groupConfig()
	cfg.Models = 1
	d := startDeployment(t, cfg)
	waitForNewMap(t, d, 0)
	r := &session.Recorder{}
	stop := startChats(t, d)
	waitForGroupRequests(t, d)

	r.Note("the agent of rank 2 is asked to stop")
	sendSignal(t, d.RankAgents[2], syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := d.RankAgents[2].Wait(ctx); err != nil {
		t.Fatal(err)
	}
	r.Line("requests that the group runs when the agent has stopped: %d", groupRunning(t, d))
	if err := d.Kill(ctx, d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	r.Note("the rank and its agent are restarted")
	if err := d.Restart(d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.RankAgents[2]); err != nil {
		t.Fatal(err)
	}
	waitForGroupRequests(t, d)
	r.Line("the group runs requests again")
	r.Note("the responses to the callers")
	r.Line("every response complete: %t", allComplete(t, stop()))
	assertOneMapPerStep(t, d)
	assertGolden(t, r)
}

// groupRunning returns the number of running requests that the group's agent of rank 0
// reports.
func groupRunning(t *testing.T, d *deploy.Deployment) int {
	t.Helper()
	s, err := d.Operator(0).Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range s.Upstreams {
		if u.Upstream == d.RankAgents[0].Name {
			return u.Running
		}
	}
	return 0
}

// waitForGroupRequests waits until the group runs at least one request.
func waitForGroupRequests(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	eventually(t, 20*time.Second, "the group runs requests", func() error {
		if groupRunning(t, d) == 0 {
			return errors.New("the group runs no request")
		}
		return nil
	})
}

// longResponseTokens is the length of a response that is in progress when a rank is
// killed.
const longResponseTokens = 400

// describeEnding waits for a streamed response. It returns the same text for a complete
// response and for one that ends with an error event, and the body of any other.
func describeEnding(p *session.Pending) string {
	_, body, _ := p.WaitUnrecorded()
	complete := strings.Contains(string(body), fmt.Sprintf("word-%d ", longResponseTokens)) && strings.Contains(string(body), "data: [DONE]")
	refused := strings.Contains(string(body), "event: error") && !strings.Contains(string(body), "[DONE]")
	if complete != refused {
		return "complete or with a reason"
	}
	return "truncated: " + string(body)
}

// TestKilledRankFailsStreamsTruthfully guards against streams that end without an error
// event when a rank is killed, and against a restarted rank that stays without a map.
func TestKilledRankFailsStreamsTruthfully(t *testing.T) {
	d := startDeployment(t, groupConfig())
	waitForNewMap(t, d, 0)
	r := &session.Recorder{}
	stop := startChats(t, d)
	waitForGroupRequests(t, d)
	open := (&session.Recorder{}).Start(t.Context(), session.Call{
		Method: "POST", URL: d.Entries[0].URL() + "/v1/chat/completions", Token: demo.Token("franchise"),
		Body: fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"word"}]}`, longResponseTokens),
	})
	<-open.FirstPart()
	r.Note("rank 2 is killed in the middle of a streamed response, and restarted")
	if err := d.Kill(t.Context(), d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	eventually(t, 20*time.Second, "the rank receives the map of its group and enters steps", func() error {
		s, err := agentStatus(t, d, 2)
		if err != nil {
			return err
		}
		if s.Switch.Rank.Current == nil || s.Switch.Rank.NextStep == 0 {
			return errors.New("rank 2 has no map or has entered no step")
		}
		return nil
	})
	r.Line("the rank has a map and enters steps")
	result := stop()
	t.Logf("sent %d, complete %d, refused: %s", result.Sent, result.Complete, result.RefusalSummary())
	r.Note("the responses to the callers")
	r.Line("responses that ended early without a reason: %d", result.Broken)
	r.Line("the stream that was in progress at the kill ended %s", describeEnding(open))
	assertOneMapPerStep(t, d)
	assertGolden(t, r)
}
