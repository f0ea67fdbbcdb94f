// Package config loads settings from defaults, a TOML file, the environment and flags, and reports
// invalid settings with the origin of the value, such as file and line.
package config
