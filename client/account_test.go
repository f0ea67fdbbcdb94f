package client

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestAccountCommand guards against an account that is empty because of a mistyped file or time.
func TestAccountCommand(t *testing.T) {
	log := filepath.Join(t.TempDir(), "vm.log")
	text := `time=2026-01-15T22:40:02.000Z level=info msg="call answered" VM=vm-1 Event=801 Call=c2 Route=get Attempts=10.1.0.1:7000:Answered@2ms Status=200
`
	if err := os.WriteFile(log, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"table":      {[]string{log}, exitOK, "get    1      1"},
		"json":       {[]string{"-json", log}, exitOK, `"Answered": 1`},
		"other time": {[]string{"-from", "2026-01-15T22:41:00Z", log}, exitOK, "0 calls"},
		"bad time":   {[]string{"-until", "noon", log}, exitUsage, "flag -until"},
		"no file":    {nil, exitUsage, "names of log files"},
		"missing":    {[]string{log + "x"}, exitFailed, "no such file"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, out := newHarness(t).run(append([]string{"account"}, tt.args...)...)
			is.Equal(code, tt.code)
			if !strings.Contains(out, tt.want) {
				t.Errorf("%q is not in the output:\n%s", tt.want, out)
			}
		})
	}
}
