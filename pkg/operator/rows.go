package operator

import (
	"encoding/json"
	"slices"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/problem"
	"github.com/acaciaglade/acaciaglade/pkg/table"
	"github.com/acaciaglade/acaciaglade/pkg/tablestore"
)

// RowPatch changes some columns of an organisation's row. Columns that are nil stay as
// they are.
type RowPatch struct {
	TokenHash *string `json:"token_hash,omitempty"`
	Weight    *int    `json:"weight,omitempty"`
	Ceiling   *int    `json:"ceiling,omitempty"`
	Priority  *bool   `json:"priority,omitempty"`
}

// apply changes the columns that are set in the patch.
func (p *RowPatch) apply(o *table.Organisation) {
	if p.TokenHash != nil {
		o.TokenHash = *p.TokenHash
	}
	if p.Weight != nil {
		o.Weight = *p.Weight
	}
	if p.Ceiling != nil {
		o.Ceiling = *p.Ceiling
	}
	if p.Priority != nil {
		o.Priority = *p.Priority
	}
}

func organisationIndex(t *table.Table, name string) int {
	return slices.IndexFunc(t.Organisations, func(o table.Organisation) bool { return o.Name == name })
}

// patchOrganisation changes one row, or adds it. Concurrent changes of other rows are
// preserved.
func (a *API) patchOrganisation(c echo.Context) error {
	var p RowPatch
	if err := json.NewDecoder(c.Request().Body).Decode(&p); err != nil {
		return WriteProblem(c, problem.New(problem.ReasonBadRequest, err.Error()))
	}
	return a.change(c, func(d *tablestore.Draft) error {
		i := organisationIndex(d.Table, c.Param("name"))
		if i < 0 {
			i = len(d.Organisations)
			d.Organisations = append(d.Organisations, table.Organisation{Name: c.Param("name"), Weight: 1})
		}
		p.apply(&d.Organisations[i])
		return d.Check()
	})
}

func (a *API) deleteOrganisation(c echo.Context) error {
	return a.change(c, func(d *tablestore.Draft) error {
		i := organisationIndex(d.Table, c.Param("name"))
		if i < 0 {
			return problem.New(problem.ReasonUnknownRow, "no organisation "+c.Param("name"))
		}
		d.Organisations = slices.Delete(d.Organisations, i, i+1)
		return nil
	})
}
