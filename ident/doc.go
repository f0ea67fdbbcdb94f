// Package ident defines the types for identifiers, places and units that all packages share.
package ident
