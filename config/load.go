package config

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the name prefix of the environment variables for settings.
const EnvPrefix = "MARJORAMCROFT"

// Validator validates the loaded settings and returns the problems found.
type Validator func() []Problem

// Loader defines flags for settings and reports problems with the origin of the invalid value.
type Loader struct {
	f *file
}

// NewLoader defines a flag on fs for each setting in the struct that settings points to, and the flag
// -config. The current values of the settings are the defaults.
func NewLoader(fs *flag.FlagSet, settings any) *Loader {
	byName := map[string]*setting{}
	for _, s := range flatten(settings) {
		byName[s.name] = s
		fs.Var(s, s.flagName(), s.help)
	}
	f := &file{byName: byName, lines: map[string]int{}}
	fs.StringVar(&f.path, "config", "", "TOML file with settings")
	return &Loader{f: f}
}

// Options returns the options for ff to parse the environment and the file in addition to the flags.
func (l *Loader) Options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
		ff.WithConfigFileFlag("config"),
		ff.WithConfigFileParser(l.f.parse),
	}
}

// Report returns an error that lists all problems, each with the origin of the value: file and line,
// flag, environment variable or default. args are the arguments that were parsed.
func (l *Loader) Report(args []string, problems []Problem) error {
	return report(l.f, args, problems)
}

// Load sets settings, whose current values are the defaults, from args, the environment and the file
// named by the flag -config, in this order of precedence. It returns an error with the problems that
// check finds, or flag.ErrHelp if args request help.
func Load(fs *flag.FlagSet, args []string, settings any, check Validator) error {
	l := NewLoader(fs, settings)
	if err := ff.Parse(fs, args, l.Options()...); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return flag.ErrHelp
		}
		return fmt.Errorf("load settings: %w", err)
	}
	return l.Report(args, check())
}

func report(f *file, args []string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	texts := make([]string, 0, len(problems))
	for _, p := range problems {
		texts = append(texts, fmt.Sprintf("%s: setting %s: %s", origin(f, args, p.Name), p.Name, p.Text))
	}
	slices.Sort(texts)
	return errors.New(strings.Join(texts, "\n"))
}

// origin returns where the value of the setting name was set.
func origin(f *file, args []string, name string) string {
	flagName := strings.ToLower(name)
	for _, a := range args {
		a, _, _ = strings.Cut(strings.TrimLeft(a, "-"), "=")
		if a == flagName {
			return "flag -" + flagName
		}
	}
	env := EnvName(name)
	if os.Getenv(env) != "" {
		return "environment " + env
	}
	if _, ok := f.lines[name]; ok {
		return f.position(name)
	}
	return "default"
}

// EnvName returns the name of the environment variable for the setting name.
func EnvName(name string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(name, ".", "_"))
}
