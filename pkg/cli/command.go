package cli

import "github.com/jessevdk/go-flags"

// Command is an extra command that a program adds to those of this package.
type Command struct {
	Name string
	// Short is the summary in the list of commands, Long the full description.
	Short, Long string
	// Data holds the command's flags and implements it.
	Data flags.Commander
}

// addExtraCommands adds commands to a parser.
func addExtraCommands(parser *flags.Parser, commands []Command) {
	for _, c := range commands {
		must(parser.AddCommand(c.Name, c.Short, c.Long, c.Data))
	}
}
