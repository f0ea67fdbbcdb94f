// Package peers implements membership of daemons and discovery of backend servers.
package peers
