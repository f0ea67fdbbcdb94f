package client

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/emul"
)

const validSheet = `Kind,Member,Service,Route,Units,Prefix
member,office,,,,
service,,bookings,,,
cap,office,bookings,,6,
route,office,bookings,all,,/
`

// harness runs commands of the client against an emulated store.
type harness struct {
	t     *testing.T
	store *emul.Store
	dir   string
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, store: emul.NewStore(emul.DefaultStoreConfig()), dir: t.TempDir()}
}

// run runs a command and returns its exit code and output.
func (h *harness) run(args ...string) (int, string) {
	var out bytes.Buffer
	c := &Client{stdout: &out, stderr: &out, settings: DefaultSettings(), httpClient: &http.Client{}, newDriver: h.store.Driver}
	c.settings.Daemons = []string{"127.0.0.1:1"} // nothing listens on port 1; a daemon may listen on the default port
	err := c.run(h.t.Context(), args)
	if err != nil {
		out.WriteString(err.Error())
	}
	return exitCode(err), out.String()
}

// writeSheet writes text to a sheet file and returns its path.
func (h *harness) writeSheet(text string) string {
	path := filepath.Join(h.dir, "sheet.csv")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		h.t.Fatal(err)
	}
	return path
}

func TestCommandsReportTheirOutcome(t *testing.T) {
	upload := func(h *harness, text string, flags ...string) (int, string) {
		return h.run(append(append([]string{"upload"}, flags...), h.writeSheet(text))...)
	}
	uploadValid := func(h *harness) { _, _ = upload(h, validSheet) }
	tests := map[string]struct {
		before func(h *harness)
		run    func(h *harness) (int, string)
		code   int
		want   string
	}{
		"sheet accepted": {nil, func(h *harness) (int, string) { return upload(h, validSheet) }, exitOK, "accepted as Version 1, 4 rows put"},
		"bad rows are listed with file and line": {
			nil, func(h *harness) (int, string) { return upload(h, strings.Replace(validSheet, ",6,", ",x,", 1)) },
			exitInvalidRows, "sheet.csv:4",
		},
		"bad sheet changes nothing": {uploadValid, func(h *harness) (int, string) {
			_, _ = upload(h, strings.Replace(validSheet, ",6,", ",x,", 1))
			return h.run("history")
		}, exitOK, "1  "},
		"dry run applies nothing": {
			nil, func(h *harness) (int, string) { return upload(h, validSheet, "-dry-run") },
			exitOK, "4 rows put, 0 deleted, against Version 0; nothing applied",
		},
		"sheet without base soon after another": {
			uploadValid, func(h *harness) (int, string) { return upload(h, validSheet) },
			exitConflict, "base",
		},
		"sheet cannot undo a later correction": {
			func(h *harness) {
				uploadValid(h)
				_, _ = h.run("set", "cap", "Member=office", "Service=bookings", "Units=7")
			},
			func(h *harness) (int, string) {
				return upload(h, strings.Replace(validSheet, ",6,", ",9,", 1), "-base", "1")
			},
			exitConflict, "sheet.csv:4: cap/office/bookings: theirs 7 units, ours 9 units",
		},
		"upload repeated with its id is accepted once": {
			func(h *harness) { _, _ = upload(h, validSheet, "-id", "x1") },
			func(h *harness) (int, string) { return upload(h, validSheet, "-id", "x1") },
			exitOK, "accepted before as Version 1",
		},
		"correction with a field that does not exist": {
			uploadValid, func(h *harness) (int, string) { return h.run("set", "cap", "Membr=office") }, exitUsage, `unknown field "Membr"`,
		},
		"correction that is not valid": {
			uploadValid, func(h *harness) (int, string) {
				return h.run("set", "cap", "Member=office", "Service=nowhere", "Units=1")
			}, exitInvalidRows, `unknown service "nowhere"`,
		},
		"deletion of a row that routes need": {
			uploadValid, func(h *harness) (int, string) { return h.run("delete", "cap/office/bookings") }, exitInvalidRows, "has no cap",
		},
		"deletion of a row that is not there": {
			uploadValid, func(h *harness) (int, string) { return h.run("delete", "cap/a/b") }, exitUsage, "has no row cap/a/b",
		},
		"export gives the base": {uploadValid, func(h *harness) (int, string) { return h.run("export") }, exitOK, "#Base,1"},
		"JSON on request":       {uploadValid, func(h *harness) (int, string) { return h.run("export", "-json") }, exitOK, `"Units": 6`},
		"unknown command":       {nil, func(h *harness) (int, string) { return h.run("uplaod") }, exitUsage, `unknown command "uplaod"`},
		"missing argument":      {nil, func(h *harness) (int, string) { return h.run("upload") }, exitUsage, "SHEET.csv"},
		"store down": {
			func(h *harness) { h.store.SetOutage(emul.Rejecting) },
			func(h *harness) (int, string) { return h.run("export") }, exitUnavailable, "",
		},
		"change before a restored store is confirmed": {
			func(h *harness) {
				uploadValid(h)
				h.store.Restore(h.store.Copy())
			},
			func(h *harness) (int, string) {
				return h.run("set", "cap", "Member=office", "Service=bookings", "Units=7")
			},
			exitUnavailable, "prepare the change again in some seconds",
		},
		"status names a daemon that does not answer": {
			uploadValid, func(h *harness) (int, string) { return h.run("status", "-daemons", "127.0.0.1:1") }, exitLagging, "127.0.0.1:1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			if tt.before != nil {
				tt.before(h)
			}
			code, out := tt.run(h)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Log(out)
			}
			is.Equal(code, tt.code)
			is.True(strings.Contains(out, tt.want))
		})
	}
}
