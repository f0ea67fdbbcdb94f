package dedup

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strings"

	"github.com/marjoramcroft/marjoramcroft/ident"
	"github.com/marjoramcroft/marjoramcroft/wire"
)

// boundPrefix marks bound keys. Callers must not use it for their own keys.
const boundPrefix = "mjcr1."

// ErrKey reports a malformed idempotency key.
var ErrKey = errors.New("malformed idempotency key")

// Key is an idempotency key as the caller sends it. A free key is chosen by the caller, and
// its home follows from the holder list. A bound key is issued by its home.
type Key string

// Bound is the decoded content of a bound key, whose home never changes.
type Bound struct {
	Home        ident.Addr
	Incarnation ident.Incarnation
	Issued      int64 // Unix seconds on the clock of the home, which issues the key
	Nonce       uint64
}

// Key encodes b as a key.
func (b Bound) Key() (Key, error) {
	data, err := wire.Encode(b)
	if err != nil {
		return "", err
	}
	return Key(boundPrefix + base64.RawURLEncoding.EncodeToString(data)), nil
}

// Parse validates k. It returns the content of a bound key and nil for a free key. Errors
// wrap ErrKey.
func (k Key) Parse() (*Bound, error) {
	if k == "" || len(k) > MaxKey {
		return nil, fmt.Errorf("%w: %d bytes, must be 1 to %d", ErrKey, len(k), MaxKey)
	}
	text, ok := strings.CutPrefix(string(k), boundPrefix)
	if !ok {
		return nil, nil
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKey, err)
	}
	var b Bound
	if err := wire.Decode(data, &b); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrKey, err)
	}
	if b.Home == "" {
		return nil, fmt.Errorf("%w: no home", ErrKey)
	}
	return &b, nil
}
