// Command acaciaglade-agent runs the agent of one upstream.
package main

import (
	"os"

	"github.com/acaciaglade/acaciaglade/pkg/cli"
	"github.com/acaciaglade/acaciaglade/platform"
)

func main() { os.Exit(cli.AgentMain(os.Args[1:], platform.AgentCommand())) }
