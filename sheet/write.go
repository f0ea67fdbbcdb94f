package sheet

import (
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// Write writes a as a sheet, with its Version as the base. Read returns the same rows from the
// result. Write fails on a value that a sheet cannot represent, such as a prefix that ends
// with a space.
func Write(w io.Writer, a *agree.Agreement) error {
	cw := csv.NewWriter(w)
	if err := cw.Write([]string{baseMarker, strconv.FormatUint(uint64(a.Version()), 10)}); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	header := make([]string, 0, len(columns))
	for _, c := range columns {
		header = append(header, c.name)
	}
	if err := cw.Write(header); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	for _, r := range a.Rows() {
		rec, err := formatRow(r)
		if err != nil {
			return fmt.Errorf("write sheet: %w", err)
		}
		if err := cw.Write(rec); err != nil {
			return fmt.Errorf("write sheet: %w", err)
		}
	}
	cw.Flush()
	if err := cw.Error(); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	return nil
}

func formatRow(r agree.Row) ([]string, error) {
	rec := make([]string, len(columns))
	for i, c := range columns {
		if !slices.Contains(c.kinds, r.Kind) {
			continue
		}
		cell := c.write(r)
		// Read trims surrounding spaces, and encoding/csv normalises line endings.
		if strings.TrimSpace(cell) != cell || strings.Contains(cell, "\r") || !utf8.ValidString(cell) {
			return nil, fmt.Errorf("%s: %s %q cannot be written to a sheet", r.Key(), c.name, cell)
		}
		rec[i] = cell
	}
	return rec, nil
}
