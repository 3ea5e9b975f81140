// Package cli implements the commands of the programs acaciaglade and acaciaglade-agent.
package cli

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Main runs the command that args name, which may be an extra one, and returns the exit
// status of the process.
func Main(args []string, extra ...Command) int {
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "acaciaglade"
	parser.ShortDescription = "load balancer for expert-parallel model groups"
	addCommands(parser, extra)
	_, err := parser.ParseArgs(args)
	return reportError(parser.Name, err)
}

// reportError prints the error of a command, if any, and returns the exit status of the
// process.
func reportError(program string, err error) int {
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
	must(parser.AddCommand("serve", "Serve callers and operators", "Runs the entry process until it receives a stop signal.", &serveCommand{}))
	config := must(parser.AddCommand("config", "Work with settings", "Checks settings.", &struct{}{}))
	must(config.AddCommand("reference", "Print the settings", "Prints the settings of both programs as a Markdown page.", &referenceCommand{extra: extra}))
	must(config.AddCommand("refusals", "Print the refusals", "Prints every reason of a refusal as a Markdown page.", &refusalsCommand{}))
	must(config.AddCommand("check", "Check the settings of serve", "Reports all invalid settings at once.", &checkCommand{}))
	table := must(parser.AddCommand("table", "Read and replace the table", "Reads and replaces the table through any entry.", &struct{}{}))
	must(table.AddCommand("show", "Show the table", "Prints the table, or its organisations as CSV.", &tableShowCommand{}))
	must(table.AddCommand("apply", "Replace the table", "Replaces the organisations from a CSV file, or the whole table from a JSON file.", &tableApplyCommand{}))
	must(table.AddCommand("set", "Change one organisation", "Changes the named columns of one organisation, or adds it.", &tableSetCommand{}))
	must(table.AddCommand("remove", "Remove one organisation", "Removes the row of one organisation.", &tableRemoveCommand{}))
	token := must(parser.AddCommand("token", "Work with bearer tokens", "Computes the token hashes that are stored in the table.", &struct{}{}))
	must(token.AddCommand("hash", "Print the hash of a token", "Reads a token from the standard input and prints the hash for the table's token_hash column.", &tokenHashCommand{}))
	must(parser.AddCommand("domain", "Mark a failure domain out or in", "Takes a failure domain out of service, or returns it to service.", &domainCommand{}))
	must(parser.AddCommand("upstream", "Mark an upstream out or in", "Takes an upstream out of service, or returns it to service.", &upstreamCommand{}))
	must(parser.AddCommand("status", "Show the status of all hosts", "Shows the hosts and upstreams as one entry sees them, and the accounts of the organisations.", &statusCommand{}))
	must(parser.AddCommand("explain", "Explain a request", "Shows the decisions about a request, with the host and the reason of each.", &explainCommand{}))
	limit := must(parser.AddCommand("limit", "Work with limits of upstreams", "Shows the limits that upstreams name.", &struct{}{}))
	must(limit.AddCommand("list", "List the limits", "Lists the upstreams that name a limit of requests per second, and the part of it that an entry may send.", &limitListCommand{}))
	store := must(parser.AddCommand("store", "Look at the platform's store", "Shows the history of the platform's store.", &struct{}{}))
	must(store.AddCommand("show", "Show the history", "Shows the era of the platform's store, which rises when it comes back from a copy, and up to which revision an entry knows each kind of object.", &storeShowCommand{}))
	quarantine := must(parser.AddCommand("quarantine", "Work with quarantined parts of prompts", "Shows and releases parts of prompts and whole requests that are kept from upstreams.", &struct{}{}))
	must(quarantine.AddCommand("list", "List the parts", "Lists the parts of prompts and the whole requests that are suspected or quarantined, and why.", &quarantineListCommand{}))
	must(quarantine.AddCommand("release", "Release a part", "Ends the quarantine of a part or request at all entries, for example after the model was repaired.", &quarantineReleaseCommand{}))
	addExtraCommands(parser, extra)
}

// must panics if a command can't be added to the parser.
func must(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}
