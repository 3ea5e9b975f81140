package fleet

import (
	"context"
	"time"

	"github.com/acaciaglade/acaciaglade/pkg/api"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
)

// Hosts returns the host list that was read last.
func (f *Fleet) Hosts() []hosts.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

// updateHosts reads the host list and starts and stops the pollers of agents to match it.
func (f *Fleet) updateHosts(ctx context.Context) {
	list, err := f.hostList.List(ctx)
	if err != nil {
		f.log.WithError(err).Warn("reading the host list failed")
		return
	}
	selected := f.selectHosts(list)
	f.mu.Lock()
	defer f.mu.Unlock()
	entries := 0
	current := make(map[string]bool, len(list))
	for _, h := range selected {
		if h.Role == hosts.RoleEntry {
			entries++
			continue
		}
		current[h.Name] = true
		f.addresses[h.Name] = h.Address
		f.startPoller(ctx, h.Name)
	}
	f.entryCount = max(1, entries)
	f.hosts = list
	for name, stop := range f.pollers {
		if !current[name] {
			stop()
			f.removeUpstream(name)
		}
	}
}

// removeUpstream removes the state of an upstream that has left the host list. The caller
// holds the lock.
func (f *Fleet) removeUpstream(name string) {
	delete(f.pollers, name)
	delete(f.addresses, name)
	delete(f.services, name)
	f.scheduler.RemoveUpstream(name)
}

func (f *Fleet) startPoller(ctx context.Context, name string) {
	if _, ok := f.pollers[name]; ok {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	f.pollers[name] = cancel
	go f.poll(ctx, name)
}

// poll requests an agent's reports and sends it newer marks until ctx ends.
func (f *Fleet) poll(ctx context.Context, name string) {
	ticker := time.NewTicker(f.cfg.ReportInterval)
	defer ticker.Stop()
	var latest api.Report
	for {
		latest = f.pollOnce(ctx, name, latest)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollOnce requests an agent's report and sends it the marks that were missing in its
// latest report. It returns the new report, or the latest one if the request failed.
func (f *Fleet) pollOnce(ctx context.Context, name string, latest api.Report) api.Report {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ReportInterval)
	defer cancel()
	f.mu.Lock()
	address, index := f.addresses[name], f.index
	req := &api.ReportRequest{Shares: f.scheduler.ShareRequest(f.cfg.Entry, name)}
	f.mu.Unlock()
	if index != nil && index.HasNewerMarks(latest.MarksVersion, latest.Provisional) {
		marks := index.Marks()
		req.Marks = &marks
	}
	report, err := f.agents.Report(ctx, address, req)
	if err != nil {
		f.log.WithError(err).WithField("upstream", name).Debug("requesting the agent's report failed")
		return latest
	}
	f.RecordReport(report)
	if len(report.Provisional) > 0 {
		f.cfg.MergeProvisional(report.Provisional)
	}
	return report
}
