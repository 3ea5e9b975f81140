package cli

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaglade/acaciaglade/pkg/agent"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/pkg/objects"
	"github.com/acaciaglade/acaciaglade/pkg/server"
	"github.com/acaciaglade/acaciaglade/pkg/settings"
	"github.com/acaciaglade/acaciaglade/pkg/warmup"
)

// AgentMain runs the agent, or an extra command if args name one, and returns the exit
// status of the process.
func AgentMain(args []string, extra ...Command) int {
	var s settings.Agent
	parser := flags.NewParser(&s, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "acaciaglade-agent"
	parser.SubcommandsOptional = true
	addExtraCommands(parser, extra)
	_, err := parser.ParseArgs(args)
	if err == nil && parser.Active == nil {
		err = runAgent(&s)
	}
	return reportError(parser.Name, err)
}

func runAgent(s *settings.Agent) error {
	if err := s.Check(); err != nil {
		return err
	}
	if err := logging.Setup(os.Stderr, logging.Config{Format: s.Logs.Format, Level: s.Logs.Level}); err != nil {
		return err
	}
	ctx, stop := server.SignalContext()
	defer stop()
	registry := prometheus.NewRegistry()
	a := agent.New(agentConfig(s), objects.NewClient(s.ObjectAPI, s.ObjectTimeout), registry)
	handler := server.NewEcho()
	a.Register(handler)
	server.RegisterMetrics(handler, registry)
	backgroundCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go a.Run(backgroundCtx)
	return server.Run(ctx, &s.Common, server.NewGate(s.Resources, registry), handler, a.Drain)
}

func agentConfig(s *settings.Agent) agent.Config {
	return agent.Config{
		Upstream:          s.Name,
		FailureDomain:     s.FailureDomain,
		Service:           s.Service,
		ModelEngine:       s.ModelEngine,
		UpstreamURL:       s.UpstreamURL,
		PeerToken:         s.PeerToken,
		ClockError:        s.ClockError,
		DrainDelay:        s.DrainDelay,
		HeartbeatInterval: s.HeartbeatInterval,
		OrphanTimeout:     s.OrphanTimeout,
		SampleInterval:    s.SampleInterval,
		Group:             groupConfig(s),
		MaxQueued:         s.QueueLimit,
		Reserved:          s.ReservedCapacity,
		Warmup: warmup.Config{
			Min:             s.MinConcurrency,
			Max:             s.MaxConcurrency,
			HealthyStep:     s.HealthyStep,
			MinGrowInterval: s.GrowEvery,
		},
	}
}
