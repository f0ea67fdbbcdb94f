package accept

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// NotRestorableError states why a Version cannot be restored, and the Versions that can be. It wraps
// ErrNotRestorable.
type NotRestorableError struct {
	Version    ident.Version // 0: the newest intact one was asked for
	Err        error
	Restorable []ident.Version // ascending
	ListErr    error           // why Restorable could not be read
}

// Error returns the cause and the Versions that can be restored.
func (e *NotRestorableError) Error() string {
	subject := fmt.Sprintf("version %d", e.Version)
	if e.Version == 0 {
		subject = "no intact version"
	}
	restorable := "none"
	switch {
	case e.ListErr != nil:
		restorable = "not known: " + e.ListErr.Error()
	case len(e.Restorable) > 0:
		restorable = describeVersions(e.Restorable)
	}
	return fmt.Sprintf("%s: %s: %s; versions that can be restored: %s", ErrNotRestorable, subject, e.Err, restorable)
}

// Unwrap returns ErrNotRestorable.
func (e *NotRestorableError) Unwrap() error { return ErrNotRestorable }

func sortedVersions(set map[ident.Version]struct{}) []ident.Version {
	return slices.Sorted(maps.Keys(set))
}

// describeVersions formats ascending Versions, with consecutive ones as a range, as in "1, 4-9".
func describeVersions(vs []ident.Version) string {
	var out []string
	for i := 0; i < len(vs); {
		j := i
		for j+1 < len(vs) && vs[j+1] == vs[j]+1 {
			j++
		}
		text := fmt.Sprint(vs[i])
		if j > i {
			text = fmt.Sprintf("%d-%d", vs[i], vs[j])
		}
		out, i = append(out, text), j+1
	}
	return strings.Join(out, ", ")
}
