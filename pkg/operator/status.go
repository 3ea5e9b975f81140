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
	"github.com/acaciaglade/acaciaglade/pkg/statement"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablesync"
)

// Limits of the requests to hosts for their status.
const (
	// hostTimeout is the time limit of the request to one host.
	hostTimeout = time.Second
	// maxConcurrentRequests is the number of hosts that are queried at once.
	maxConcurrentRequests = 64
)

// Entries requests the current table version and provisional marks of other entries.
type Entries interface {
	PollUpdate(ctx context.Context, address string, r *tablesync.UpdateRequest) (*tablesync.Update, error)
}

// Agents requests the reports of agents.
type Agents interface {
	Report(ctx context.Context, address string, r *api.ReportRequest) (api.Report, error)
}

// UpstreamStatus is an entry's view of one upstream.
type UpstreamStatus struct {
	Upstream      string `json:"upstream"`
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Limit         int    `json:"limit"`
	Running       int    `json:"running"`
	Ready         bool   `json:"ready"`
	// Draining is true once the upstream has started to drain.
	Draining bool `json:"leaving"`
	// OutOfService is true if the entry has a mark that takes the upstream or its failure
	// domain out of service.
	OutOfService bool   `json:"out"`
	MarksVersion uint64 `json:"marks_version"`
	// ReportAgeMillis is the age of the upstream's latest report in milliseconds.
	ReportAgeMillis int64 `json:"report_age_millis"`
}

// HostStatus describes which table version and marks one host applies.
type HostStatus struct {
	Host          string     `json:"host"`
	Role          hosts.Role `json:"role"`
	FailureDomain string     `json:"failure_domain"`
	// Reachable is false if the host did not respond to this request. The other fields
	// are then those of its latest response.
	Reachable bool `json:"reachable"`
	// HasReported is false if the host has never responded.
	HasReported bool `json:"known"`
	// Version is the current table version at the host.
	Version uint64 `json:"version"`
	// IsCurrent is true if the host responded to this request, and has the newest table
	// version and all marks that are not yet in the table.
	IsCurrent bool `json:"in_force"`
	// ReportAgeMillis is the age of the host's latest response in milliseconds.
	ReportAgeMillis int64 `json:"age_millis"`

	provisional []api.ProvisionalMark
}

// PlatformStatus is an entry's view of the platform's store.
type PlatformStatus struct {
	// Responds is true if the store responded to the latest call. If the table comes from a
	// Directory, it is true if its keys were confirmed within maxStoreResponseAge.
	Responds bool `json:"answers"`
	// HasResponded is true if the store has ever responded. ResponseAgeMillis is then
	// the age of its latest response, or of the latest confirmation of the keys, in
	// milliseconds.
	HasResponded      bool  `json:"answered"`
	ResponseAgeMillis int64 `json:"answer_age_millis"`
}

// Status is an entry's view of all hosts and upstreams.
type Status struct {
	Entry string `json:"entry"`
	// TableVersion is the current table version at this entry, NewestVersion the newest
	// one at any host.
	TableVersion  uint64         `json:"table_version"`
	NewestVersion uint64         `json:"newest_version"`
	Platform      PlatformStatus `json:"platform"`
	// Provisional lists the marks that apply but are not yet in the table.
	Provisional []api.ProvisionalMark `json:"provisional"`
	Hosts       []HostStatus          `json:"hosts"`
	Upstreams   []UpstreamStatus      `json:"upstreams"`
	// UpstreamStates lists the upstreams that get no or few requests of this entry because
	// they are leaving or want none, also those that are no longer listed.
	UpstreamStates []statement.State `json:"upstream_states"`
}

func (a *API) getStatus(c echo.Context) error {
	now := time.Now()
	current := a.store.Marks()
	s := Status{Entry: a.cfg.Entry, TableVersion: current.Version, Platform: a.platformStatus(), Upstreams: a.upstreamStatuses(now)}
	s.UpstreamStates = []statement.State{}
	if a.cfg.UpstreamStates != nil {
		s.UpstreamStates = append(s.UpstreamStates, a.cfg.UpstreamStates.UpstreamStates()...)
	}
	s.Hosts = a.queryHosts(c.Request().Context())
	s.NewestVersion, s.Provisional = evaluateHosts(current, s.Hosts)
	return c.JSON(http.StatusOK, s)
}

// maxStoreResponseAge is the age of the latest response beyond which the platform's store
// counts as unresponsive. Hosts send it requests more often than that.
const maxStoreResponseAge = 3 * time.Second

func (a *API) platformStatus() PlatformStatus {
	if a.cfg.Directory != nil {
		ix, age := a.cfg.Directory.Index()
		return PlatformStatus{Responds: ix != nil && age < maxStoreResponseAge, HasResponded: ix != nil, ResponseAgeMillis: age.Milliseconds()}
	}
	status := a.store.PlatformStatus()
	if status.RespondedAt.IsZero() {
		return PlatformStatus{}
	}
	return PlatformStatus{Responds: status.Err == nil, HasResponded: true, ResponseAgeMillis: time.Since(status.RespondedAt).Milliseconds()}
}

