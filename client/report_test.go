package client

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/accept"
	"github.com/marjoramcroft/marjoramcroft/admin"
	"github.com/marjoramcroft/marjoramcroft/emul"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

// startDaemon starts the admin pages of a ready daemon with the given status and counters and returns their
// address.
func startDaemon(t *testing.T, st admin.Status, counters map[string]int64) string {
	t.Helper()
	set := stats.New()
	for name, n := range counters {
		set.Add(name, n)
	}
	st.Ready = true
	s := httptest.NewServer(admin.New(admin.Deps{Status: func() admin.Status { return st }, Stats: set}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// historyKey returns the store key of the history record of Version v.
func historyKey(v int) string { return fmt.Sprintf("history/%012d", v) }

// reportJSON runs the command report with -json and returns its exit code and output.
func (h *harness) reportJSON(args ...string) (int, summary) {
	h.t.Helper()
	code, out := h.run(append([]string{"report", "-json"}, args...)...)
	var s summary
	if err := json.NewDecoder(strings.NewReader(out)).Decode(&s); err != nil {
		h.t.Fatalf("%v: %s", err, out)
	}
	return code, s
}

// TestReportCountsChanges guards against changes that are counted twice, under another author
// or kind, or not at all.
func TestReportCountsChanges(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	_, _ = h.run("upload", "-author", "ann", h.writeSheet(validSheet))
	for _, units := range []string{"7", "8"} {
		_, _ = h.run("set", "-author", "bob", "cap", "Member=office", "Service=bookings", "Units="+units)
	}
	_, _ = h.run("restore", "-author", "bob", "-base", "3", "1")
	_, s := h.reportJSON()
	today := time.Now().UTC().Format(time.DateOnly)
	is.Equal(s.Authors, []changeCounts{
		{Name: "bob", Corrections: 2, Restores: 1, Rows: 3},
		{Name: "ann", Sheets: 1, Rows: 4},
	})
	is.Equal(s.Days, []changeCounts{{Name: today, Sheets: 1, Corrections: 2, Restores: 1, Rows: 7}})
	time.Sleep(20 * time.Millisecond)
	_, s = h.reportJSON("-since", "10ms")
	is.Equal(len(s.Days), 0)
}

// TestReportReadsPastFirstHistoryBlock guards against a report that stops after the first block of history
// records.
func TestReportReadsPastFirstHistoryBlock(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	_, _ = h.run("upload", h.writeSheet(validSheet))
	var raw map[string]any
	is.NoErr(json.Unmarshal(h.store.Peek(accept.HeadKey).Data, &raw))
	d := h.store.Driver()
	for v := 2; v <= 250; v++ { // the report needs no heads for these records
		raw["Version"], raw["Kind"] = v, "correction"
		raw["Time"] = time.Now().UTC().Add(-time.Duration(250-v) * time.Minute)
		data, err := json.Marshal(raw)
		is.NoErr(err)
		_, err = d.Swap(h.t.Context(), historyKey(v), 0, data, 0)
		is.NoErr(err)
	}
	h.deleteKey(accept.HeadKey)
	code, s := h.reportJSON("-since", "3h30s")
	is.Equal(code, exitDamaged)
	n := 0
	for _, day := range s.Days {
		n += day.Corrections
	}
	is.Equal(n, 181)
}

// TestReportSumsTheDaemons guards against refusals and caps that are read from one daemon only, and against
// daemons that are missing from the laggards or from the times of coming into force.
func TestReportSumsTheDaemons(t *testing.T) {
	is := is.New(t)
	h := newHarness(t)
	uploadAndCorrect(h)
	at := func(d time.Duration) time.Time { return time.Now().UTC().Add(d) }
	const busy, idle = admin.CapReachedPrefix + "cap/office/bookings", admin.CapReachedPrefix + "cap/shop/bookings"
	first := startDaemon(t, admin.Status{Version: 2, Since: at(time.Minute)},
		map[string]int64{"Refused.CapReached.no": 5, "Refused.AnswerLost.unknown": 1, busy: 5, "Entry.Answered": 99})
	second := startDaemon(t, admin.Status{Version: 2, Since: at(time.Hour)},
		map[string]int64{"Refused.CapReached.no": 3, busy: 2, idle: 1})
	behind := startDaemon(t, admin.Status{Version: 1}, nil)
	started := startDaemon(t, admin.Status{Version: 2}, nil)
	const gone = "127.0.0.1:1"
	list := strings.Join([]string{first, second, behind, started, gone}, ",")
	code, s := h.reportJSON("-daemons", list)
	is.Equal(code, exitLagging)
	is.Equal(s.Refusals, []refusalReport{{"CapReached", "no", 8}, {"AnswerLost", "unknown", 1}})
	is.Equal(s.Caps, []capReport{{"cap/office/bookings", 7, 2}, {"cap/shop/bookings", 1, 1}})
	is.Equal(len(s.Unread), 1)
	is.True(strings.Contains(s.Unread[0], gone))
	is.Equal(len(s.Laggards), 2)
	is.Equal(s.Laggards[0].Lag, "behind by 1")
	is.Equal(s.Laggards[1].Addr, gone)
	v := s.Version
	is.Equal([]int{int(v.Version), v.Measured, v.Behind, v.Started}, []int{2, 2, 1, 1})
	is.True(v.Median > 29*time.Minute && v.Median < 32*time.Minute)
	is.True(v.Slowest > 59*time.Minute && v.Slowest < 61*time.Minute)

	code, out := h.run("report", "-daemons", list)
	is.Equal(code, exitLagging)
	for _, want := range []string{
		"CapReached  no       8", "cap/office/bookings  7         2", behind + "  behind by 1",
		"in force at 2 daemons", "1 behind, 1 without a time", "AUTHOR",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s", want, out)
		}
	}
}

func TestReportShowsUnavailableData(t *testing.T) {
	tests := map[string]struct {
		before func(h *harness)
		args   []string
		code   int
		want   string
	}{
		"store down":         {func(h *harness) { h.store.SetOutage(emul.Rejecting) }, nil, exitUnavailable, "not known, store not reachable"},
		"damaged head":       {damageHead, nil, exitDamaged, "head is damaged"},
		"nothing accepted":   {func(*harness) {}, nil, exitLagging, "no changes"},
		"daemon unreachable": {uploadAndCorrect, nil, exitLagging, "not counted: "},
		"damaged record": {func(h *harness) {
			uploadAndCorrect(h)
			v := h.store.Peek(historyKey(1))
			if _, err := h.store.Driver().Swap(h.t.Context(), v.Key, v.Revision, []byte("{"), 0); err != nil {
				h.t.Fatal(err)
			}
		}, nil, exitLagging, "record not counted: Version 1"},
		"since is zero": {uploadAndCorrect, []string{"-since", "0s"}, exitUsage, "must be above 0"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t)
			tt.before(h)
			code, out := h.run(append([]string{"report"}, tt.args...)...)
			if code != tt.code || !strings.Contains(out, tt.want) {
				t.Log(out)
			}
			is.Equal(code, tt.code)
			is.True(strings.Contains(out, tt.want))
		})
	}
}
