package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	model = "m"
	// firstPart is the time to the first part of each response.
	firstPart = 100 * time.Millisecond
)

// fixture is the quarantine of one entry at a time.
type fixture struct {
	*Quarantine
	t   *testing.T
	now time.Time
	// ended counts the upstreams that have ended.
	ended int
}

func newFixture(t *testing.T, entry string) *fixture {
	return &fixture{Quarantine: New(entry, 1), t: t, now: t0}
}

// begin records that responses with each of the parts have begun well.
func (f *fixture) begin(organisation string, parts ...string) {
	for _, part := range parts {
		f.RecordSent(model, []string{part}, f.now)
		f.RecordBegun(model, organisation, []string{part}, firstPart, f.now)
	}
}

// beginOften records enough requests with known parts that a coincidence is unlikely.
func (f *fixture) beginOften() {
	for range 2 * sampleSize {
		f.begin("o", "known")
	}
}

// unbegun is a request that had not begun when an upstream ended.
type unbegun struct {
	organisation string
	parts        []string
}

func request(organisation string, parts ...string) unbegun { return unbegun{organisation, parts} }

// lose records that an upstream in a group of its own ends, and lets the report settle. It
// returns the upstream's ID.
func (f *fixture) lose(requests ...unbegun) string {
	id := f.loseIn("", 0, requests...)
	f.now = f.now.Add(settleTime)
	return id
}

func (f *fixture) loseIn(group string, epoch uint64, requests ...unbegun) string {
	f.ended++
	id := fmt.Sprint(f.entry, "-", f.ended)
	f.RecordLoss(newTestLoss(id, group, epoch, f.now, requests...), f.now)
	return id
}

func newTestLoss(id, group string, epoch uint64, now time.Time, requests ...unbegun) *Loss {
	u := Upstream{UpstreamKey: UpstreamKey{ID: id, Incarnation: "1"}, Service: model, Group: group, Epoch: epoch}
	loss := &Loss{Upstream: u, Evidence: LossRefused, NoticedAt: now}
	for i, r := range requests {
		loss.Unbegun = append(loss.Unbegun, Attempt{ID: fmt.Sprint(id, i), Organisation: r.organisation, Parts: r.parts, Upstream: u, SentAt: now})
	}
	return loss
}

func (f *fixture) check(organisation string, parts ...string) Action {
	v := f.Check(model, organisation, parts, f.now)
	return v.Action
}

// expect checks the action for a request.
func (f *fixture) expect(want Action, organisation string, parts ...string) {
	f.t.Helper()
	if v := f.Check(model, organisation, parts, f.now); v.Action != want {
		f.t.Errorf("action %d for %s of %s, want %d; %+v", v.Action, parts, organisation, want, v.Gated)
	}
}

func (f *fixture) wait(d time.Duration) { f.now = f.now.Add(d) }

// exchange sends all reports of each entry to each other one.
func exchange(entries ...*fixture) {
	for range 2 {
		for _, from := range entries {
			for _, to := range entries {
				for _, report := range from.Reports(from.now) {
					if err := to.Merge(&report, to.now); err != nil {
						from.t.Error(err)
					}
				}
			}
		}
	}
}

// TestDeadlyPartIsQuarantinedAfterTwoLosses guards against a part that ends one upstream
// after the other.
func TestDeadlyPartIsQuarantinedAfterTwoLosses(t *testing.T) {
	f := newFixture(t, "e")
	f.begin("o", "a")
	f.expect(ActionPass, "o", "a", "dead")
	f.loseIn("", 0, request("o", "a", "dead"))
	f.expect(ActionWait, "o", "a", "dead")
	f.wait(settleTime)
	f.expect(ActionTrial, "o", "a", "dead")
	f.expect(ActionPass, "o", "a")
	f.wait(5 * time.Second)
	f.lose(request("o", "a", "dead"))
	f.expect(ActionRefuse, "o", "a", "dead")
	f.expect(ActionPass, "o", "a")
	f.expect(ActionPass, "o", "other")
}

