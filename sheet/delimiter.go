package sheet

import "bytes"

// detectDelimiter returns the first comma, semicolon or tab outside of quotes, or a comma if
// there is none. Quotes are tracked per line.
func detectDelimiter(data []byte) rune {
	for line := range bytes.Lines(data) {
		quoted := false
		for _, b := range line {
			switch {
			case b == '"':
				quoted = !quoted
			case !quoted && (b == ',' || b == ';' || b == '\t'):
				return rune(b)
			}
		}
	}
	return ','
}