// index returns the current table, nil before the first one was read.
func (a *API) index() *table.Index {
	if a.cfg.Directory == nil {
		return a.store.Index()
	}
	ix, _ := a.cfg.Directory.Index()
	return ix
}

func (a *API) upstreamStatuses(now time.Time) []UpstreamStatus {
	list := []UpstreamStatus{}
	ix := a.index()
	if ix == nil {
		return list
	}
	for _, svc := range ix.Table().Services {
		for _, candidate := range a.fleet.Candidates(svc.Name) {
			list = append(list, newUpstreamStatus(&candidate, now))
		}
	}
	slices.SortFunc(list, func(x, y UpstreamStatus) int { return cmp.Compare(x.Upstream, y.Upstream) })
	return list
}

func newUpstreamStatus(c *selection.Candidate, now time.Time) UpstreamStatus {
	return UpstreamStatus{
		Upstream:        c.Report.Upstream,
		Service:         c.Report.Service,
		FailureDomain:   c.Report.FailureDomain,
		Limit:           c.Report.Limit,
		Running:         c.Report.Running,
		Ready:           c.Report.Ready,
		Draining:        c.Report.Draining,
		OutOfService:    c.OutOfService,
		MarksVersion:    c.Report.MarksVersion,
		ReportAgeMillis: now.Sub(c.ReceivedAt).Milliseconds(),
	}
}

// queryHosts queries every host in the host list for its table version and marks.
func (a *API) queryHosts(ctx context.Context) []HostStatus {
	list := slices.Clone(a.fleet.Hosts())
	slices.SortFunc(list, func(x, y hosts.Host) int { return cmp.Compare(x.Name, y.Name) })
	statuses := make([]HostStatus, len(list))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i, h := range list {
		group.Go(func() error {
			statuses[i] = a.queryHost(ctx, h)
			return nil
		})
	}
	_ = group.Wait()
	a.pruneReports(list)
	return statuses
}

// pruneReports removes the reports of hosts that are not in the host list, so that memory
// stays bounded while hosts are replaced.
func (a *API) pruneReports(list []hosts.Host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.reports, func(name string, _ hostReport) bool {
		return !slices.ContainsFunc(list, func(h hosts.Host) bool { return h.Name == name })
	})
}

// queryHost queries one host. If the host does not respond, it returns the status from its
// latest report.
func (a *API) queryHost(ctx context.Context, h hosts.Host) HostStatus {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	version, provisional, err := a.fetchMarks(ctx, h)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil {
		a.reports[h.Name] = hostReport{at: time.Now(), version: version, provisional: provisional}
	}
	report, ok := a.reports[h.Name]
	s := HostStatus{
		Host: h.Name, Role: h.Role, FailureDomain: h.FailureDomain,
		Reachable: err == nil, HasReported: ok, Version: report.version, provisional: report.provisional,
	}
	if ok {
		s.ReportAgeMillis = time.Since(report.at).Milliseconds()
	}
	return s
}

// hostReport is the table version and the provisional marks that a host reported, and
// when.
type hostReport struct {
	at          time.Time
	version     uint64
	provisional []api.ProvisionalMark
}

// fetchMarks returns the current table version and the provisional marks of a host.
func (a *API) fetchMarks(ctx context.Context, h hosts.Host) (uint64, []api.ProvisionalMark, error) {
	if h.Name == a.cfg.Entry {
		current := a.store.Marks()
		return current.Version, current.Provisional, nil
	}
	if h.Role == hosts.RoleEntry {
		// No table is newer than the highest version, so the response contains none.
		update, err := a.entries.PollUpdate(ctx, h.Address, &tablesync.UpdateRequest{Entry: a.cfg.Entry, Version: math.MaxUint64})
		if err != nil {
			return 0, nil, err
		}
		return update.Version, update.Provisional, nil
	}
	report, err := a.agents.Report(ctx, h.Address, &api.ReportRequest{})
	return report.MarksVersion, report.Provisional, err
}

// evaluateHosts returns the newest table version and the provisional marks over all hosts,
// and sets IsCurrent of each host.
func evaluateHosts(current api.Marks, list []HostStatus) (uint64, []api.ProvisionalMark) {
	newest := marks.NewSet(current)
	for _, h := range list {
		newest.Merge(api.Marks{Provisional: h.provisional})
	}
	version := current.Version
	for _, h := range list {
		version = max(version, h.Version)
	}
	for i := range list {
		h := &list[i]
		h.IsCurrent = h.Reachable && h.Version >= version && !newest.HasNewer(version, h.provisional)
	}
	return version, append([]api.ProvisionalMark{}, newest.Marks().Provisional...)
}
