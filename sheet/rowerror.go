package sheet

import (
	"fmt"
	"strings"
)

// RowError is an error in a sheet. Line and Column start at 1. Column counts bytes and is zero
// if the error concerns the whole row.
type RowError struct {
	File   string
	Line   int
	Column int
	Text   string
}

// Error returns "FILE:LINE:COLUMN: TEXT", without the column if it is zero.
func (e *RowError) Error() string {
	if e.Column == 0 {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
	}
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Text)
}

// RowErrors lists all errors in a sheet, ordered by line and column.
type RowErrors []*RowError

// Error returns the errors, one per line.
func (es RowErrors) Error() string {
	texts := make([]string, 0, len(es))
	for _, e := range es {
		texts = append(texts, e.Error())
	}
	return strings.Join(texts, "\n")
}

// Unwrap returns the individual errors, for errors.Is and errors.As.
func (es RowErrors) Unwrap() []error {
	out := make([]error, 0, len(es))
	for _, e := range es {
		out = append(out, e)
	}
	return out
}