// TestOneLossIsEnoughIfNothingElseIsNew covers a part that is the only new thing at an
// upstream that ends, while other requests have known parts.
func TestOneLossIsEnoughIfNothingElseIsNew(t *testing.T) {
	f := newFixture(t, "e")
	f.beginOften()
	f.lose(request("o", "known", "dead"), request("p", "known"))
	f.expect(ActionRefuse, "o", "dead")
	f.expect(ActionPass, "o", "known")
	v := f.Check(model, "o", []string{"dead"}, f.now)
	if v.RetryAfter <= 0 || v.RetryAfter > shortHold {
		t.Errorf("retry after %v", v.RetryAfter)
	}
	f.wait(shortHold)
	f.expect(ActionTrial, "o", "dead")
}

// TestCoincidenceIsNotConclusive covers losses in which another cause is likely: many
// requests have new parts, another new part was there, or another upstream ended as well.
func TestCoincidenceIsNotConclusive(t *testing.T) {
	for name, lose := range map[string]func(f *fixture){
		"new parts are common": func(f *fixture) {
			for i := range sampleSize {
				f.RecordSent(model, []string{fmt.Sprint("new", i)}, f.now)
			}
			f.loseIn("g", 1, request("o", "part"))
		},
		"another new part": func(f *fixture) {
			f.beginOften()
			f.loseIn("g", 1, request("o", "part"), request("o", "other"))
		},
		"another upstream": func(f *fixture) {
			f.beginOften()
			f.loseIn("g", 1, request("o", "part"))
			f.loseIn("g", 1, request("o", "known"))
		},
		"another upstream without requests": func(f *fixture) {
			f.beginOften()
			f.loseIn("g", 1, request("o", "part"))
			f.loseIn("g", 1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "e")
			lose(f)
			f.wait(settleTime)
			f.expect(ActionTrial, "o", "part")
		})
	}
}

// TestPartInUseIsNotQuarantined guards against shutting out a part that is in much use when
// upstreams end for another reason, together or one after the other.
func TestPartInUseIsNotQuarantined(t *testing.T) {
	f := newFixture(t, "e")
	f.begin("o", "used")
	for i := range 10 {
		for range 3 {
			f.loseIn("g", uint64(i), request("o", "used"), request("p", "used"))
		}
		f.expect(ActionPass, "o", "used")
		f.wait(5 * time.Second)
		f.begin("p", "used")
		f.expect(ActionPass, "o", "used")
	}
}

// TestLossesAtOneTimeCountOnce covers a part that is new, and at several upstreams that end
// together.
func TestLossesAtOneTimeCountOnce(t *testing.T) {
	for _, group := range []string{"", "g"} {
		f := newFixture(t, "e")
		for range 3 {
			f.loseIn(group, 1, request("o", "part"), request("o", "other"))
			f.wait(maxPassTime / 3)
		}
		f.wait(settleTime)
		f.expect(ActionTrial, "o", "part")
	}
}

// TestLossInStalledGroupIsNoEvidence covers a rank that ends while its group makes no pass
// because another one has ended: nothing can have begun.
func TestLossInStalledGroupIsNoEvidence(t *testing.T) {
	f := newFixture(t, "e")
	f.loseIn("g", 1, request("o", "first"))
	f.wait(maxPassTime + time.Millisecond)
	f.loseIn("g", 1, request("o", "second"))
	f.wait(settleTime)
	f.expect(ActionPass, "o", "second")
}

// TestLossInStalledGroupExcusesNothing covers a rank that ends for another reason while its
// group is stopped because of a deadly part: that doesn't make the first loss a coincidence.
func TestLossInStalledGroupExcusesNothing(t *testing.T) {
	f := newFixture(t, "e")
	f.beginOften()
	f.loseIn("g", 1, request("o", "dead"))
	f.wait(settleTime)
	f.expect(ActionRefuse, "o", "dead")
	f.wait(settleTime)
	f.loseIn("g", 1, request("o", "known"))
	f.expect(ActionRefuse, "o", "dead")
}

