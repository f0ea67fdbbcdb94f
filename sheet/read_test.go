package sheet

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

const sample = `Kind,Member,Service,Route,Units,Prefix,Class,Repeat,Timeout
member,office,,,,,,,
service,,bookings,,,,,,
cap,office,bookings,,3,,,,
route,office,bookings,book,,/book,long,once,1m
route,office,bookings,all,,/,,,
`

func sampleRows() []agree.Row {
	return []agree.Row{
		{Kind: agree.KindMember, Member: "office"},
		{Kind: agree.KindService, Service: "bookings"},
		{Kind: agree.KindCap, Member: "office", Service: "bookings", Units: 3},
		{
			Kind: agree.KindRoute, Member: "office", Service: "bookings", Route: "book", Prefix: "/book",
			Class: agree.Long, Repeat: agree.RepeatOnce, Timeout: time.Minute,
		},
		{
			Kind: agree.KindRoute, Member: "office", Service: "bookings", Route: "all", Prefix: "/",
			Class: agree.Short, Repeat: agree.RepeatByMethod, Timeout: 2 * time.Second,
		},
	}
}

func TestReadAcceptsTheFormsThatSpreadsheetsWrite(t *testing.T) {
	swapped := `timeout,KIND,unITs,member,Service,prefix,Route,Class,Repeat
,member,,office,,,,,
,service,,,bookings,,,,
,cap,3,office,bookings,,,,
1m,route,,office,bookings,/book,book,long,once
,route,,office,bookings,/,all,,
`
	tests := map[string]struct {
		text    string
		base    int
		hasBase bool
	}{
		"plain":                  {text: sample},
		"byte order mark":        {text: "\xef\xbb\xbf" + sample},
		"CRLF":                   {text: strings.ReplaceAll(sample, "\n", "\r\n")},
		"semicolons":             {text: strings.ReplaceAll(sample, ",", ";")},
		"tabs":                   {text: strings.ReplaceAll(sample, ",", "\t")},
		"quoted cells":           {text: strings.ReplaceAll(sample, "office", `"office"`)},
		"all quoted with spaces": {text: strings.ReplaceAll(sample, "bookings", ` "bookings"`)},
		"surrounding spaces":     {text: strings.ReplaceAll(sample, ",", " , ")},
		"spaces and tabs":        {text: strings.ReplaceAll(sample, ",", " \t ")},
		"blank rows":             {text: "\n" + sample + ",,,,,,,,\n\n  ,,\n"},
		"more empty cells":       {text: strings.ReplaceAll(sample, "\n", ",,,\n")},
		"no line end":            {text: strings.TrimSuffix(sample, "\n")},
		"other column order":     {text: swapped},
		"words in capitals":      {text: strings.NewReplacer("cap,", "CAP,", "long", "Long", "once", "ONCE").Replace(sample)},
		"base":                   {text: "#Base,12\n" + sample, base: 12, hasBase: true},
		"base zero":              {text: "#Base,0\n" + sample, hasBase: true},
		"base padded by a tool":  {text: "\xef\xbb\xbf\"#base\", 12 ,,,,,,,\r\n" + sample, base: 12, hasBase: true},
		"base with other line":   {text: "\n#Base;12\n" + strings.ReplaceAll(sample, ",", ";"), base: 12, hasBase: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Read("a.csv", strings.NewReader(tt.text), DefaultConfig())
			is.NoErr(err)
			is.Equal(s.AgreementRows(), sampleRows())
			is.Equal(int(s.Base), tt.base)
			is.Equal(s.HasBase, tt.hasBase)
		})
	}
}

func TestReadFillsColumnsThatAreLeftOut(t *testing.T) {
	is := is.New(t)
	text := "Kind,Member,Service,Route,Units,Prefix\nmember,a\nservice,,s\ncap,a,s,,1\nroute,a,s,r,,/\n"
	s, err := Read("a.csv", strings.NewReader(text), DefaultConfig())
	is.NoErr(err)
	r := s.Rows[3]
	is.Equal(r.Class, agree.Short)
	is.Equal(r.Repeat, agree.RepeatByMethod)
	is.Equal(r.Timeout, 2*time.Second)
	is.Equal(r.Line, 5)
}

