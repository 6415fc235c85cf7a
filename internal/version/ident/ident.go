// Package ident holds the named types for the identifiers and units that
// cross package borders.
package ident

// Names that operators give to what their records describe.
type (
	// CustomerName names a customer, the party that owns a bearer key.
	CustomerName string
	// ModelName names a language model as callers ask for it.
	ModelName string
	// ServiceName names a plain service.
	ServiceName string
	// TargetName names a target: one model replica or one service replica.
	TargetName string
	// VMName names a VM.
	VMName string
	// DomainName names a failure domain.
	DomainName string
	// RegionName names a region, a set of failure domains.
	RegionName string
)

// Identifiers that processes draw.
type (
	// RequestID identifies one request of one caller.
	RequestID string
	// AttemptID identifies one attempt of a request at one target.
	AttemptID string
	// ChangeID identifies one change of an operator, so that a resend is known.
	ChangeID string
	// ChatKey identifies a chat: a caller's header or the hash of its prefix.
	ChatKey uint64
	// Fingerprint identifies the content of a request across resends.
	Fingerprint uint64
)

// Counters that only rise.
type (
	// Revision counts committed configuration changes.
	Revision uint64
	// Incarnation counts the starts of one process.
	Incarnation uint64
	// Fence orders the orders given to one engine.
	Fence uint64
	// Version counts the changes of one record.
	Version uint64
)

// Units that no standard type carries.
type (
	// Tokens counts model tokens.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
)
