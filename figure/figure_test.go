package figure

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestPlotsMatchTheData guards against committed plots that do not match the data files, and against output that
// differs between runs.
func TestPlotsMatchTheData(t *testing.T) {
	const dir = "../docs/figures"
	for _, p := range Plots() {
		t.Run(p.Name, func(t *testing.T) {
			is := is.New(t)
			first, err := p.SVG(filepath.Join(dir, p.Data))
			is.NoErr(err)
			second, err := p.SVG(filepath.Join(dir, p.Data))
			is.NoErr(err)
			is.True(bytes.Equal(first, second)) // the output is deterministic
			committed, err := os.ReadFile(filepath.Join(dir, p.Name+".svg"))
			is.NoErr(err)
			is.True(bytes.Equal(first, committed)) // if it differs: go run ./cmd/figure
		})
	}
}

// TestErrorsNameFileAndLine guards against plots of invalid data and errors without a file and line.
func TestErrorsNameFileAndLine(t *testing.T) {
	p := Plot{X: "Load", Y: "P99Ms", LogY: true}
	for name, c := range map[string]struct{ content, want string }{
		"empty":           {"", "f.csv:1: "},
		"no series":       {"Load,P99Ms,More\n30,1,2\n", "f.csv:1: "},
		"no rows":         {"Series,Load,P99Ms\n", "f.csv:1: "},
		"column missing":  {"Series,Load,Other\na,30,1\n", "f.csv:1: "},
		"not a number":    {"Series,Load,P99Ms\na,30,1\na,40,fast\n", "f.csv:3: "},
		"not finite":      {"Series,Load,P99Ms\na,30,NaN\n", "f.csv:2: "},
		"too few cells":   {"Series,Load,P99Ms\na,30,1\na,40\n", "f.csv:3: "},
		"quote not ended": {"Series,Load,P99Ms\n\"a,30,1\n", "f.csv:"},
		"zero on log":     {"Series,Load,P99Ms\na,30,1\na,40,0\n", "f.csv:3: "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "f.csv")
			is.NoErr(os.WriteFile(path, []byte(c.content), 0o600))
			_, err := p.SVG(path)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want)) // file and line
		})
	}
}

// TestMissingFileFails guards against a command that skips a missing data file.
func TestMissingFileFails(t *testing.T) {
	is := is.New(t)
	var stderr strings.Builder
	is.Equal(Main([]string{"-dir", t.TempDir()}, &stderr), exitFailed)
	is.True(strings.Contains(stderr.String(), "convergence.csv"))
}

// TestSaveAndLoad guards against data that is changed by writing and reading a data file.
func TestSaveAndLoad(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	d := NewData("Load", "P99Ms")
	d.Add("round robin, fifo", 30, 12.25)
	is.NoErr(d.Save(dir, "f.csv"))
	got, err := Load(filepath.Join(dir, "f.csv"))
	is.NoErr(err)
	is.Equal(got.Columns, d.Columns)
	is.Equal(got.Rows[0].Series, d.Rows[0].Series)
	is.Equal(got.Rows[0].Values, d.Rows[0].Values)
}
