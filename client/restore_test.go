package client

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/emul"
)

// uploadAndCorrect uploads the valid sheet with 6 units as Version 1 and corrects them to 7 as Version 2.
func uploadAndCorrect(h *harness) {
	_, _ = h.run("upload", h.writeSheet(validSheet))
	h.setUnits("7")
}

func (h *harness) setUnits(n string) {
	if code, out := h.run("set", "cap", "Member=office", "Service=bookings", "Units="+n); code != exitOK {
		h.t.Fatal(out)
	}
}

func (h *harness) deleteKey(key string) {
	if err := h.store.Driver().Delete(h.t.Context(), key, 0); err != nil {
		h.t.Fatal(err)
	}
}

// deleteChunksWrittenBy runs change and deletes the chunks that it wrote.
func (h *harness) deleteChunksWrittenBy(change func()) {
	before := strings.Join(h.store.Keys("chunk/"), " ")
	change()
	for _, key := range h.store.Keys("chunk/") {
		if !strings.Contains(before, key) {
			h.deleteKey(key)
		}
	}
}

// damageHead accepts two Versions and deletes the chunk that the second one wrote.
func damageHead(h *harness) {
	_, _ = h.run("upload", h.writeSheet(validSheet))
	h.deleteChunksWrittenBy(func() { h.setUnits("7") })
}

// startStatusServer starts a server that answers each request with status and returns its address.
func startStatusServer(t *testing.T, status string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(status))
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestRestoreReportsItsOutcome(t *testing.T) {
	tests := map[string]struct {
		before func(h *harness)
		args   []string
		code   int
		want   string
	}{
		"dry run shows the difference and the base": {
			uploadAndCorrect, []string{"restore", "-dry-run", "1"}, exitOK, "~ cap/office/bookings Units=6\n1 rows put, 0 deleted, against Version 2; nothing applied",
		},
		"dry run tells the command": {uploadAndCorrect, []string{"restore", "-dry-run", "1"}, exitOK, "marjoramcroft restore -base 2 1"},
		"dry run applies nothing": {
			func(h *harness) {
				uploadAndCorrect(h)
				_, _ = h.run("restore", "-dry-run", "1")
			}, []string{"export"}, exitOK, "#Base,2",
		},
		"dry run as JSON":           {uploadAndCorrect, []string{"restore", "-json", "-dry-run", "1"}, exitOK, `"Base": 2`},
		"dry run of equal rows":     {uploadAndCorrect, []string{"restore", "-dry-run", "2"}, exitOK, "head 2 has the rows of Version 2 already"},
		"earlier version":           {uploadAndCorrect, []string{"restore", "-base", "2", "1"}, exitOK, "restored Version 1 as Version 3, 1 rows put, 0 deleted"},
		"equal to head":             {uploadAndCorrect, []string{"restore", "-base", "2", "2"}, exitOK, "Version 2 has these rows already; nothing applied"},
		"base is missing":           {uploadAndCorrect, []string{"restore", "1"}, exitConflict, "-dry-run"},
		"no version, head intact":   {uploadAndCorrect, []string{"restore", "-base", "2"}, exitUsage, "head is intact"},
		"version that is no number": {uploadAndCorrect, []string{"restore", "-base", "2", "one"}, exitUsage, "not a whole number above 0"},
		"two versions":              {uploadAndCorrect, []string{"restore", "-base", "2", "1", "2"}, exitUsage, "expected 1 arguments"},
		"version never accepted":    {uploadAndCorrect, []string{"restore", "-base", "2", "5"}, exitUsage, "does not exist"},
		"concurrent correction has both values": {
			func(h *harness) {
				uploadAndCorrect(h)
				h.setUnits("9")
			},
			[]string{"restore", "-base", "2", "1"},
			exitConflict, "head is now 3\ncap/office/bookings: theirs 9 units, ours 6 units",
		},
		"collected version lists the others": {
			func(h *harness) {
				_, _ = h.run("upload", h.writeSheet(validSheet))
				h.deleteChunksWrittenBy(func() { h.setUnits("7") })
				_, _ = h.run("restore", "-base", "2", "1")
			}, []string{"restore", "-base", "3", "2"}, exitDamaged, "versions that can be restored: 1, 3",
		},
		"damaged head is restored":  {damageHead, []string{"restore", "-base", "2"}, exitOK, "restored Version 1 as Version 3"},
		"damaged head in a dry run": {damageHead, []string{"restore", "-dry-run"}, exitOK, "head is damaged: "},
		"damaged head prepared against another": {
			damageHead, []string{"restore", "-base", "1"}, exitConflict, "head is damaged and counts as 2",
		},
		"damaged head refuses a change": {
			damageHead, []string{"set", "cap", "Member=office", "Service=bookings", "Units=8"}, exitDamaged, "chunk is missing",
		},
		"missing head is named by history": {func(h *harness) {
			uploadAndCorrect(h)
			h.deleteKey(accept.HeadKey)
		}, []string{"history"}, exitDamaged, "head is damaged"},
		"missing head refuses a sheet": {func(h *harness) {
			uploadAndCorrect(h)
			h.deleteKey(accept.HeadKey)
		}, []string{"upload", "SHEET"}, exitDamaged, "key head is missing"},
		"status names the damage":  {damageHead, []string{"status"}, exitDamaged, "head is damaged"},
		"history names the damage": {damageHead, []string{"history"}, exitDamaged, "missing"},
		"history has the restore": {func(h *harness) {
			uploadAndCorrect(h)
			_, _ = h.run("restore", "-base", "2", "-author", "ann", "1")
		}, []string{"history"}, exitOK, "ann     restore of 1"},
		"lost answer is determined": {
			func(h *harness) {
				uploadAndCorrect(h)
				h.store.FailWrites(accept.HeadKey, 1, emul.Broken, 0)
			},
			[]string{"restore", "-base", "2", "1"},
			exitOK, "restored Version 1 as Version 3",
		},
		"store down": {func(h *harness) {
			uploadAndCorrect(h)
			h.store.SetOutage(emul.Rejecting)
		}, []string{"restore", "-base", "2", "1"}, exitUnavailable, ""},
		"store down is not reported as damage": {func(h *harness) {
			uploadAndCorrect(h)
			h.store.SetOutage(emul.Rejecting)
		}, []string{"status"}, exitUnavailable, "not reachable"},
		"restore repeated with its id is accepted once": {func(h *harness) {
			uploadAndCorrect(h)
			_, _ = h.run("restore", "-base", "2", "-id", "r", "1")
		}, []string{"restore", "-base", "2", "-id", "r", "1"}, exitOK, "accepted before as Version 3"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			tt.before(h)
			for i, arg := range tt.args {
				if arg == "SHEET" {
					tt.args[i] = h.writeSheet(validSheet)
				}
			}
			code, out := h.run(tt.args...)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Log(out)
			}
			is.Equal(code, tt.code)
			is.True(strings.Contains(out, tt.want))
		})
	}
}

// TestStoreBehindTheDaemons guards against a store that has lost Versions that daemons still serve. A
// Version accepted below theirs would never come into force.
func TestStoreBehindTheDaemons(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	uploadAndCorrect(h)
	daemon := startStatusServer(t, `{"Version":40,"Ready":true}`)
	code, out := h.run("status", "-daemons", daemon)
	is.Equal(code, exitDamaged)
	is.True(strings.Contains(out, "head is Version 2, daemons serve Version 40"))
	code, out = h.run("restore", "-daemons", daemon, "-base", "40")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "restored Version 2 as Version 41"))
	code, _ = h.run("status", "-daemons", daemon)
	is.Equal(code, exitLagging)
}
