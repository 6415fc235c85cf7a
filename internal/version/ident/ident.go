// Package ident defines named types for the identifiers and units that
// several packages use.
package ident

import "fmt"

// Names of customers, models, services, targets and machines.
type (
	// CustomerName names a customer, the party that owns a bearer key.
	CustomerName string
	// ModelName names a language model as callers ask for it.
	ModelName string
	// ServiceName names a service other than a model engine.
	ServiceName string
	// TargetName names a target: one model replica or one service replica.
	TargetName string
	// VMName names a VM.
	VMName string
	// DomainName names a failure domain.
	DomainName string
	// SoftwareVersion names a version of the software of targets. What two versions
	// write in one stream does not fit together.
	SoftwareVersion string
	// RegionName names a region, a set of failure domains.
	RegionName string
)

// Identifiers of requests, attempts, changes and their contents.
type (
	// RequestID identifies one request of one caller.
	RequestID string
	// AttemptID identifies one attempt of a request at one target.
	AttemptID string
	// ChangeID identifies one change of an operator, so that a resend is
	// recognized.
	ChangeID string
	// ChatKey identifies a chat by a caller's header or by the hash of the
	// chat's prefix.
	ChatKey uint64
	// Fingerprint identifies the content of a request across resends, or one part of
	// prompts.
	Fingerprint uint64
	// PartID identifies one part of a prompt. Prompts that start with the same parts
	// share a prefix.
	PartID uint64
)

// Counters that never decrease.
type (
	// Revision counts committed configuration changes.
	Revision uint64
	// Incarnation counts the starts of one process.
	Incarnation uint64
	// Fence is the fencing token of orders to one engine; orders with an old token
	// are rejected.
	Fence uint64
	// Version is the version of one record or of the routing document.
	Version uint64
)

// Units that have no type in the standard library.
type (
	// Tokens counts model tokens.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
	// Rate is a number of requests per second.
	Rate float64
)

// String returns the fingerprint in hexadecimal, with leading zeros.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// String returns the ID in hexadecimal, with leading zeros.
func (p PartID) String() string { return fmt.Sprintf("%016x", uint64(p)) }
