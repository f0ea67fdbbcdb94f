// Package poison detects requests that crash backend servers and refuses them.
package poison
