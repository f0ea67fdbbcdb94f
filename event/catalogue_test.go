package event

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

var rowPattern = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`)

// TestCatalogueMatchesDocs guards against events that are missing from docs/events.md or differ from it, and
// against documentation of events that no longer exist.
func TestCatalogueMatchesDocs(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/events.md")
	is.NoErr(err)
	documented := map[ID]Def{}
	for _, m := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		is.NoErr(err)
		id := ID(n)
		def, ok := Lookup(id)
		if !ok {
			t.Errorf("event %d is documented but not defined", id)
			continue
		}
		documented[id] = def
		if def.Level.String() != m[2] || def.Text != m[3] {
			t.Errorf("event %d is %s %q, documented as %s %q", id, def.Level, def.Text, m[2], m[3])
		}
	}
	for _, id := range IDs() {
		if _, ok := documented[id]; !ok {
			t.Errorf("event %d is not documented", id)
		}
	}
}

// TestGroupsDoNotShareNumbers guards against an event that replaces another one with the same number.
func TestGroupsDoNotShareNumbers(t *testing.T) {
	is := is.New(t)
	n := 0
	for _, g := range []map[ID]Def{daemonEvents, storeEvents, fanoutEvents, peersEvents, quotaEvents, callsEvents, dedupEvents, meshEvents} {
		n += len(g)
	}
	is.Equal(len(IDs()), n)
}
