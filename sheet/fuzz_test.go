package sheet

import (
	"bytes"
	"errors"
	"testing"

	"github.com/marjoramcroft/marjoramcroft/agree"
)

// FuzzRead guards against panics, row errors without a line, and sheets whose export reads
// back differently. The seed corpus is in testdata/fuzz/FuzzRead.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Read("a.csv", bytes.NewReader(data), DefaultConfig())
		if err != nil {
			var list RowErrors
			if s != nil || !errors.As(err, &list) || len(list) == 0 {
				t.Fatalf("sheet %v with error %v", s, err)
			}
			for _, e := range list {
				if e.Line < 1 || e.Column < 0 || e.Text == "" {
					t.Fatalf("row error without a line or text: %+v", e)
				}
			}
			return
		}
		a, err := agree.New(s.Base, s.AgreementRows())
		if err != nil {
			t.Fatalf("sheet was read without errors but is invalid: %v", err)
		}
		for _, r := range s.Rows {
			if s.Line(r.Key()) != r.Line {
				t.Fatalf("wrong line of row %s", r.Key())
			}
		}
		var out bytes.Buffer
		if err := Write(&out, a); err != nil {
			t.Fatalf("export: %v", err)
		}
		again, err := Read("b.csv", &out, DefaultConfig())
		if err != nil {
			t.Fatalf("read export: %v", err)
		}
		b, err := agree.New(again.Base, again.AgreementRows())
		if err != nil || b.Hash() != a.Hash() || !again.HasBase {
			t.Fatalf("export reads back differently: %v", err)
		}
	})
}
