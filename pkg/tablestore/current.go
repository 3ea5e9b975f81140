package tablestore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// ErrTableNotRead means that a table exists that this entry has not read yet.
var ErrTableNotRead = errors.New("the table is not read yet; try again in a second, or through another entry")

// CurrentTable returns the current table, with the rows that the platform provides. If this
// entry has none yet, it reads the platform's store: if no table is stored, the empty table
// at version 0 is the one to start from, otherwise the error is ErrTableNotRead.
func (s *Store) CurrentTable(ctx context.Context) (*table.Table, error) {
	if ix := s.Index(); ix != nil {
		return s.withPlatformTable(ix.Table()), nil
	}
	head, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if head.Version > 0 {
		return nil, ErrTableNotRead
	}
	return s.withPlatformTable(&table.Table{}), nil
}
