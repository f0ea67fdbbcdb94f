package admin

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/stats"
)

func newServer(ready error) *Server {
	counters := stats.New()
	counters.Inc("Refused.CapReached.no")
	return New(Deps{
		Ready:  func() error { return ready },
		Status: func() Status { return Status{Version: 7} },
		Explain: func(m ident.MemberID, method, path string) Explanation {
			return Explanation{Member: m, Method: method, Path: path}
		},
		Announce: func(a Announcement) error {
			if a.Service == "other" {
				return ErrWrongServer
			}
			if a.Incarnation == 7 {
				return ErrFormerProcess
			}
			return nil
		},
		IssueKey: func(ident.ServiceID) (string, error) { return "k1", nil },
		Retire:   func(ident.Addr) error { return nil },
		Stats:    counters,
	})
}

func TestServerAnswers(t *testing.T) {
	const valid = `{"Service":"s","Backend":"127.0.0.1:1","Slots":9,"Conns":120,"State":"Ready"}`
	withIncarnation := func(incarnation string) string {
		return strings.TrimSuffix(valid, "}") + `,"Incarnation":` + incarnation + "}"
	}
	tests := map[string]struct {
		ready              error
		method, path, body string
		status             int
		want               string
	}{
		"live while not ready":                    {errors.New("no agreement"), "GET", "live", "", 200, "live"},
		"not ready gives the reason":              {errors.New("no agreement"), "GET", "ready", "", 503, "no agreement"},
		"ready":                                   {nil, "GET", "ready", "", 200, "ready"},
		"version":                                 {nil, "GET", "version", "", 200, "7"},
		"metrics by prefix":                       {nil, "GET", "metrics?prefix=Refused", "", 200, `"Refused.CapReached.no":1`},
		"explain without a member":                {nil, "GET", "explain?path=/x", "", 400, "member and path"},
		"explain":                                 {nil, "GET", "explain?member=m&path=/x", "", 200, `"Method":"GET"`},
		"announcement":                            {nil, "POST", "announce", valid, 204, ""},
		"announcement not JSON":                   {nil, "POST", "announce", "x", 400, "announcement"},
		"announcement, unknown field":             {nil, "POST", "announce", `{"Sevrice":"s"}`, 400, "Sevrice"},
		"announcement without slots":              {nil, "POST", "announce", strings.Replace(valid, "9", "0", 1), 400, "Slots"},
		"announcement, unknown state":             {nil, "POST", "announce", strings.Replace(valid, "Ready", "Up", 1), 400, "State"},
		"announcement, incarnation":               {nil, "POST", "announce", withIncarnation("1764831600123456789"), 204, ""},
		"announcement, incarnation null":          {nil, "POST", "announce", withIncarnation("null"), 204, ""},
		"announcement, incarnation below 0":       {nil, "POST", "announce", withIncarnation("-1"), 400, "Incarnation is -1, must be at least 1"},
		"announcement, incarnation with fraction": {nil, "POST", "announce", withIncarnation("1.5"), 400, "Incarnation is a number 1.5, must be a whole number"},
		"announcement, incarnation with exponent": {nil, "POST", "announce", withIncarnation("1e9"), 400, "without fraction or exponent"},
		"announcement, incarnation out of range":  {nil, "POST", "announce", withIncarnation("9223372036854775808"), 400, "at most 9223372036854775807"},
		"announcement, incarnation not a number":  {nil, "POST", "announce", withIncarnation(`"1"`), 400, "Incarnation is a string, must be a whole number"},
		"announcement, backend not a string":      {nil, "POST", "announce", `{"Backend":8080}`, 400, "Backend is a number, must be a string"},
		"late announcement of a former process":   {nil, "POST", "announce", withIncarnation("7"), 409, "former process"},
		"announcement, another server":            {nil, "POST", "announce", strings.Replace(valid, `"s"`, `"other"`, 1), 409, "another"},
		"key":                                     {nil, "POST", "key?service=s", "", 200, "k1"},
		"key without a service":                   {nil, "POST", "key", "", 400, "service"},
		"retire without an address":               {nil, "POST", "retire", "", 400, "addr"},
		"unknown path":                            {nil, "GET", "nothing", "", 404, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := httptest.NewRecorder()
			r := httptest.NewRequest(tt.method, Prefix+tt.path, strings.NewReader(tt.body))
			newServer(tt.ready).ServeHTTP(w, r)
			is.Equal(w.Code, tt.status)
			is.True(strings.Contains(w.Body.String(), tt.want))
		})
	}
}
