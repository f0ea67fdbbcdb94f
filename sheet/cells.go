package sheet

import (
	"encoding/csv"
	"strings"
)

// cells is one record of a CSV file with the positions of its cells.
type cells struct {
	texts []string
	lines []int
	cols  []int
}

// newCells trims the cells of rec, the last record read by cr, and adds their positions.
func newCells(cr *csv.Reader, rec []string) cells {
	c := cells{texts: rec, lines: make([]int, len(rec)), cols: make([]int, len(rec))}
	for i := range rec {
		c.texts[i] = strings.TrimSpace(rec[i])
		c.lines[i], c.cols[i] = cr.FieldPos(i)
	}
	return c
}

func (c cells) len() int { return len(c.texts) }

// text returns cell i without surrounding spaces, or "" if there is no such cell.
func (c cells) text(i int) string {
	if i >= len(c.texts) {
		return ""
	}
	return c.texts[i]
}

// pos returns the line and column of cell i. If there is no such cell, it returns the line of
// the record and column zero.
func (c cells) pos(i int) (line, col int) {
	if i >= len(c.texts) {
		return c.lines[0], 0
	}
	return c.lines[i], c.cols[i]
}

func (c cells) line() int { return c.lines[0] }

func (c cells) isBlank() bool {
	for _, t := range c.texts {
		if t != "" {
			return false
		}
	}
	return true
}
