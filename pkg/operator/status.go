package operator

import (
	"cmp"
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/sync/errgroup"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/marks"
	"github.com/acaciaglade/acaciaglade/pkg/selection"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Bounds of the asking of hosts for a status.
const (
	// askTimeout is how long a host may take to answer.
	askTimeout = time.Second
	// maxAsks is how many hosts are asked at once.
	maxAsks = 64
)

// Entries asks other entries what they have in force.
type Entries interface {
	PollUpdate(ctx context.Context, address string, ask *tablesync.UpdateRequest) (*tablesync.Update, error)
}

// Agents asks agents for their reports.
type Agents interface {
	Report(ctx context.Context, address string, r *api.ReportRequest) (api.Report, error)
}

// UpstreamStatus is what an entry knows of one upstream.
type UpstreamStatus struct {
	Upstream      string `json:"upstream"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Limit         int    `json:"limit"`
	Running       int    `json:"running"`
	Ready         bool   `json:"ready"`
	Leaving       bool   `json:"leaving"`
	Out           bool   `json:"out"`
	MarksVersion  uint64 `json:"marks_version"`
	// ReportAgeMillis is the age of the newest report in milliseconds.
	ReportAgeMillis int64 `json:"report_age_millis"`
}

// HostStatus is what one host has in force.
type HostStatus struct {
	Host          string     `json:"host"`
	Role          hosts.Role `json:"role"`
	FailureDomain string     `json:"failure_domain"`
	// Reachable is false when the host did not answer this entry now. The other
	// fields are then the latest that is known.
	Reachable bool `json:"reachable"`
	// Known is false when nothing was ever heard from the host.
	Known bool `json:"known"`
	// Version is the version of the table that the host has in force.
	Version uint64 `json:"version"`
	// InForce is true when the host answered that it has the newest version and all
	// marks that are not yet in the table.
	InForce bool `json:"in_force"`
	// AgeMillis is the age of this knowledge in milliseconds.
	AgeMillis int64 `json:"age_millis"`

	provisional []api.ProvisionalMark
}

// PlatformStatus is what an entry knows of the platform's store.
type PlatformStatus struct {
	// Answers is true when it answered the latest call.
	Answers bool `json:"answers"`
	// Answered is true when it ever answered, and AnswerAgeMillis is then the age
	// of its latest answer in milliseconds.
	Answered        bool  `json:"answered"`
	AnswerAgeMillis int64 `json:"answer_age_millis"`
}

// Status is what an entry knows of the fleet.
type Status struct {
	Entry string `json:"entry"`
	// TableVersion is the version in force at this entry, NewestVersion the
	// newest one that any host has in force.
	TableVersion  uint64         `json:"table_version"`
	NewestVersion uint64         `json:"newest_version"`
	Platform      PlatformStatus `json:"platform"`
	// Provisional lists the marks in force that are not yet in the table.
	Provisional []api.ProvisionalMark `json:"provisional"`
	Hosts       []HostStatus          `json:"hosts"`
	Upstreams   []UpstreamStatus      `json:"upstreams"`
}

func (a *API) status(c echo.Context) error {
	now := time.Now()
	held := a.store.Marks()
	s := Status{Entry: a.cfg.Entry, TableVersion: held.Version, Platform: a.platform(), Upstreams: a.upstreams(now)}
	s.Hosts = a.askHosts(c.Request().Context())
	s.NewestVersion, s.Provisional = judgeHosts(held, s.Hosts)
	return c.JSON(http.StatusOK, s)
}

// proofAge is the age of an answer beyond which the platform's store counts as
// silent: a host asks it more often.
const proofAge = 3 * time.Second

func (a *API) platform() PlatformStatus {
	if a.cfg.Directory != nil {
		ix, proved := a.cfg.Directory.Index()
		return PlatformStatus{Answers: ix != nil && proved < proofAge, Answered: ix != nil, AnswerAgeMillis: proved.Milliseconds()}
	}
	view := a.store.PlatformStatus()
	if view.AnsweredAt.IsZero() {
		return PlatformStatus{}
	}
	return PlatformStatus{Answers: view.Err == nil, Answered: true, AnswerAgeMillis: time.Since(view.AnsweredAt).Milliseconds()}
}

// index returns the table in force, nil before one is known.
func (a *API) index() *table.Index {
	if a.cfg.Directory == nil {
		return a.store.Index()
	}
	ix, _ := a.cfg.Directory.Index()
	return ix
}

func (a *API) upstreams(now time.Time) []UpstreamStatus {
	list := []UpstreamStatus{}
	ix := a.index()
	if ix == nil {
		return list
	}
	for _, svc := range ix.Table().Services {
		for _, candidate := range a.fleet.Candidates(svc.Name) {
			list = append(list, upstreamStatus(&candidate, now))
		}
	}
	slices.SortFunc(list, func(x, y UpstreamStatus) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return list
}

func upstreamStatus(c *selection.Candidate, now time.Time) UpstreamStatus {
	return UpstreamStatus{
		Upstream:        c.Report.Upstream,
		Service:         c.Report.Service,
		FailureDomain:   c.Report.FailureDomain,
		Limit:           c.Report.Limit,
		Running:         c.Report.Running,
		Ready:           c.Report.Ready,
		Leaving:         c.Report.Draining,
		Out:             c.OutOfService,
		MarksVersion:    c.Report.MarksVersion,
		ReportAgeMillis: now.Sub(c.ReceivedAt).Milliseconds(),
	}
}

// askHosts asks every host of the host list what it has in force.
func (a *API) askHosts(ctx context.Context) []HostStatus {
	list := slices.Clone(a.fleet.Hosts())
	slices.SortFunc(list, func(x, y hosts.Host) int { return cmp.Compare(x.Name, y.Name) })
	statuses := make([]HostStatus, len(list))
	var group errgroup.Group
	group.SetLimit(maxAsks)
	for i, h := range list {
		group.Go(func() error {
			statuses[i] = a.askHost(ctx, h)
			return nil
		})
	}
	_ = group.Wait()
	a.forget(list)
	return statuses
}

// forget drops what is known of hosts that are not in the host list, so that
// the knowledge stays bounded while hosts are replaced.
func (a *API) forget(list []hosts.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.known, func(name string, _ knowledge) bool {
		return !slices.ContainsFunc(list, func(h hosts.Host) bool { return h.Name == name })
	})
}

// askHost asks one host. Of a host that does not answer, it returns what is
// known from earlier.
func (a *API) askHost(ctx context.Context, h hosts.Host) HostStatus {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	version, provisional, err := a.ask(ctx, h)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.known[h.Name] = knowledge{at: time.Now(), version: version, provisional: provisional}
	}
	k, known := a.known[h.Name]
	s := HostStatus{
		Host: h.Name, Role: h.Role, FailureDomain: h.FailureDomain,
		Reachable: err == nil, Known: known, Version: k.version, provisional: k.provisional,
	}
	if known {
		s.AgeMillis = time.Since(k.at).Milliseconds()
	}
	return s
}

// knowledge is what a host said that it has in force, and when.
type knowledge struct {
	at          time.Time
	version     uint64
	provisional []api.ProvisionalMark
}

func (a *API) ask(ctx context.Context, h hosts.Host) (uint64, []api.ProvisionalMark, error) {
	if h.Name == a.cfg.Entry {
		held := a.store.Marks()
		return held.Version, held.Provisional, nil
	}
	if h.Role == hosts.RoleEntry {
		news, err := a.entries.PollUpdate(ctx, h.Address, &tablesync.UpdateRequest{Entry: a.cfg.Entry, Version: math.MaxUint64})
		if err != nil {
			return 0, nil, err
		}
		return news.Version, news.Provisional, nil
	}
	report, err := a.agents.Report(ctx, h.Address, &api.ReportRequest{})
	return report.MarksVersion, report.Provisional, err
}

// judgeHosts returns the newest version and all marks that any host has in
// force, and says of each host whether it has them.
func judgeHosts(held api.Marks, list []HostStatus) (uint64, []api.ProvisionalMark) {
	newest := marks.NewSet(held)
	for _, h := range list {
		newest.Merge(api.Marks{Provisional: h.provisional})
	}
	version := held.Version
	for _, h := range list {
		version = max(version, h.Version)
	}
	for i := range list {
		h := &list[i]
		h.InForce = h.Reachable && h.Version >= version && !newest.HasNewer(version, h.provisional)
	}
	return version, append([]api.ProvisionalMark{}, newest.Marks().Provisional...)
}
