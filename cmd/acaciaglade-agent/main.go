// Command acaciaglade-agent is the process beside one upstream.
package main

import (
	"os"

	"github.com/acaciaglade/acaciaglade/pkg/cli"
	"github.com/acaciaglade/acaciaglade/pkg/logging"
	"github.com/acaciaglade/acaciaglade/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "platform-agent" {
		_ = logging.Setup(logging.NewBounded(os.Stdout), logging.Config{Format: "json", Level: "info"})
		s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
		if err == nil {
			err = platform.RunAgent(s)
		}
		if err != nil {
			println(err.Error())
			os.Exit(1)
		}
		return
	}
	os.Exit(cli.AgentMain(os.Args[1:]))
}
