// Package audit keeps the hash-chained log of every change, paid step and
// order, exports it as JSON lines and verifies such an export offline.
package audit

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

// Hash is the SHA-256 of an entry, 64 hexadecimal digits in JSON.
type Hash [sha256.Size]byte

// String returns the hash as hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText writes the hash as hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("hash has %d digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("hash: %w", err)
	}
	return nil
}

// Kind names what an entry records.
type Kind string

// The kinds of entries that the store makes.
const (
	KindApply      Kind = "Apply"
	KindRetire     Kind = "Retire"
	KindDrain      Kind = "Drain"
	KindUndrain    Kind = "Undrain"
	KindRefused    Kind = "Refused"
	KindClaim      Kind = "Claim"
	KindDispatch   Kind = "Dispatch"
	KindSettle     Kind = "Settle"
	KindRelease    Kind = "Release"
	KindCrash      Kind = "Crash"
	KindQuarantine Kind = "Quarantine"
	KindRegister   Kind = "Register"
	KindOrder      Kind = "Order"
	KindNote       Kind = "Note"
)

// Event is what an entry records, without its place in the chain.
type Event struct {
	Time time.Time
	Kind Kind
	// Actor is who caused the event: an operator or a process.
	Actor string
	// Request is the request or change that the event belongs to.
	Request string `json:",omitempty"`
	// Subject is what the event happened to.
	Subject string `json:",omitempty"`
	Detail  string `json:",omitempty"`
}

// Entry is one entry of the chain.
type Entry struct {
	// Index counts entries from 1.
	Index uint64
	Event
	// PrevHash is the hash of the entry before, zero for the first.
	PrevHash Hash
	// Hash covers all other fields.
	Hash Hash
}

// Head names the newest entry of a chain; the zero value is an empty chain's.
type Head struct {
	Index uint64
	Hash  Hash
}

// Next returns the entry that follows the head. Text that is not UTF-8 is
// replaced, so that an entry survives JSON unchanged.
func (h Head) Next(event Event) Entry {
	for _, text := range []*string{(*string)(&event.Kind), &event.Actor, &event.Request, &event.Subject, &event.Detail} {
		*text = strings.ToValidUTF8(*text, "\ufffd")
	}
	event.Time = event.Time.UTC()
	entry := Entry{Index: h.Index + 1, Event: event, PrevHash: h.Hash}
	entry.Hash = entry.sum()
	return entry
}

// head returns the head that the entry makes.
func (e *Entry) head() Head {
	return Head{Index: e.Index, Hash: e.Hash}
}

// sum hashes every field but Hash: index and time in nanoseconds as 8 bytes
// each, then each text and PrevHash after its length in 8 bytes, big-endian.
func (e *Entry) sum() Hash {
	var buffer bytes.Buffer
	number := func(value uint64) {
		var scratch [8]byte
		binary.BigEndian.PutUint64(scratch[:], value)
		buffer.Write(scratch[:])
	}
	number(e.Index)
	number(uint64(e.Time.UnixNano()))
	for _, text := range []string{string(e.Kind), e.Actor, e.Request, e.Subject, e.Detail, string(e.PrevHash[:])} {
		number(uint64(len(text)))
		buffer.WriteString(text)
	}
	return sha256.Sum256(buffer.Bytes())
}
