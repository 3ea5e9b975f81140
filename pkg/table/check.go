package table

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Fault is one bad cell of a table.
type Fault struct {
	// Sheet is "organisations", "services", "failure_domains" or "upstreams".
	Sheet string `json:"sheet"`
	// Row counts from 1.
	Row int `json:"row"`
	// Column is the JSON name of the cell's column.
	Column string `json:"column"`
	// Value is the refused value.
	Value string `json:"value"`
	// Remedy says what the cell may hold.
	Remedy string `json:"remedy"`
}

// Error describes the fault in one line.
func (f Fault) Error() string {
	return fmt.Sprintf("%s row %d, column %s: %q: %s", f.Sheet, f.Row, f.Column, f.Value, f.Remedy)
}

// Faults is all bad cells of a table.
type Faults []Fault

// Error lists the faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// ColumnTokenHash is the column of the hashes of tokens.
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

var cellPath = regexp.MustCompile(`^Table\.([a-z_]+)\[(\d+)\]\.([a-z_]+)`)

// Check returns every bad cell of the table, or nil.
func Check(t *Table) Faults {
	var faults Faults
	var fieldErrors validator.ValidationErrors
	if err := validate.Struct(t); err != nil {
		fieldErrors, _ = err.(validator.ValidationErrors)
	}
	for _, fe := range fieldErrors {
		faults = append(faults, faultOf(fe))
	}
	return append(faults, duplicates(t)...)
}

func faultOf(fe validator.FieldError) Fault {
	f := Fault{Column: fe.Field(), Value: fmt.Sprint(fe.Value()), Remedy: remedy(fe)}
	if m := cellPath.FindStringSubmatch(fe.Namespace()); m != nil {
		row, _ := strconv.Atoi(m[2])
		f.Sheet, f.Row, f.Column = m[1], row+1, m[3]
	}
	return f
}

func remedy(fe validator.FieldError) string {
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

func duplicates(t *Table) Faults {
	var faults Faults
	organisations, tokens := seen{}, seen{}
	for i, o := range t.Organisations {
		faults = organisations.check(faults, "organisations", i, "name", o.Name)
		faults = tokens.check(faults, "organisations", i, ColumnTokenHash, o.TokenHash)
	}
	services := seen{}
	for i, s := range t.Services {
		faults = services.check(faults, "services", i, "name", s.Name)
	}
	domains := seen{}
	for i, d := range t.FailureDomains {
		faults = domains.check(faults, "failure_domains", i, "name", d.Name)
	}
	upstreams := seen{}
	for i, u := range t.Upstreams {
		faults = upstreams.check(faults, "upstreams", i, "name", u.Name)
	}
	return faults
}

// seen maps the values of a column to the row they were first seen in.
type seen map[string]int

func (s seen) check(faults Faults, sheet string, i int, column, value string) Faults {
	if value == "" {
		return faults
	}
	first, ok := s[value]
	if !ok {
		s[value] = i + 1
		return faults
	}
	return append(faults, Fault{
		Sheet: sheet, Row: i + 1, Column: column, Value: value,
		Remedy: fmt.Sprintf("row %d has the same value; give another one", first),
	})
}

// CheckName returns the fault of a name that a new row of a sheet would have,
// or nil.
func CheckName(sheet, name string) Faults {
	err := validate.Var(name, "required,max=63,hostname_rfc1123")
	if err == nil {
		return nil
	}
	return Faults{{Sheet: sheet, Row: 0, Column: "name", Value: name, Remedy: "use at most 63 letters, digits, dots and hyphens, beginning and ending with a letter or digit"}}
}
