package table

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// CellError describes one invalid cell of a table.
type CellError struct {
	// Sheet is "organisations", "services", "failure_domains" or "upstreams".
	Sheet string `json:"sheet"`
	// Row is the number of the row, starting at 1. It is 0 for the header of a CSV
	// file and for a row that is not in the table.
	Row int `json:"row"`
	// Column is the JSON name of the cell's column. It is "header" or "row" when a
	// whole line of a CSV file is invalid.
	Column string `json:"column"`
	// Value is the invalid value.
	Value string `json:"value"`
	// Remedy describes the values that are valid.
	Remedy string `json:"remedy"`
}

// Error returns a description of the error in one line.
func (e CellError) Error() string {
	return fmt.Sprintf("%s row %d, column %s: %q: %s", e.Sheet, e.Row, e.Column, e.Value, e.Remedy)
}

// CellErrors lists all invalid cells of a table.
type CellErrors []CellError

// Error returns the descriptions of the errors, one per line.
func (es CellErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// ColumnTokenHash is the name of the column with the hashes of bearer tokens.
const ColumnTokenHash = "token_hash"

var validate = newValidate()

func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// cellPath matches the validator's path of a cell: sheet, index and column.
var cellPath = regexp.MustCompile(`^Table\.([a-z_]+)\[(\d+)\]\.([a-z_]+)`)

// Check returns a CellError for every invalid cell of the table, or nil.
func Check(t *Table) CellErrors {
	var cellErrors CellErrors
	var fieldErrors validator.ValidationErrors
	if err := validate.Struct(t); err != nil {
		fieldErrors, _ = err.(validator.ValidationErrors)
	}
	for _, fe := range fieldErrors {
		cellErrors = append(cellErrors, newCellError(fe))
	}
	return append(cellErrors, findDuplicates(t)...)
}

func newCellError(fe validator.FieldError) CellError {
	e := CellError{Column: fe.Field(), Value: fmt.Sprint(fe.Value()), Remedy: remedyFor(fe)}
	if m := cellPath.FindStringSubmatch(fe.Namespace()); m != nil {
		row, _ := strconv.Atoi(m[2])
		e.Sheet, e.Row, e.Column = m[1], row+1, m[3]
	}
	return e
}

func remedyFor(fe validator.FieldError) string {
	switch fe.Tag() {
	case "required":
		return "give a value"
	case "min":
		return "give a number of at least " + fe.Param()
	case "max":
		if fe.Kind() == reflect.String {
			return "give at most " + fe.Param() + " characters"
		}
		return "give a number of at most " + fe.Param()
	case "len", "hexadecimal":
		return "give the SHA-256 of the token as 64 hexadecimal digits"
	case "oneof":
		return "give one of: " + fe.Param()
	case "startswith":
		return "begin the path with " + fe.Param()
	default:
		return "use letters, digits, dots and hyphens, beginning and ending with a letter or digit"
	}
}

// findDuplicates returns a CellError for every cell that repeats a value of a column whose
// values must be unique.
func findDuplicates(t *Table) CellErrors {
	var cellErrors CellErrors
	organisations, tokens := firstRows{}, firstRows{}
	for i, o := range t.Organisations {
		cellErrors = organisations.checkUnique(cellErrors, "organisations", i, "name", o.Name)
		cellErrors = tokens.checkUnique(cellErrors, "organisations", i, ColumnTokenHash, o.TokenHash)
	}
	services := firstRows{}
	for i, s := range t.Services {
		cellErrors = services.checkUnique(cellErrors, "services", i, "name", s.Name)
	}
	domains := firstRows{}
	for i, d := range t.FailureDomains {
		cellErrors = domains.checkUnique(cellErrors, "failure_domains", i, "name", d.Name)
	}
	upstreams := firstRows{}
	for i, u := range t.Upstreams {
		cellErrors = upstreams.checkUnique(cellErrors, "upstreams", i, "name", u.Name)
	}
	return cellErrors
}

// firstRows maps each value of a column to the number of the first row that has it.
type firstRows map[string]int

// checkUnique appends a CellError if an earlier row has the value. Empty values are not
// compared.
func (r firstRows) checkUnique(cellErrors CellErrors, sheet string, i int, column, value string) CellErrors {
	if value == "" {
		return cellErrors
	}
	first, ok := r[value]
	if !ok {
		r[value] = i + 1
		return cellErrors
	}
	return append(cellErrors, CellError{
		Sheet: sheet, Row: i + 1, Column: column, Value: value,
		Remedy: fmt.Sprintf("row %d has the same value; give another one", first),
	})
}

// CheckName returns a CellError if a name is not valid for a new row of a sheet, or nil.
func CheckName(sheet, name string) CellErrors {
	err := validate.Var(name, "required,max=63,hostname_rfc1123")
	if err == nil {
		return nil
	}
	return CellErrors{{Sheet: sheet, Row: 0, Column: "name", Value: name, Remedy: "use at most 63 letters, digits, dots and hyphens, beginning and ending with a letter or digit"}}
}
