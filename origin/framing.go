package origin

import (
	"errors"
	"net/http"
	"strings"
)

// errInvalidFraming accompanies ErrInvalidAnswer if the end of the answer's body is not known.
var errInvalidFraming = errors.New("space in the name of a framing header field")

// checkFraming returns an error if net/http has ignored a header field that tells where the body ends. It keeps names
// that end with a space as they are, and reads such an answer until the connection ends, as one without a length.
func checkFraming(h http.Header) error {
	for name := range h {
		short := strings.TrimSpace(name)
		if len(short) == len(name) {
			continue
		}
		if strings.EqualFold(short, "Content-Length") || strings.EqualFold(short, "Transfer-Encoding") {
			return errInvalidFraming
		}
	}
	return nil
}
