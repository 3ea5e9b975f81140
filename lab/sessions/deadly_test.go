package sessions

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/acaciaglade/acaciaglade/lab/demo"
	"github.com/acaciaglade/acaciaglade/lab/deploy"
	"github.com/acaciaglade/acaciaglade/lab/engine"
	"github.com/acaciaglade/acaciaglade/pkg/problem"
)

// deadlyText is the system message that crashes engines.
const deadlyText = "answer in verse"

// maxEngineCrashes is how many engines one message may crash.
const maxEngineCrashes = 2

// setDeadly makes an engine crash on deadlyText.
func setDeadly(t *testing.T, p *deploy.Process) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, p.URL()+engine.PathDeadly, strings.NewReader(deadlyText))
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, p.Name+" takes the deadly text", func() bool {
		req.Body = io.NopCloser(strings.NewReader(deadlyText))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// chat sends a completion with a system message and returns the status and the reason of a
// refusal.
func chat(t *testing.T, entry *deploy.Process, system, user string) (int, problem.Reason) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"draft","max_tokens":4,"messages":[{"role":"system","content":%q},{"role":"user","content":%q}]}`, system, user)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+demo.Token("franchise"))
	req.Header.Set("X-Deadline-Ms", "4000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var p problem.Problem
	if resp.StatusCode != http.StatusOK {
		if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
			t.Fatal(err)
		}
	}
	return resp.StatusCode, p.Reason
}

// restartCrashed restarts the engines that have ended and returns their number.
func restartCrashed(t *testing.T, d *deploy.Deployment, engines []*deploy.Process) int {
	t.Helper()
	n := 0
	for _, p := range engines {
		if !p.HasEnded() {
			continue
		}
		n++
		if err := d.Restart(p); err != nil {
			t.Fatal(err)
		}
		setDeadly(t, p)
	}
	return n
}

// TestDeadlyMessageCrashesFewEngines guards against a message that crashes one engine after
// the other, because each request with it, new or repeated, is sent to the next one.
func TestDeadlyMessageCrashesFewEngines(t *testing.T) {
	cfg := chatConfig(3)
	cfg.Entries, cfg.Links = 2, false
	d := startDeployment(t, cfg)
	engines := d.Upstreams[:3]
	for _, p := range engines {
		setDeadly(t, p)
	}
	for i := range 6 {
		if status, reason := chat(t, d.Entries[i%2], "be brief", fmt.Sprint("question ", i)); status != http.StatusOK {
			t.Fatalf("sound request %d: status %d, %s", i, status, reason)
		}
	}
	crashes, reasons := 0, []problem.Reason{}
	for i := range 8 {
		status, reason := chat(t, d.Entries[i%2], deadlyText, fmt.Sprint("question ", i))
		if status == http.StatusOK {
			t.Errorf("deadly request %d was served", i)
		}
		reasons = append(reasons, reason)
		time.Sleep(1200 * time.Millisecond)
		crashes += restartCrashed(t, d, engines)
	}
	if crashes == 0 || crashes > maxEngineCrashes {
		t.Errorf("%d engines crashed, want 1 to %d; refusals %s", crashes, maxEngineCrashes, reasons)
	}
	if last := reasons[len(reasons)-2:]; !slices.Equal(last, []problem.Reason{problem.ReasonPromptQuarantined, problem.ReasonPromptQuarantined}) {
		t.Errorf("the last requests at both entries were refused as %s", last)
	}
	for i := range 2 {
		r, err := d.Operator(i).Quarantine(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(r.Parts) != 1 || r.Parts[0].Service != deploy.ModelService || len(r.Parts[0].Upstreams) != crashes || !slices.Equal(r.Parts[0].Organisations, []string{"franchise"}) {
			t.Errorf("%s lists %+v", r.Entry, r.Parts)
		}
	}
	for i := range 4 {
		waitFor(t, "sound requests are served", func() bool {
			status, _ := chat(t, d.Entries[i%2], "be brief", "the last question")
			return status == http.StatusOK
		})
	}
}
