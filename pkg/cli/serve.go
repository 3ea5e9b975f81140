package cli

import (
	"context"
	"fmt"
	"hash/maphash"
	"os"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/crashguard"
	"github.com/acaciaglade/acaciaglade/pkg/entry"
	"github.com/acaciaglade/acaciaglade/pkg/filter/attempt"
	"github.com/acaciaglade/acaciaglade/pkg/filter/deadline"
	"github.com/acaciaglade/acaciaglade/pkg/fleet"
	"github.com/acaciaglade/acaciaglade/pkg/hosts"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/peer"
	"github.com/acaciaglade/acaciaglade/pkg/scheduler"
	"github.com/acaciaglade/acaciaglade/pkg/server"
	"github.com/acaciaglade/acaciaglade/pkg/settings"
	"github.com/acaciaglade/acaciaglade/pkg/tablestore"
)

type serveCommand struct {
	settings.Entry
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	if err := logging.Setup(os.Stderr, logging.Config{Format: c.Logs.Format, Level: c.Logs.Level}); err != nil {
		return err
	}
	ctx, stop := server.SignalContext()
	defer stop()
	registry := prometheus.NewRegistry()
	e := newEntry(&c.Entry, registry)
	handler := server.NewEcho()
	e.Register(handler)
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(backgroundCtx)
	return server.Run(ctx, &c.Common, server.NewGate(c.Resources, registry), handler, e.Drain)
}

func newEntry(s *settings.Entry, registry *prometheus.Registry) *entry.Entry {
	agents := peer.NewAgentClient(s.PeerToken)
	objectAPI := objects.NewClient(s.ObjectAPI, s.ObjectTimeout)
	store := tablestore.New(objectAPI, tablestore.Config{Entry: s.Name, WatchTimeout: tablestore.WatchTimeout})
	view := fleet.New(fleet.Config{
		Entry:                s.Name,
		QueuePerOrganisation: s.QueuePerOrganisation,
		SubsetSize:           s.SubsetSize,
		ReportInterval:       s.ReportInterval,
		HostsInterval:        s.HostsInterval,
		MaxReportAge:         s.MaxReportAge,
		MergeProvisional:     store.MergeProvisional,
		Seed:                 maphash.Comparable(maphash.MakeSeed(), s.Name),
		Scheduler: scheduler.Config{
			MaxWaiting:        s.MaxWaiting,
			AvoidAfterFailure: s.AvoidAfterFailure,
			NoUpstreamAfter:   s.NoUpstreamAfter,
			QueueHorizon:      s.QueueHorizon,
			MaxWaitingTotal:   s.MaxWaitingTotal,
		},
	}, hosts.NewClient(s.HostList, s.HostsInterval), agents)
	guard := crashguard.New(crashguard.Config{
		Entry: s.Name, Seed: maphash.Comparable(maphash.MakeSeed(), s.Name), FingerprintKey: s.PeerToken,
		Hosts: view.Hosts, Peers: peer.NewEntryClient(s.PeerToken), Store: objectAPI, Registry: registry,
	})
	return entry.New(entry.Config{
		Name:          s.Name,
		PeerToken:     s.PeerToken,
		OperatorToken: s.OperatorToken,
		MaxBodyBytes:  s.MaxBodyBytes,
		DrainDelay:    s.DrainDelay,
		Deadline:      deadline.Config{Default: s.DefaultDeadline, Max: s.MaxDeadline},
		CeilingBurst:  s.CeilingBurst,
		Attempt: attempt.Config{
			SilenceTimeout:     s.SilenceTimeout,
			StatusQueryTimeout: s.StatusQueryTimeout,
			RetryRatio:         s.RetryRatio,
			RetryBurst:         s.RetryBurst,
		},
	}, entry.Dependencies{
		Store:       store,
		RelayTables: true,
		Fleet:       view,
		Transport:   attempt.NewAgentTransport(agents),
		Agents:      agents,
		Guard:       guard,
		Registry:    registry,
	})
}

type checkCommand struct {
	settings.Entry
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	fmt.Println("the settings are good")
	return nil
}
