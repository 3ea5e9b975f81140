// Command acaciaglade runs an entry, and has the operators' commands.
package main

import (
	"os"

	"github.com/acaciaglade/acaciaglade/pkg/cli"
	"github.com/acaciaglade/acaciaglade/platform"
)

func main() { os.Exit(cli.Main(os.Args[1:], platform.EntryCommand())) }
