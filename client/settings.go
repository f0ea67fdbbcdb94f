package client

import (
	"net/url"
	"os/user"
	"time"

	"github.com/marjoramcroft/marjoramcroft/config"
)

// Settings are the settings of the client.
type Settings struct {
	Store   StoreConfig
	Daemons []string      `help:"HTTP addresses of daemons, HOST:PORT, for status, explain, key and retire"`
	Author  string        `help:"who makes changes, as kept in the history"`
	Timeout time.Duration `help:"longest time of a command, except load"`
	JSON    bool          `help:"print JSON instead of text"`
}

// StoreConfig says how the platform's store is reached.
type StoreConfig struct {
	Endpoint string `help:"URL of the store"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	author := "operator"
	if u, err := user.Current(); err == nil && u.Username != "" {
		author = u.Username
	}
	return Settings{
		Store:   StoreConfig{Endpoint: "http://127.0.0.1:2379"},
		Daemons: []string{"127.0.0.1:7400"},
		Author:  author,
		Timeout: time.Minute,
	}
}

// Check returns all problems of the settings.
func (s *Settings) Check() []config.Problem {
	var ps []config.Problem
	if u, err := url.Parse(s.Store.Endpoint); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		ps = append(ps, config.Problemf("Store.Endpoint", "%q is not an http or https URL", s.Store.Endpoint))
	}
	if s.Author == "" {
		ps = append(ps, config.Problemf("Author", "must not be empty"))
	}
	if s.Timeout <= 0 {
		ps = append(ps, config.Problemf("Timeout", "%s must be above 0", s.Timeout))
	}
	return ps
}
