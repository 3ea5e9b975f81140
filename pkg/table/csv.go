package table

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// csvHeader lists the columns of organisations in CSV.
var csvHeader = []string{"name", ColumnTokenHash, "weight", "ceiling", "priority"}

// WriteCSV writes organisations as CSV with a header line.
func WriteCSV(w io.Writer, organisations []Organisation) error {
	cw := csv.NewWriter(w)
	if err := cw.Write(csvHeader); err != nil {
		return errors.WithStack(err)
	}
	for _, o := range organisations {
		row := []string{o.Name, o.TokenHash, strconv.Itoa(o.Weight), strconv.Itoa(o.Ceiling), strconv.FormatBool(o.Priority)}
		if err := cw.Write(row); err != nil {
			return errors.WithStack(err)
		}
	}
	cw.Flush()
	return errors.WithStack(cw.Error())
}

// ReadCSV reads organisations from CSV with a header line. It returns a CellError for every
// cell that can't be parsed; Check validates the parsed values.
func ReadCSV(r io.Reader) ([]Organisation, CellErrors) {
	cr := csv.NewReader(r)
	header, err := cr.Read()
	if err != nil || !slices.Equal(header, csvHeader) {
		return nil, CellErrors{{Sheet: "organisations", Row: 0, Column: "header", Value: strings.Join(header, ","), Remedy: "begin with the line " + strings.Join(csvHeader, ",")}}
	}
	var organisations []Organisation
	var cellErrors CellErrors
	for row := 1; ; row++ {
		cells, err := cr.Read()
		if errors.Is(err, io.EOF) {
			return organisations, cellErrors
		}
		if err != nil {
			cellErrors = append(cellErrors, CellError{Sheet: "organisations", Row: row, Column: "row", Value: strings.Join(cells, ","), Remedy: "give one value for each of the " + strconv.Itoa(len(csvHeader)) + " columns"})
			if !errors.Is(err, csv.ErrFieldCount) {
				return organisations, cellErrors
			}
			continue
		}
		o, rowErrors := parseRow(cells, row)
		organisations = append(organisations, o)
		cellErrors = append(cellErrors, rowErrors...)
	}
}

func parseRow(cells []string, row int) (Organisation, CellErrors) {
	var cellErrors CellErrors
	addError := func(column int, remedy string) {
		cellErrors = append(cellErrors, CellError{Sheet: "organisations", Row: row, Column: csvHeader[column], Value: cells[column], Remedy: remedy})
	}
	o := Organisation{Name: cells[0], TokenHash: cells[1]}
	var err error
	if o.Weight, err = strconv.Atoi(cells[2]); err != nil {
		addError(2, "give a whole number")
	}
	if o.Ceiling, err = strconv.Atoi(cells[3]); err != nil {
		addError(3, "give a whole number")
	}
	if o.Priority, err = strconv.ParseBool(cells[4]); err != nil {
		addError(4, "give true or false")
	}
	return o, cellErrors
}
