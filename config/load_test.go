package config

import (
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type testSettings struct {
	Listen struct {
		Address string        `help:"address"`
		Timeout time.Duration `help:"timeout"`
	}
	Seeds []string `help:"seeds"`
	Count int      `help:"count"`
}

func load(t *testing.T, toml string, args []string, s *testSettings) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a.toml")
	if err := os.WriteFile(path, []byte(toml), 0o600); err != nil {
		t.Fatal(err)
	}
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return Load(fs, append([]string{"-config", path}, args...), s, func() []Problem {
		if s.Count < 0 {
			return []Problem{Problemf("Count", "%d is below 0", s.Count)}
		}
		return nil
	})
}

func TestLoadPrecedenceFlagEnvironmentFile(t *testing.T) {
	is := is.New(t)
	t.Setenv("MARJORAMCROFT_COUNT", "2")
	t.Setenv("MARJORAMCROFT_LISTEN_TIMEOUT", "2s")
	var s testSettings
	err := load(t, "Count = 1\nSeeds = [\"a\", \"b\"]\n[Listen]\nAddress = \"x\"\nTimeout = \"1s\"\n",
		[]string{"-count", "3"}, &s)
	is.NoErr(err)
	is.Equal(s.Count, 3)
	is.Equal(s.Listen.Timeout, 2*time.Second)
	is.Equal(s.Listen.Address, "x")
	is.Equal(s.Seeds, []string{"a", "b"})
}

func TestLoadReportsPositionOfInvalidSettings(t *testing.T) {
	tests := map[string]struct {
		toml string
		args []string
		want string
	}{
		"syntax error":       {"Count = \n", nil, "a.toml:1"},
		"unknown setting":    {"Count = 1\n\n[Listen]\nPort = \"x\"\n", nil, "a.toml:4: unknown setting Listen.Port"},
		"wrong type":         {"\nCount = \"many\"\n", nil, "a.toml:2: setting Count"},
		"failed check, file": {"\n\nCount = -1\n", nil, "a.toml:3: setting Count: -1 is below 0"},
		"failed check, flag": {"Count = 1\n", []string{"-count=-2"}, "flag -count: setting Count: -2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s testSettings
			err := load(t, tt.toml, tt.args, &s)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want)) // position and setting
		})
	}
}