// TestSoundPartBesideDeadlyOne checks that neither the first part of deadly prompts nor
// parts of other requests at the upstreams are shut out.
func TestSoundPartBesideDeadlyOne(t *testing.T) {
	f := newFixture(t, "e")
	f.lose(request("o", "first", "dead"), request("p", "other"))
	f.expect(ActionTrial, "p", "other")
	f.wait(5 * time.Second)
	f.lose(request("o", "first", "dead"), request("p", "third"))
	f.expect(ActionRefuse, "o", "first", "dead")
	f.expect(ActionPass, "p", "other")
	f.expect(ActionPass, "p", "third")
	// Nothing tells the two parts apart until one of them comes without the other.
	f.expect(ActionTrial, "o", "first")
	f.begin("o", "first")
	f.expect(ActionPass, "o", "first")
	f.expect(ActionRefuse, "o", "dead")
}

// TestPartThatHasTurnedDeadly covers a part that was sound before.
func TestPartThatHasTurnedDeadly(t *testing.T) {
	f := newFixture(t, "e")
	f.begin("o", "part", "other")
	f.lose(request("o", "part"), request("o", "other"))
	f.expect(ActionPass, "o", "part")
	f.wait(5 * time.Second)
	f.begin("o", "other")
	f.lose(request("o", "part"))
	f.expect(ActionRefuse, "o", "part")
	f.expect(ActionPass, "o", "other")
	f.wait(shortHold)
	f.expect(ActionTrial, "o", "part")
}

// TestPartComesBack checks that a part which is sound again is used again, and that the
// trials of one that is not become rare.
func TestPartComesBack(t *testing.T) {
	f := newFixture(t, "e")
	for range 2 {
		f.lose(request("o", "part"))
		f.wait(5 * time.Second)
	}
	trials := 0
	for end := f.now.Add(20 * time.Hour); f.now.Before(end); f.wait(time.Minute) {
		if f.check("o", "part") == ActionTrial {
			trials++
			f.lose(request("o", "part"))
		}
	}
	if trials == 0 || trials > 5 {
		t.Errorf("%d trials in 20 hours, want 1 to 5", trials)
	}
	f.wait(maxHold)
	f.expect(ActionTrial, "o", "part")
	f.begin("o", "part")
	f.expect(ActionPass, "o", "part")
}

// TestRelease lets operators end a quarantine.
func TestRelease(t *testing.T) {
	f := newFixture(t, "e")
	f.lose(request("o", "part"))
	f.wait(5 * time.Second)
	f.lose(request("o", "part"))
	f.expect(ActionRefuse, "o", "part")
	if f.Release(model, "unknown", f.now) || !f.Release(model, "part", f.now) {
		t.Error("wrong result of the release")
	}
	f.expect(ActionPass, "o", "part")
}

// TestForgedPartOfAnother covers an organisation that sends harmful prompts under the name
// of a part that another one uses: only its own requests are shut out.
func TestForgedPartOfAnother(t *testing.T) {
	f := newFixture(t, "e")
	f.begin("victim", "part")
	for _, want := range []Action{ActionPass, ActionTrial, ActionRefuse} {
		f.lose(request("attacker", "part"))
		f.expect(ActionPass, "victim", "part")
		f.wait(5 * time.Second)
		f.begin("victim", "part")
		f.expect(want, "attacker", "part")
	}
	f.expect(ActionPass, "victim", "part")
	f.expect(ActionPass, "third", "part")
}

// TestForgedPartThatNobodyUses covers a part that no other organisation has used lately. A
// trial for another one is possible much sooner than for the one that ended upstreams.
func TestForgedPartThatNobodyUses(t *testing.T) {
	f := newFixture(t, "e")
	for range 2 {
		f.lose(request("attacker", "part"))
		f.wait(5 * time.Second)
	}
	f.wait(shortHold)
	f.expect(ActionRefuse, "attacker", "part")
	f.expect(ActionTrial, "victim", "part")
	f.begin("victim", "part")
	f.expect(ActionPass, "victim", "part")
}

