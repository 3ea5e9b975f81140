package cli

import "github.com/jessevdk/go-flags"

// Command is a command that a program adds to those of the product.
type Command struct {
	Name string
	// Short is the command's line in the list of commands, Long its description.
	Short, Long string
	// Data holds the command's flags and runs it.
	Data flags.Commander
}

// add adds commands to a parser.
func add(parser *flags.Parser, commands []Command) {
	for _, c := range commands {
		must(parser.AddCommand(c.Name, c.Short, c.Long, c.Data))
	}
}
