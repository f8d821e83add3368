package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"io"
)

// Key identifies a request over all attempts of its caller, at any gateway. It is a digest: neither the
// caller's data nor its key can be read from it.
type Key [16]byte

// Identity holds what all attempts at a request have in common. Attempts differ in their id, deadline
// and position in a stream.
type Identity struct {
	Tenant, Host, Method, Target string
	// Program, Session and PreviousTurn tell requests with the same text apart.
	Program, Session, PreviousTurn string
	Body                           []byte
}

// KeyOf returns the key of a request.
func KeyOf(identity Identity) Key {
	digest := sha256.New()
	for _, text := range []string{
		identity.Tenant, identity.Host, identity.Method, identity.Target, identity.Program, identity.Session, identity.PreviousTurn,
	} {
		writeField(digest, []byte(text))
	}
	writeField(digest, identity.Body)
	return Key(digest.Sum(nil)[:len(Key{})])
}

// writeField adds a field with its length, so that text cannot move between fields.
func writeField(digest hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	digest.Write(length[:])
	digest.Write(field)
}

// String returns the key in hexadecimal, as logs and commands show it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(k) {
		return fmt.Errorf("quarantine: key %q: %w", text, io.ErrUnexpectedEOF)
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return fmt.Errorf("quarantine: key %q: %w", text, err)
	}
	return nil
}
