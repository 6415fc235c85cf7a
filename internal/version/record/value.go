package record

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Duration is a time.Duration that JSON carries as text such as "1.5s".
type Duration struct {
	time.Duration
}

// MarshalText writes the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads what time.ParseDuration takes.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	d.Duration = parsed
	return nil
}

// KeyHash is the SHA-256 of a bearer key, 64 lower-case hexadecimal digits in
// JSON.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a bearer key is stored.
func HashKey(bearer string) KeyHash {
	return sha256.Sum256([]byte(bearer))
}

// MarshalText writes the hash as hexadecimal digits.
func (k KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(k[:])), nil
}

// UnmarshalText reads 64 hexadecimal digits.
func (k *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(k)) {
		return fmt.Errorf("key hash has %d digits, want %d", len(text), hex.EncodedLen(len(k)))
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return fmt.Errorf("key hash: %w", err)
	}
	return nil
}
