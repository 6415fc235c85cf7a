package record

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Duration is a time.Duration that is encoded in JSON as text such as "1.5s".
type Duration struct {
	time.Duration
}

// MarshalText formats the duration as time.Duration.String does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses a duration as time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	d.Duration = parsed
	return nil
}

// KeyHash is the SHA-256 hash of a bearer key. In JSON it is 64 lower-case
// hexadecimal digits.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a bearer key is stored.
func HashKey(bearer string) KeyHash {
	return sha256.Sum256([]byte(bearer))
}

// MarshalText formats the hash as hexadecimal digits.
func (k KeyHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(k[:])), nil
}

// UnmarshalText parses 64 hexadecimal digits.
func (k *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(k)) {
		return fmt.Errorf("key hash has %d digits, want %d", len(text), hex.EncodedLen(len(k)))
	}
	if _, err := hex.Decode(k[:], text); err != nil {
		return fmt.Errorf("key hash: %w", err)
	}
	return nil
}
