// Package quota enforces caps: a keeper per service grants floating units to the holders,
// which admit calls.
package quota
