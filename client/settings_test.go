package client

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/marjoramcroft/marjoramcroft/config"
)

// TestReferenceListsEverySetting guards against settings that docs/settings.md omits or describes wrongly.
func TestReferenceListsEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/settings.md")
	is.NoErr(err)
	set := DefaultSettings()
	set.Author = "(user name)"
	is.True(strings.Contains(string(page), config.Reference(&set)))
}
