package sheet

import (
	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// Sheet is the parsed content of a sheet: a whole agreement and its optional base Version.
type Sheet struct {
	File    string
	Base    ident.Version // Version of the export that the sheet is based on
	HasBase bool          // whether the file states Base
	Rows    []Row         // in file order, with unique keys

	lines map[agree.Key]int // line of each row
}

// Row is a row of the agreement with its line number in the file.
type Row struct {
	agree.Row
	Line int
}

// AgreementRows returns the rows of the agreement in file order, without line numbers.
func (s *Sheet) AgreementRows() []agree.Row {
	out := make([]agree.Row, 0, len(s.Rows))
	for _, r := range s.Rows {
		out = append(out, r.Row)
	}
	return out
}

// Line returns the line number of the row with key k, or zero if there is no such row.
func (s *Sheet) Line(k agree.Key) int { return s.lines[k] }
