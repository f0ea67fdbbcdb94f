package poison

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/marjoramcroft/marjoramcroft/ident"
)

// BodyPrefix is the length of the part of a request's body that is hashed, in bytes.
const BodyPrefix = 4 << 10

// Fingerprint identifies equal requests.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of a request. The path includes the query. body is
// the beginning of the body, of which at most BodyPrefix bytes are hashed.
func NewFingerprint(member ident.MemberID, route ident.RouteID, method, path string, body []byte) Fingerprint {
	var fp Fingerprint
	body = body[:min(len(body), BodyPrefix)]
	for i := range 2 {
		// Two seeds give 128 bits; with 64, suspects of a busy service might collide.
		d := xxhash.NewWithSeed(uint64(i))
		for _, s := range []string{string(member), string(route), method, path} {
			_, _ = d.WriteString(s)
			_, _ = d.Write([]byte{0})
		}
		_, _ = d.Write(body)
		binary.LittleEndian.PutUint64(fp[8*i:], d.Sum64())
	}
	return fp
}

// String returns the fingerprint in hexadecimal.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:]) }