// TestKnowledgeOfOtherEntries covers a part that is new to the entry whose upstream ends
// and in use at another one.
func TestKnowledgeOfOtherEntries(t *testing.T) {
	a, b := newFixture(t, "a"), newFixture(t, "b")
	b.begin("o", "part")
	b.wait(2 * time.Second)
	a.wait(2 * time.Second)
	a.loseIn("", 0, request("o", "part"))
	exchange(a, b)
	a.wait(settleTime)
	a.expect(ActionPass, "o", "part")
	b.expect(ActionPass, "o", "part")
}

// TestLossesAtDifferentEntries covers a deadly part whose requests come at different
// entries.
func TestLossesAtDifferentEntries(t *testing.T) {
	a, b, c := newFixture(t, "a"), newFixture(t, "b"), newFixture(t, "c")
	a.lose(request("o", "dead"))
	exchange(a, b, c)
	for _, f := range []*fixture{a, b, c} {
		f.now = t0.Add(5 * time.Second)
	}
	b.lose(request("o", "dead"))
	exchange(a, b, c)
	for _, f := range []*fixture{a, b, c} {
		f.expect(ActionRefuse, "o", "dead")
	}
	if a.Digest() != b.Digest() || a.Digest() != c.Digest() {
		t.Error("the entries hold different reports")
	}
}

// TestSamplesAreComparedWithOtherEntries checks that parts which are new to one entry only
// don't make a coincidence look likely.
func TestSamplesAreComparedWithOtherEntries(t *testing.T) {
	a, b := newFixture(t, "a"), newFixture(t, "b")
	for i := range sampleSize {
		b.begin("o", fmt.Sprint("part", i))
		a.now = t0.Add(2 * knownBefore)
		a.RecordSent(model, []string{fmt.Sprint("part", i)}, a.now)
	}
	b.now = a.now
	a.loseIn("", 0, request("o", "dead"))
	exchange(a, b)
	a.wait(settleTime)
	a.expect(ActionRefuse, "o", "dead")
}

// TestLateReportsChangeNothing delivers old reports again after a part was refuted.
func TestLateReportsChangeNothing(t *testing.T) {
	a, b := newFixture(t, "a"), newFixture(t, "b")
	var old []Report
	for range 2 {
		a.lose(request("o", "part"))
		old = append(old, a.Reports(a.now)...)
		a.wait(5 * time.Second)
	}
	b.now = a.now
	exchange(a, b)
	b.expect(ActionRefuse, "o", "part")
	b.begin("o", "part")
	exchange(a, b)
	for _, f := range []*fixture{a, b} {
		for i := range old {
			if err := f.Merge(&old[i], f.now); err != nil {
				t.Error(err)
			}
		}
		f.expect(ActionPass, "o", "part")
	}
}

// TestMergeIsIndependentOfOrder merges random reports in random order.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		var reports []Report
		for range 30 {
			reports = append(reports, randomReport(r))
		}
		a, b := newFixture(t, "x"), newFixture(t, "y")
		for i := range reports {
			_ = a.Merge(&reports[i], a.now)
		}
		r.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
		for i := range reports {
			_ = b.Merge(&reports[i], b.now)
			_ = b.Merge(&reports[r.IntN(i+1)], b.now)
		}
		if a.Digest() != b.Digest() {
			t.Fatalf("seed %d: the order of the reports matters", seed)
		}
	}
}

