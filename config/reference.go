package config

import (
	"fmt"
	"strings"
)

// Reference returns a Markdown table of all settings. The current values of settings are the defaults.
func Reference(settings any) string {
	var b strings.Builder
	b.WriteString("| setting | flag | environment | default | meaning |\n|---|---|---|---|---|\n")
	for _, s := range flatten(settings) {
		def := s.String()
		if def == "" {
			def = "(empty)"
		}
		fmt.Fprintf(&b, "| `%s` | `-%s` | `%s` | %s | %s |\n", s.name, s.flagName(), EnvName(s.name), def, s.help)
	}
	return b.String()
}
