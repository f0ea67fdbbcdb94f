package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/marjoramcroft/marjoramcroft/agree"
	"github.com/marjoramcroft/marjoramcroft/ident"
)

// baseMarker is the first cell of the optional row that states the base Version.
const baseMarker = "#Base"

// Read parses a sheet and validates it as a whole. The name is used in error messages. If the
// sheet is invalid, the Sheet is nil and the error is a RowErrors that lists every error.
func Read(name string, r io.Reader, cfg Config) (*Sheet, error) {
	data, err := io.ReadAll(io.LimitReader(r, cfg.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read sheet %s: %w", name, err)
	}
	if int64(len(data)) > cfg.MaxBytes {
		return nil, fmt.Errorf("read sheet %s: larger than %d bytes", name, cfg.MaxBytes)
	}
	p := &parser{cfg: cfg, sheet: &Sheet{File: name, lines: map[agree.Key]int{}}}
	p.readAll(data)
	if len(p.errs) == 0 {
		p.validate()
	}
	if len(p.errs) > 0 {
		slices.SortStableFunc(p.errs, func(a, b *RowError) int {
			if a.Line != b.Line {
				return a.Line - b.Line
			}
			return a.Column - b.Column
		})
		return nil, p.errs
	}
	return p.sheet, nil
}

// parser holds the state of one Read.
type parser struct {
	cfg    Config
	sheet  *Sheet
	header []int // for each position in the file the index in columns or -1; nil before the header row
	errs   RowErrors
}

func (p *parser) addError(line, col int, format string, args ...any) {
	p.errs = append(p.errs, &RowError{File: p.sheet.File, Line: line, Column: col, Text: fmt.Sprintf(format, args...)})
}

func (p *parser) readAll(data []byte) {
	if bytes.HasPrefix(data, []byte("\xff\xfe")) || bytes.HasPrefix(data, []byte("\xfe\xff")) {
		p.addError(1, 1, "file is in UTF-16; save it as CSV in UTF-8")
		return
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	cr := csv.NewReader(bytes.NewReader(data))
	cr.Comma = detectDelimiter(data)
	cr.FieldsPerRecord = -1
	cr.TrimLeadingSpace = cr.Comma != '\t' // with tabs as delimiters it would remove empty cells
	first := true
	for {
		rec, err := cr.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var pe *csv.ParseError
		if errors.As(err, &pe) {
			p.addError(pe.Line, pe.Column, "%s", syntaxErrorText(pe))
			if p.header == nil {
				return
			}
			continue
		}
		if err != nil {
			p.addError(1, 0, "%s", err)
			return
		}
		row := newCells(cr, rec)
		if row.isBlank() {
			continue
		}
		switch {
		case first && strings.EqualFold(row.text(0), baseMarker):
			p.readBase(row)
		case p.header == nil:
			if !p.readHeader(row) {
				return
			}
		default:
			p.readRow(row)
		}
		first = false
	}
	if p.header == nil {
		p.addError(1, 0, "no header row; the columns are %s", columnNames())
	} else if len(p.sheet.Rows) == 0 && len(p.errs) == 0 {
		p.addError(1, 0, "no rows; a sheet states the whole agreement")
	}
}

func syntaxErrorText(pe *csv.ParseError) string {
	if errors.Is(pe.Err, csv.ErrQuote) {
		return fmt.Sprintf("quotes are not closed or are followed by other text (cell begins in line %d)", pe.StartLine)
	}
	return pe.Err.Error()
}

func (p *parser) readBase(row cells) {
	text := row.text(1)
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		line, col := row.pos(1)
		p.addError(line, col, "base version %q must be a whole number", text)
	}
	p.sheet.Base, p.sheet.HasBase = ident.Version(v), true
	for i := 2; i < row.len(); i++ {
		if row.text(i) != "" {
			line, col := row.pos(i)
			p.addError(line, col, "unexpected cell %q after the base version", row.text(i))
		}
	}
}

// readHeader parses the header row and reports whether the rows below can be parsed.
func (p *parser) readHeader(row cells) bool {
	p.header = make([]int, row.len())
	seen := map[int]bool{}
	ok := true
	for i := range row.len() {
		line, col := row.pos(i)
		c := findColumn(row.text(i))
		p.header[i] = c
		switch {
		case c < 0 && row.text(i) == "":
			// A column without a header must be empty; readRow checks that.
		case c < 0:
			p.addError(line, col, "unknown column %q; the columns are %s", row.text(i), columnNames())
			ok = false
		case seen[c]:
			p.addError(line, col, "column %s is given twice", columns[c].name)
			ok = false
		}
		seen[c] = true
	}
	if !seen[0] && ok {
		line, col := row.pos(0)
		p.addError(line, col, "no column %s", columns[0].name)
		ok = false
	}
	return ok
}

func (p *parser) readRow(row cells) {
	texts := make([]string, len(columns))
	positions := make([]int, len(columns)) // for each of columns its position in the file, or -1 if it is absent
	for i := range positions {
		positions[i] = -1
	}
	for i := range row.len() {
		line, col := row.pos(i)
		text := row.text(i)
		switch {
		case !utf8.ValidString(text):
			p.addError(line, col, "cell is not in UTF-8")
			return
		case strings.Contains(text, "\r"):
			// Write could not reproduce it, because encoding/csv normalises line endings.
			p.addError(line, col, "cell has a carriage return")
			return
		case i >= len(p.header) || p.header[i] < 0:
			if text != "" {
				p.addError(line, col, "cell %q has no column", text)
				return
			}
			continue
		}
		texts[p.header[i]], positions[p.header[i]] = text, i
	}
	r, ok := p.parse(row, texts, positions)
	if !ok {
		return
	}
	line := row.line()
	if other, ok := p.sheet.lines[r.Key()]; ok {
		p.addError(line, 0, "%s is also in line %d", r.Key(), other)
		return
	}
	p.sheet.lines[r.Key()] = line
	p.sheet.Rows = append(p.sheet.Rows, Row{Row: r, Line: line})
}

// parse converts the cells of a row. Both texts and positions are indexed like columns.
func (p *parser) parse(row cells, texts []string, positions []int) (agree.Row, bool) {
	var r agree.Row
	ok := true
	fail := func(i int, format string, args ...any) {
		line, col := row.line(), 0
		if positions[i] >= 0 {
			line, col = row.pos(positions[i])
		}
		p.addError(line, col, format, args...)
		ok = false
	}
	for i, c := range columns {
		uses := i == 0 || slices.Contains(c.kinds, r.Kind)
		switch {
		case !uses && texts[i] != "":
			fail(i, "a %s has no %s, but the cell has %q", r.Kind, c.name, texts[i])
		case uses && c.required && texts[i] == "":
			fail(i, "%s is missing", c.name)
		case uses && texts[i] != "":
			if err := c.read(&r, texts[i]); err != nil {
				fail(i, "%s", err)
			}
		}
		if i == 0 && !ok {
			return r, false // the other cells cannot be checked without a valid kind
		}
	}
	p.setDefaults(&r, texts)
	return r, ok
}

func (p *parser) setDefaults(r *agree.Row, texts []string) {
	if r.Kind != agree.KindRoute {
		return
	}
	if texts[findColumn("Class")] == "" {
		r.Class = p.cfg.Class
	}
	if texts[findColumn("Repeat")] == "" {
		r.Repeat = p.cfg.Repeat
	}
	if texts[findColumn("Timeout")] == "" {
		r.Timeout = p.cfg.Timeout
	}
}

// validate checks the rows together as an agreement.
func (p *parser) validate() {
	rows := make(map[agree.Key]*agree.Row, len(p.sheet.Rows))
	for _, r := range p.sheet.Rows {
		rows[r.Key()] = &r.Row
	}
	for _, problem := range agree.Validate(rows) {
		p.addError(p.sheet.lines[problem.Key], 0, "%s", problem)
	}
}
