// Package audit keeps a hash-chained log of configuration changes,
// ledger steps of requests and orders to targets. It exports the log as JSON
// lines and verifies such an export offline.
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

// UnmarshalText parses 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("hash has %d digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return fmt.Errorf("decode hash: %w", err)
	}
	return nil
}

// Kind is the kind of event that an entry records.
type Kind string

// The kinds of events that the store records.
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
	KindEvacuate   Kind = "Evacuate"
	KindReadmit    Kind = "Readmit"
)

// Event is the content of an entry, without its position in the chain.
type Event struct {
	Time time.Time
	Kind Kind
	// Actor is the operator or process that caused the event.
	Actor string
	// Request is the id of the request or change that the event belongs to.
	Request string `json:",omitempty"`
	// Subject is the object that the event affected, such as a record.
	Subject string `json:",omitempty"`
	Detail  string `json:",omitempty"`
}

// Entry is one entry of the chain.
type Entry struct {
	// Index is the entry's position in the chain, starting at 1.
	Index uint64
	Event
	// PrevHash is the hash of the previous entry, zero for the first entry.
	PrevHash Hash
	// Hash covers all other fields.
	Hash Hash
}

// Head identifies the newest entry of a chain. The zero value is the head of an
// empty chain.
type Head struct {
	Index uint64
	Hash  Hash
}

// Next returns the entry that follows the head. Invalid UTF-8 is replaced, so
// that encoding the entry as JSON does not change it.
func (h Head) Next(event Event) Entry {
	for _, text := range []*string{(*string)(&event.Kind), &event.Actor, &event.Request, &event.Subject, &event.Detail} {
		*text = strings.ToValidUTF8(*text, "\ufffd")
	}
	event.Time = event.Time.UTC()
	entry := Entry{Index: h.Index + 1, Event: event, PrevHash: h.Hash}
	entry.Hash = entry.sum()
	return entry
}

// head returns the head of a chain that ends with the entry.
func (e *Entry) head() Head {
	return Head{Index: e.Index, Hash: e.Hash}
}

// sum hashes every field except Hash. The index and the time in nanoseconds are
// written as 8 bytes each; every string and PrevHash is preceded by its length
// in 8 bytes. All numbers are big-endian.
func (e *Entry) sum() Hash {
	var buffer bytes.Buffer
	writeUint64 := func(value uint64) {
		var encoded [8]byte
		binary.BigEndian.PutUint64(encoded[:], value)
		buffer.Write(encoded[:])
	}
	writeUint64(e.Index)
	writeUint64(uint64(e.Time.UnixNano()))
	for _, text := range []string{string(e.Kind), e.Actor, e.Request, e.Subject, e.Detail, string(e.PrevHash[:])} {
		writeUint64(uint64(len(text)))
		buffer.WriteString(text)
	}
	return sha256.Sum256(buffer.Bytes())
}
