package agree

import (
	"fmt"
	"strings"
)

// Problem is a reason why a row is invalid.
type Problem struct {
	Key  Key
	Text string
}

// String returns the key and the reason.
func (p Problem) String() string { return fmt.Sprintf("%s: %s", p.Key, p.Text) }

// Problems is a list of problems that implements error.
type Problems []Problem

// Error joins all problems with semicolons.
func (ps Problems) Error() string {
	texts := make([]string, 0, len(ps))
	for _, p := range ps {
		texts = append(texts, p.String())
	}
	return strings.Join(texts, "; ")
}
