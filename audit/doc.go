// Package audit accounts for the calls in the logs of daemons: how calls of each route ended, why some were not
// answered, and where their attempts went.
package audit