func randomReport(r *rand.Rand) Report {
	names := func(limit int) []string {
		var out []string
		for range r.IntN(3) {
			out = union(out, []string{fmt.Sprint("o", r.IntN(limit))})
		}
		return out
	}
	report := Report{
		Upstream: fmt.Sprint("u", r.IntN(3)), Incarnation: "1", Service: model, AgeMillis: int64(r.IntN(1000)),
		Candidates: make(map[string]Candidate), Observations: make(map[string]Observation),
	}
	for range 1 + r.IntN(3) {
		report.Candidates[fmt.Sprint("p", r.IntN(6))] = Candidate{Organisations: names(4), Before: names(4), Since: names(4)}
	}
	report.Observations[fmt.Sprint("e", r.IntN(4))] = Observation{Unbegun: r.IntN(3), Sampled: r.IntN(9), NewParts: names(9), KnownParts: names(9)}
	return report
}

// TestExportedReportsDoNotChange checks that reports can be encoded while the quarantine goes
// on: entries send them without holding its lock.
func TestExportedReportsDoNotChange(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"begun":    func(f *fixture) { f.begin("o", "part") },
		"released": func(f *fixture) { f.Release(model, "part", f.now) },
		"merged": func(f *fixture) {
			other := Report{Upstream: "e-1", Incarnation: "1", Service: model, Candidates: map[string]Candidate{"part": {Since: []string{"o"}}}}
			if err := f.Merge(&other, f.now); err != nil {
				f.t.Error(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, "e")
			f.loseIn("g", 1, request("o", "part"))
			for _, reports := range [][]Report{f.Due(f.now), f.Reports(f.now)} {
				change(f)
				if c := reports[0].Candidates["part"]; c.isRefuted() {
					t.Errorf("the exported report has changed: %+v", c)
				}
				f = newFixture(t, "e")
				f.loseIn("g", 1, request("o", "part"))
			}
		})
	}
}

// TestMemoryIsBounded feeds far more losses, candidates and parts than are kept.
func TestMemoryIsBounded(t *testing.T) {
	f := newFixture(t, "e")
	for i := range maxRecords + 50 {
		var requests []unbegun
		for j := range maxCandidates + 10 {
			requests = append(requests, request(fmt.Sprint("o", j), fmt.Sprint("p", i, "-", j), "shared"))
		}
		f.loseIn("g", uint64(i), requests...)
		f.wait(time.Second)
	}
	if len(f.records) > maxRecords {
		t.Errorf("%d reports", len(f.records))
	}
	for _, r := range f.records {
		if len(r.Candidates) > maxCandidates {
			t.Errorf("%d candidates", len(r.Candidates))
		}
		for _, c := range r.Candidates {
			if len(c.Organisations) > maxNamed {
				t.Errorf("%d organisations", len(c.Organisations))
			}
		}
	}
	for i := range maxBegunParts + 100 {
		f.RecordBegun(model, "o", []string{fmt.Sprint("b", i)}, firstPart, f.now)
	}
	if len(f.begun.parts) > maxBegunParts || f.begun.order.Len() > maxBegunParts {
		t.Errorf("%d parts that have begun", len(f.begun.parts))
	}
	f.wait(recordLifetime + time.Second)
	f.Sweep(f.now)
	if len(f.records)+len(f.index)+len(f.due) > 0 {
		t.Errorf("%d reports, %d parts, %d due after their lifetime", len(f.records), len(f.index), len(f.due))
	}
}

// TestDisplacedCandidatesAreForgotten merges reports with more candidates than are kept: the
// index of parts must not keep those that were displaced.
func TestDisplacedCandidatesAreForgotten(t *testing.T) {
	f := newFixture(t, "e")
	for i := range 3 {
		report := Report{Upstream: "u", Incarnation: "1", Service: model, Candidates: make(map[string]Candidate)}
		for j := range maxCandidates {
			// Each report has lower names, which displace the higher ones.
			report.Candidates[fmt.Sprintf("p%d-%d", 9-i, j)] = Candidate{Organisations: []string{"o"}}
		}
		if err := f.Merge(&report, f.now); err != nil {
			t.Fatal(err)
		}
	}
	if len(f.index) > maxCandidates {
		t.Errorf("%d parts in the index", len(f.index))
	}
	if f.Release(model, "p9-0", f.now) {
		t.Error("a displaced part was released")
	}
	f.wait(recordLifetime + time.Second)
	f.Sweep(f.now)
	if len(f.index) > 0 {
		t.Errorf("%d parts in the index after their lifetime", len(f.index))
	}
}