func TestReadReportsEveryFaultWithItsPlace(t *testing.T) {
	head := "Kind,Member,Service,Route,Units,Prefix,Class,Repeat,Timeout\n"
	tests := map[string]struct {
		text string
		want []string
	}{
		"empty file":     {"", []string{"a.csv:1: no header row; the columns are " + columnNames()}},
		"header only":    {head, []string{"a.csv:1: no rows; a sheet states the whole agreement"}},
		"UTF-16":         {"\xff\xfeK\x00", []string{"a.csv:1:1: file is in UTF-16; save it as CSV in UTF-8"}},
		"unknown column": {"#Base,3\nKind,Membre\nmember,a\n", []string{`a.csv:2:6: unknown column "Membre"; the columns are ` + columnNames()}},
		"column twice":   {"Kind,Member,kind\n", []string{"a.csv:1:13: column Kind is given twice"}},
		"no kind column": {"Member,Service\n", []string{"a.csv:1:1: no column Kind"}},
		"base without a number": {"#Base,x\n" + head + "member,a\n", []string{
			`a.csv:1:7: base version "x" must be a whole number`,
		}},
		"base without a cell": {"#Base\n" + head + "member,a\n", []string{`a.csv:1: base version "" must be a whole number`}},
		"faults in several rows": {head + "member,a,b\nplan,a\ncap,a,s,,x\ncap,a\nroute,a,s,r,,/,,,5\n", []string{
			`a.csv:2:10: a member has no Service, but the cell has "b"`,
			`a.csv:3:1: kind "plan" must be member, service, cap or route`,
			`a.csv:4:10: units "x" must be a whole number`,
			"a.csv:5: Service is missing",
			"a.csv:5: Units is missing",
			`a.csv:6:18: timeout "5" must be a duration with its unit, such as 2s or 500ms`,
		}},
		"row given twice":        {head + "member,a\nmember,a\n", []string{"a.csv:3: member/a is also in line 2"}},
		"cell beyond the header": {"Kind,Member\nmember,a,x\n", []string{`a.csv:2:10: cell "x" has no column`}},
		"text after closing quotes": {head + "member,\"a\"b\nplan\n", []string{
			"a.csv:2:10: quotes are not closed or are followed by other text (cell begins in line 2)",
			`a.csv:3:1: kind "plan" must be member, service, cap or route`,
		}},
		"invalid agreement": {head + "member,a\ncap,a,s,,0\n", []string{
			`a.csv:3: cap/a/s: unknown service "s"`, "a.csv:3: cap/a/s: units 0 must be from 1 to 1000000",
		}},
		"line after a quoted line break": {head + "member,\"a\n\"\nplan\n", []string{
			`a.csv:4:1: kind "plan" must be member, service, cap or route`,
		}},
		"other encoding": {head + "member,caf\xe9\n", []string{"a.csv:2:8: cell is not in UTF-8"}},
		// An accepted agreement with such a cell cannot be exported.
		"carriage return in a cell": {head + "member,\"a\rb\"\n", []string{"a.csv:2:8: cell has a carriage return"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, err := Read("a.csv", strings.NewReader(tt.text), DefaultConfig())
			is.Equal(s, nil) // an invalid sheet yields no rows
			is.True(err != nil)
			is.Equal(strings.Split(err.Error(), "\n"), tt.want)
			var re *RowError
			is.True(errors.As(err, &re))
			is.Equal(re.File, "a.csv")
		})
	}
}

func TestExportReadsBackExactly(t *testing.T) {
	is := is.New(t)
	rows := sampleRows()
	rows[3].Prefix = "/a, \"b\";\n\tc"
	rows[4].Timeout = 1500*time.Millisecond + 1
	a, err := agree.New(7, rows)
	is.NoErr(err)
	var b bytes.Buffer
	is.NoErr(Write(&b, a))
	s, err := Read("a.csv", &b, DefaultConfig())
	is.NoErr(err)
	got, err := agree.New(s.Base, s.AgreementRows())
	is.NoErr(err)
	is.Equal(got.Hash(), a.Hash())
	is.Equal(s.Line("cap/office/bookings"), 3)
}
