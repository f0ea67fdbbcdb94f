package figure

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// ErrData reports a data file whose content is invalid and cannot be drawn.
var ErrData = errors.New("invalid data file")

// seriesColumn is the column with the series of a row; all other columns hold numbers.
const seriesColumn = "Series"

// Data is the content of a data file, which is CSV with a header and Series as its first column.
type Data struct {
	Columns []string // names of the columns that hold numbers
	Rows    []Row
}

// Row is one data point of a series.
type Row struct {
	Series string
	Values []float64 // in the order of Data.Columns
	line   int       // line number in the data file
}

// NewData returns Data without rows.
func NewData(columns ...string) *Data { return &Data{Columns: columns} }

// Add appends a row.
func (d *Data) Add(series string, values ...float64) {
	d.Rows = append(d.Rows, Row{Series: series, Values: values})
}

// Save writes d to the file name in dir.
func (d *Data) Save(dir, name string) error {
	var b strings.Builder
	w := csv.NewWriter(&b)
	records := [][]string{append([]string{seriesColumn}, d.Columns...)}
	for _, r := range d.Rows {
		fields := []string{r.Series}
		for _, v := range r.Values {
			fields = append(fields, strconv.FormatFloat(v, 'f', -1, 64))
		}
		records = append(records, fields)
	}
	if err := w.WriteAll(records); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.WriteFile(filepath.Join(dir, name), []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("write data file: %w", err)
	}
	return nil
}

// Load reads the data file at path. Errors in its content name the file and the line.
func Load(path string) (*Data, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read data file: %w", err)
	}
	defer func() { _ = f.Close() }()
	r := csv.NewReader(f)
	header, err := r.Read()
	if err != nil {
		return nil, parseError(path, err, 1)
	}
	if len(header) < 3 || header[0] != seriesColumn {
		return nil, fmt.Errorf("%s:1: %w: the header must be %s and at least two columns", path, ErrData, seriesColumn)
	}
	d := &Data{Columns: header[1:]}
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, parseError(path, err, 1)
		}
		line, _ := r.FieldPos(0)
		row := Row{Series: record[0], line: line}
		for i, field := range record[1:] {
			v, err := strconv.ParseFloat(field, 64)
			if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
				return nil, fmt.Errorf("%s:%d: %w: %s is not a number: %q", path, line, ErrData, d.Columns[i], field)
			}
			row.Values = append(row.Values, v)
		}
		d.Rows = append(d.Rows, row)
	}
	if len(d.Rows) == 0 {
		return nil, fmt.Errorf("%s:1: %w: no rows", path, ErrData)
	}
	return d, nil
}

// parseError adds the file and the line to err: the line of a CSV error, or else line.
func parseError(path string, err error, line int) error {
	var p *csv.ParseError
	if errors.As(err, &p) {
		line, err = p.Line, p.Err
	}
	return fmt.Errorf("%s:%d: %w: %w", path, line, ErrData, err)
}

// column returns the index of the named column in Row.Values, or -1 if there is none.
func (d *Data) column(name string) int { return slices.Index(d.Columns, name) }
