package daemon

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/config"
)

// TestReferenceListsEverySetting guards against settings that are missing from docs/settings.md or
// differ from it.
func TestReferenceListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	settings := DefaultSettings()
	is.True(strings.Contains(string(page), config.Reference(&settings)))
}

func TestCheckReportsInvalidSettings(t *testing.T) {
	tests := map[string]struct {
		edit func(s *Settings)
		want string
	}{
		"address that others cannot reach": {func(s *Settings) { s.Listen.HTTP = "0.0.0.0:7400" }, "Listen.HTTP"},
		"address without a port":           {func(s *Settings) { s.Listen.Control = "127.0.0.1" }, "Listen.Control"},
		"no data centre":                   {func(s *Settings) { s.Place.DataCentre = "" }, "Place.DataCentre"},
		"store is no URL":                  {func(s *Settings) { s.Store.Endpoint = "10.0.0.5" }, "Store.Endpoint"},
		"bad contact":                      {func(s *Settings) { s.Peers.Contacts = []string{"x"} }, "Peers.Contacts"},
		"timeout of zero":                  {func(s *Settings) { s.Stop.Timeout = 0 }, "Stop.Timeout"},
		"unknown log level":                {func(s *Settings) { s.Log.Level = "loud" }, "Log.Level"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := DefaultSettings()
			tt.edit(&s)
			ps := s.Check()
			is.Equal(len(ps), 1)
			is.Equal(ps[0].Name, tt.want)
		})
	}
	s := DefaultSettings()
	if ps := s.Check(); len(ps) > 0 {
		t.Errorf("the defaults have problems: %v", ps)
	}
}