// TestEvictionKeepsQuarantines checks that many later losses don't push out the reports of
// a quarantined part.
func TestEvictionKeepsQuarantines(t *testing.T) {
	f := newFixture(t, "e")
	for range 2 {
		f.lose(request("o", "dead"))
		f.wait(5 * time.Second)
	}
	for i := range 2 * maxRecords {
		f.begin("o", fmt.Sprint("sound", i))
		f.loseIn("g", uint64(i), request("o", fmt.Sprint("sound", i)))
		f.wait(time.Second)
	}
	f.expect(ActionRefuse, "o", "dead")
}

// TestOnlySupportingReportsAreStored checks which reports outlive a restart of all entries.
func TestOnlySupportingReportsAreStored(t *testing.T) {
	f := newFixture(t, "e")
	f.begin("o", "used")
	f.lose(request("o", "used"))
	f.wait(5 * time.Second)
	first := f.lose(request("o", "dead"))
	f.wait(5 * time.Second)
	second := f.lose(request("o", "dead"), request("o", "used"))
	var stored []string
	restarted := newFixture(t, "e")
	restarted.now = f.now
	for _, report := range f.Supporting(f.now) {
		stored = append(stored, report.Upstream)
		if f.IsSettled(&report, f.now) {
			t.Errorf("%s is settled", report.Upstream)
		}
		if err := restarted.Merge(&report, restarted.now); err != nil {
			t.Error(err)
		}
	}
	if !slices.Equal(stored, []string{first, second}) {
		t.Errorf("%s are stored, want %s and %s", stored, first, second)
	}
	restarted.expect(ActionRefuse, "o", "dead")
	reports := f.Supporting(f.now)
	f.begin("o", "dead", "used")
	if len(f.Supporting(f.now)) > 0 || !f.IsSettled(&reports[0], f.now) {
		t.Error("reports of a refuted part are still needed")
	}
}

// TestInvalidReportsAreRejected covers reports that name nothing.
func TestInvalidReportsAreRejected(t *testing.T) {
	f := newFixture(t, "e")
	for _, report := range []Report{{}, {Upstream: "u"}, {Service: model}, {Upstream: "u", Service: model, AgeMillis: -1}} {
		if f.Merge(&report, f.now) == nil {
			t.Errorf("%+v was accepted", report)
		}
	}
	old := Report{Upstream: "u", Service: model, AgeMillis: recordLifetime.Milliseconds() + 1}
	if err := f.Merge(&old, f.now); err != nil || len(f.records) > 0 {
		t.Errorf("an expired report was kept, error %v", err)
	}
}

func TestTrialsRunOneAtATime(t *testing.T) {
	trials := NewTrials()
	if ok, _ := trials.Begin(model, "a", t0); !ok {
		t.Fatal("the first trial was refused")
	}
	if ok, wait := trials.Begin(model, "b", t0.Add(time.Second)); ok || wait != trialTimeout-time.Second {
		t.Errorf("a second trial: %v, wait %v", ok, wait)
	}
	if ok, _ := trials.Begin("another", "c", t0); !ok {
		t.Error("a trial of another service was refused")
	}
	trials.End(model, "b")
	if ok, _ := trials.Begin(model, "b", t0.Add(time.Second)); ok {
		t.Error("a trial was ended by another one")
	}
	trials.End(model, "a")
	if ok, _ := trials.Begin(model, "b", t0.Add(time.Second)); !ok {
		t.Error("no trial after the end of the first")
	}
	if ok, _ := trials.Begin(model, "d", t0.Add(time.Second+trialTimeout)); !ok {
		t.Error("a trial without an end blocks the others")
	}
}
