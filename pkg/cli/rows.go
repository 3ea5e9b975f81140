package cli

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/operator"
	"github.com/acaciaglade/acaciaglade/pkg/table"
)

type tableSetCommand struct {
	connection
	Weight    *int    `long:"weight" description:"Relative share of the organisation."`
	Ceiling   *int    `long:"ceiling" description:"Maximum tokens per second over all entries. 0: no ceiling."`
	Priority  *string `long:"priority" choice:"true" choice:"false" description:"Whether requests of the organisation are served before those of others."`
	TokenHash *string `long:"token-hash" description:"Hash of the bearer token; see token hash."`
	Args      struct {
		Name string `positional-arg-name:"ORGANISATION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tableSetCommand) Execute([]string) error {
	patch := operator.RowPatch{TokenHash: c.TokenHash, Weight: c.Weight, Ceiling: c.Ceiling}
	if c.Priority != nil {
		priority := *c.Priority == strconv.FormatBool(true)
		patch.Priority = &priority
	}
	if patch == (operator.RowPatch{}) {
		return errors.New("nothing to change; give --weight, --ceiling, --priority or --token-hash")
	}
	accepted, err := c.client().PatchOrganisation(context.Background(), c.Args.Name, &patch)
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

type tableRemoveCommand struct {
	connection
	Args struct {
		Name string `positional-arg-name:"ORGANISATION"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *tableRemoveCommand) Execute([]string) error {
	accepted, err := c.client().DeleteOrganisation(context.Background(), c.Args.Name)
	if err != nil {
		return err
	}
	return c.printAccepted(accepted)
}

type tokenHashCommand struct{}

// Execute implements flags.Commander.
func (c *tokenHashCommand) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	token := strings.TrimSpace(line)
	if token == "" {
		return errors.Errorf("no token on the standard input (%v); pipe the token into the command", err)
	}
	fmt.Println(table.HashToken(token))
	return nil
}
