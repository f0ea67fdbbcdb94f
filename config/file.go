package config

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// file parses a TOML settings file and records the line of each setting for error messages.
type file struct {
	path   string
	byName map[string]*setting // by name as written in the file
	lines  map[string]int      // by name of the setting or table
}

// parse reads the file from r and calls set for every setting. Errors start with the file and, if known,
// the line.
func (f *file) parse(r io.Reader, set func(name, value string) error) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read %s: %w", f.path, err)
	}
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			line, col := de.Position()
			return fmt.Errorf("%s:%d:%d: %w", f.path, line, col, err)
		}
		return fmt.Errorf("%s: %w", f.path, err)
	}
	if err := f.recordLines(data); err != nil {
		return err
	}
	return f.apply("", tree, set)
}

// recordLines records the line of each key and table.
func (f *file) recordLines(data []byte) error {
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		name, line := keyAndLine(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = name + "."
			f.lines[name] = line
		case unstable.KeyValue:
			f.lines[table+name] = line
		}
	}
	if err := p.Error(); err != nil {
		return fmt.Errorf("%s: %w", f.path, err)
	}
	return nil
}

// keyAndLine returns the dotted key of expression e and its line.
func keyAndLine(p *unstable.Parser, e *unstable.Node) (string, int) {
	var parts []string
	line := 0
	for it := e.Key(); it.Next(); {
		n := it.Node()
		parts = append(parts, string(n.Data))
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
	}
	return strings.Join(parts, "."), line
}

// apply calls set for every setting in table, whose name is prefix, and in its tables.
func (f *file) apply(prefix string, table map[string]any, set func(name, value string) error) error {
	for k, v := range table {
		name := prefix + k
		if subtable, ok := v.(map[string]any); ok {
			if err := f.apply(name+".", subtable, set); err != nil {
				return err
			}
			continue
		}
		s, ok := f.byName[name]
		if !ok {
			return fmt.Errorf("%s: unknown setting %s", f.position(name), name)
		}
		if err := set(s.flagName(), formatValue(v)); err != nil {
			return fmt.Errorf("%s: setting %s: %w", f.position(name), name, err)
		}
	}
	return nil
}

// position returns file and line of the setting name, or of the nearest enclosing table whose line is
// known.
func (f *file) position(name string) string {
	for {
		if line, ok := f.lines[name]; ok {
			return fmt.Sprintf("%s:%d", f.path, line)
		}
		i := strings.LastIndexByte(name, '.')
		if i < 0 {
			return f.path
		}
		name = name[:i]
	}
}

// formatValue formats a TOML value as it is written in a flag.
func formatValue(v any) string {
	list, ok := v.([]any)
	if !ok {
		return fmt.Sprint(v)
	}
	parts := make([]string, 0, len(list))
	for _, e := range list {
		parts = append(parts, fmt.Sprint(e))
	}
	return strings.Join(parts, ",")
}
