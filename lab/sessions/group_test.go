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

// groupShape is a group of four ranks whose agents plan often.
func groupShape(rankArgs ...string) deploy.Config {
	return deploy.Config{
		Entries: 1, Ranks: 4,
		RankArgs: append([]string{"--layers", "2", "--experts", "8", "--expert-slots", "4"}, rankArgs...),
		RankAgentArgs: []string{
			"--group-layers", "2", "--group-experts", "8", "--group-expert-slots", "4", "--plan-interval", "500ms", "--plan-rest", "500ms",
			"--group-interval", "100ms", "--group-patience", "500ms", "--rank-order-timeout", "500ms", "--expert-bytes", "1e6", "--healthy-step", "10s",
		},
	}
}

// fetch reads a JSON document of a process.
func fetch(t *testing.T, target string, out any) error {
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

// memberStatus reads what an agent says of its group.
func memberStatus(t *testing.T, d *deploy.Deployment, rank int) (group.Status, error) {
	t.Helper()
	var s group.Status
	err := fetch(t, d.RankAgents[rank].URL()+group.PathStatus, &s)
	return s, err
}

// shift gives every expert a new popularity.
func shift(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	resp, err := http.Post(d.Ranks[0].URL()+engine.PathShiftPopularity, "", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// stepMaps reads which map each rank used in each step it entered since it
// started.
func stepMaps(t *testing.T, d *deploy.Deployment) []map[uint64]expertmap.Version {
	t.Helper()
	all := make([]map[uint64]expertmap.Version, len(d.Ranks))
	for r, p := range d.Ranks {
		var spans []engine.StepRange
		if err := fetch(t, p.URL()+engine.PathJournal, &spans); err != nil {
			t.Fatal(err)
		}
		all[r] = make(map[uint64]expertmap.Version)
		for _, s := range spans {
			for step := s.From; step <= s.To; step++ {
				all[r][step] = s.Version
			}
		}
	}
	return all
}

// oneMap checks that no two ranks used different maps in one step, and returns
// the maps that were used.
func oneMap(t *testing.T, d *deploy.Deployment) map[expertmap.Version]bool {
	t.Helper()
	used := make(map[uint64]expertmap.Version)
	versions := make(map[expertmap.Version]bool)
	for r, steps := range stepMaps(t, d) {
		for step, v := range steps {
			if known, ok := used[step]; ok && known != v {
				t.Errorf("step %d: rank %d used map %d, another rank map %d", step, r, v, known)
			}
			used[step] = v
			versions[v] = true
		}
	}
	return versions
}

// newVersion waits until every rank has a map above a version in force, and
// returns it.
func newVersion(t *testing.T, d *deploy.Deployment, above expertmap.Version) expertmap.Version {
	t.Helper()
	var version expertmap.Version
	eventually(t, 20*time.Second, "a new map on every rank", func() error {
		for r := range d.Ranks {
			s, err := memberStatus(t, d, r)
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

// put sends a JSON value to a stand-in.
func put(t *testing.T, target string, value any) {
	t.Helper()
	if err := deploy.PutJSON(t.Context(), target, value); err != nil {
		t.Fatal(err)
	}
}

// stopBound is how long steps may stop when the coordinator dies: a few seconds.
const stopBound = 5 * time.Second

// longestStop returns the longest time without a step since the last call.
func longestStop(t *testing.T, d *deploy.Deployment) time.Duration {
	t.Helper()
	var millis int64
	if err := fetch(t, d.Ranks[0].URL()+engine.PathLongestPause, &millis); err != nil {
		t.Fatal(err)
	}
	return time.Duration(millis) * time.Millisecond
}

// preparedOn waits until a rank holds a map without the decision, and returns its
// version.
func preparedOn(t *testing.T, d *deploy.Deployment, rank int) expertmap.Version {
	t.Helper()
	var version expertmap.Version
	eventually(t, 20*time.Second, "a map prepared without the decision", func() error {
		var s mapswitch.RankState
		if err := fetch(t, d.Ranks[rank].URL()+engine.PathState, &s); err != nil {
			return err
		}
		if s.Next == nil || s.Next.Committed {
			return errors.New("nothing is prepared")
		}
		version = s.Next.Map.Version
		return nil
	})
	return version
}

// sendChats sends chat completions until the returned function is called.
func sendChats(t *testing.T, d *deploy.Deployment) func() load.Result {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	var result load.Result
	wait.Go(func() {
		result = load.Run(ctx, load.Config{
			Entries: []string{d.Entries[0].URL()}, Organisation: "franchise", Token: demo.Token("franchise"),
			Kind: load.Chat, PerSecond: 20, Tokens: 12, Model: deploy.ModelService,
		})
	})
	return func() load.Result {
		cancel()
		wait.Wait()
		return result
	}
}

// whole reports whether every answer of the traffic was whole.
func whole(t *testing.T, r load.Result) bool {
	t.Helper()
	t.Logf("sent %d, complete %d, tokens %d, refused: %s", r.Sent, r.Complete, r.Tokens, r.RefusalSummary())
	return r.Sent > 0 && r.Complete == r.Sent && r.Tokens == 12*r.Sent
}

func signal(t *testing.T, p *deploy.Process, s syscall.Signal) {
	t.Helper()
	if err := p.Signal(s); err != nil {
		t.Fatal(err)
	}
}

func TestMapSwitchUnderTraffic(t *testing.T) {
	for name, args := range map[string][2][]string{
		"engine checks fencing":  {{"--checks-fencing", "--load-time", "300ms"}, {"--rank-checks-fencing"}},
		"engine ignores fencing": {{"--load-time", "300ms"}, nil},
	} {
		t.Run(name, func(t *testing.T) { mapSwitch(t, args[0], args[1]) })
	}
}

func mapSwitch(t *testing.T, rankArgs, memberArgs []string) {
	shape := groupShape(rankArgs...)
	shape.RankAgentArgs = append(shape.RankAgentArgs, memberArgs...)
	d := start(t, shape)
	r := &session.Recorder{}
	stop := sendChats(t, d)

	r.Note("the planner replaces the even map")
	first := newVersion(t, d, 0)
	// The first map that is seen may be the planner's already, which then has no
	// cause to plan another one before the popularity shifts.
	shift(t, d)
	second := newVersion(t, d, first)
	r.Line("a new map is in force on all ranks")

	r.Note("the popularity shifts, and the coordinator is killed between prepare and commit")
	longestStop(t, d)
	put(t, d.Ranks[1].URL()+engine.PathStall, mapswitch.OrderPrepare)
	shift(t, d)
	aborted := preparedOn(t, d, 2)
	if err := d.Kill(t.Context(), d.RankAgents[3]); err != nil {
		t.Fatal(err)
	}
	put(t, d.Ranks[1].URL()+engine.PathStall, "")
	if err := d.Restart(d.RankAgents[3]); err != nil {
		t.Fatal(err)
	}
	third := newVersion(t, d, max(second, aborted))
	stopped := longestStop(t, d)
	t.Logf("steps stopped for %s", stopped)
	r.Line("steps stopped for at most %s: %t", stopBound, stopped <= stopBound)
	r.Line("the prepared map was aborted, and another one is in force on all ranks")

	r.Note("a rank is frozen for a second while the popularity shifts")
	shift(t, d)
	signal(t, d.Ranks[2], syscall.SIGSTOP)
	<-time.After(time.Second)
	signal(t, d.Ranks[2], syscall.SIGCONT)
	newVersion(t, d, third)
	r.Line("a new map is in force on all ranks")

	result := stop()
	r.Note("the callers")
	r.Line("every answer whole: %t", whole(t, result))
	r.Note("the maps of the steps")
	used := oneMap(t, d)
	r.Line("at least 4 maps used: %t", len(used) >= 4)
	r.Line("the aborted map was used: %t", used[aborted])
	r.Line("one map in every step: %t", !t.Failed())
	golden(t, r)
}

func TestLeavingRankDrainsItsGroup(t *testing.T) {
	shape := groupShape()
	shape.Models = 1
	d := start(t, shape)
	newVersion(t, d, 0)
	r := &session.Recorder{}
	stop := sendChats(t, d)
	untilGroupRuns(t, d)

	r.Note("the host of rank 2 is stopped")
	signal(t, d.RankAgents[2], syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if err := d.RankAgents[2].Wait(ctx); err != nil {
		t.Fatal(err)
	}
	r.Line("requests that the group runs when the rank's agent ends: %d", groupRuns(t, d))
	if err := d.Kill(ctx, d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	r.Note("it comes back")
	if err := d.Restart(d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.RankAgents[2]); err != nil {
		t.Fatal(err)
	}
	untilGroupRuns(t, d)
	r.Line("the group runs requests again")
	r.Note("the callers")
	r.Line("every answer whole: %t", whole(t, stop()))
	oneMap(t, d)
	golden(t, r)
}

// groupRuns returns the number of requests that the group's front agent runs.
func groupRuns(t *testing.T, d *deploy.Deployment) int {
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

// untilGroupRuns waits until the group runs a request.
func untilGroupRuns(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	eventually(t, 20*time.Second, "the group runs requests", func() error {
		if groupRuns(t, d) == 0 {
			return errors.New("none")
		}
		return nil
	})
}

// longAnswerTokens is the length of an answer that is open when a rank is killed.
const longAnswerTokens = 400

// ending tells a whole answer or one that ends with a reason from a short one.
func ending(p *session.Pending) string {
	_, body, _ := p.WaitUnrecorded()
	whole := strings.Contains(string(body), fmt.Sprintf("word-%d ", longAnswerTokens)) && strings.Contains(string(body), "data: [DONE]")
	reasoned := strings.Contains(string(body), "event: error") && !strings.Contains(string(body), "[DONE]")
	if whole != reasoned {
		return "whole or with a reason"
	}
	return "short: " + string(body)
}

func TestKilledRankFailsStreamsTruthfully(t *testing.T) {
	d := start(t, groupShape())
	newVersion(t, d, 0)
	r := &session.Recorder{}
	stop := sendChats(t, d)
	untilGroupRuns(t, d)
	open := (&session.Recorder{}).Start(t.Context(), session.Call{
		Method: "POST", URL: d.Entries[0].URL() + "/v1/chat/completions", Token: demo.Token("franchise"),
		Body: fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"word"}]}`, longAnswerTokens),
	})
	<-open.FirstPart()
	r.Note("rank 2 is killed in the middle of a streamed answer, and started again")
	if err := d.Kill(t.Context(), d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	if err := d.Restart(d.Ranks[2]); err != nil {
		t.Fatal(err)
	}
	eventually(t, 20*time.Second, "the rank takes its map from its group", func() error {
		s, err := memberStatus(t, d, 2)
		if err != nil {
			return err
		}
		if s.Switch.Rank.Current == nil || s.Switch.Rank.NextStep == 0 {
			return errors.New("no map or no step yet")
		}
		return nil
	})
	r.Line("the rank has a map and enters steps")
	result := stop()
	t.Logf("sent %d, complete %d, refused: %s", result.Sent, result.Complete, result.RefusalSummary())
	r.Note("the callers")
	r.Line("answers that ended short without a reason: %d", result.Broken)
	r.Line("the stream that was open at the kill ended %s", ending(open))
	oneMap(t, d)
	golden(t, r)
}
