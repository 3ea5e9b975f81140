// Package cli defines the commands of the acaciaglade program.
package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Main runs the command that args name, of the product or an extra one, and
// returns the process's exit status.
func Main(args []string, extra ...Command) int {
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "acaciaglade"
	parser.ShortDescription = "load balancer for expert-parallel model groups"
	addCommands(parser, extra)
	_, err := parser.ParseArgs(args)
	return report(parser.Name, err)
}

// report prints a command's error and returns the process's exit status.
func report(program string, err error) int {
	if err == nil {
		return exitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return exitOK
	}
	fmt.Fprintln(os.Stderr, program+": "+err.Error())
	return exitFailure
}

// Exit statuses.
const (
	exitOK      = 0
	exitFailure = 1
)

func addCommands(parser *flags.Parser, extra []Command) {
	must(parser.AddCommand("serve", "Serve callers and operators", "Runs the entry process until it is told to stop.", &serveCommand{}))
	config := must(parser.AddCommand("config", "Work with settings", "Checks settings.", &struct{}{}))
	must(config.AddCommand("reference", "Print the settings", "Prints the settings of both programs as a Markdown page.", &referenceCommand{extra: extra}))
	must(config.AddCommand("refusals", "Print the refusals", "Prints every reason of a refusal as a Markdown page.", &refusalsCommand{}))
	must(config.AddCommand("check", "Check the settings of serve", "Reports every bad setting at once.", &checkCommand{}))
	table := must(parser.AddCommand("table", "Read and replace the table", "Reads and replaces the table through any entry.", &struct{}{}))
	must(table.AddCommand("show", "Show the table", "Prints the table, or its organisations as CSV.", &tableShowCommand{}))
	must(table.AddCommand("apply", "Replace the table", "Replaces the organisations from a CSV file, or the whole table from a JSON file.", &tableApplyCommand{}))
	must(table.AddCommand("set", "Change one organisation", "Changes the named columns of one organisation, or adds it.", &tableSetCommand{}))
	must(table.AddCommand("remove", "Remove one organisation", "Removes the row of one organisation.", &tableRemoveCommand{}))
	token := must(parser.AddCommand("token", "Work with bearer tokens", "Makes the hashes that the table holds.", &struct{}{}))
	must(token.AddCommand("hash", "Print the hash of a token", "Reads a token from the standard input and prints the hash for the table's token_hash column.", &tokenHashCommand{}))
	must(parser.AddCommand("domain", "Take a failure domain out or in", "Marks a failure domain out of service or in.", &domainCommand{}))
	must(parser.AddCommand("upstream", "Take an upstream out or in", "Marks an upstream out of service or in.", &upstreamCommand{}))
	must(parser.AddCommand("status", "Show the fleet", "Shows what an entry knows of the fleet, and what organisations asked for and got.", &statusCommand{}))
	must(parser.AddCommand("explain", "Explain a request", "Shows what was decided about a request, where and why.", &explainCommand{}))
	add(parser, extra)
}

// must panics on a command that is defined wrongly.
func must(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}
