package tablestore

import (
	"context"

	"github.com/pkg/errors"

	"github.com/acaciaglade/acaciaglade/pkg/table"
)

// ErrNotRead means that there is a table that this entry has not read yet.
var ErrNotRead = errors.New("the table is not read yet; try again in a second, or through another entry")

// Current returns the table in force, with the rows that the platform provides.
// Before this entry has one, it asks the
// platform's store whether there is none at all, which makes the empty table at
// version 0 the one to start from.
func (s *Store) Current(ctx context.Context) (*table.Table, error) {
	if ix := s.Index(); ix != nil {
		return s.shown(ix.Table()), nil
	}
	head, _, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if head.Version > 0 {
		return nil, ErrNotRead
	}
	return s.shown(&table.Table{}), nil
}
