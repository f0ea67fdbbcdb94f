package tally

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes limits a log line; a call with many attempts has a few hundred bytes.
const maxLineBytes = 1 << 20

// Read adds the calls in a log. Lines may have a prefix, such as the name of a VM, before the first field of the daemon.
// Lines that are not log lines are skipped.
func (t *Table) Read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		line := lines.Bytes()
		start := bytes.Index(line, []byte("time="))
		if start < 0 {
			continue
		}
		if c, ok := parseCall(parseFields(line[start:])); ok {
			t.add(c)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// parseFields returns the fields of a log line up to the first one that cannot be read.
func parseFields(line []byte) map[string]string {
	fields := map[string]string{}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields
}
