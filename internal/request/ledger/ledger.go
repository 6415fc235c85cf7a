// Package ledger decides which attempt of a request may run when the request is
// not idempotent. At most one attempt holds the request's key, and it is
// replaced only on proof that it never runs.
//
// The ledger is a deterministic state machine: the same steps lead to the same
// state, since the caller passes the time of each step.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Key identifies a request and all its resends in the whole system.
type Key [16]byte

// KeyOf returns the key for a customer's Idempotency-Key: the first 16 bytes of
// the SHA-256 hash of both.
func KeyOf(customer ident.CustomerName, idempotencyKey string) Key {
	data := make([]byte, 0, 8+len(customer)+len(idempotencyKey))
	data = binary.BigEndian.AppendUint64(data, uint64(len(customer)))
	data = append(data, customer...)
	data = append(data, idempotencyKey...)
	sum := sha256.Sum256(data)
	return Key(sum[:len(Key{})])
}

// State is the state of a key.
type State uint8

// The states of a key.
const (
	// StateFree means that the ledger does not hold the key; a claim is granted.
	StateFree State = iota
	// StateRunning means that an attempt holds the key and has not ended.
	StateRunning
	// StateSettled means that the attempt ran and its answer is recorded.
	StateSettled
	// StateOutcomeUnknown means that the attempt may or may not have run.
	StateOutcomeUnknown
	// StateReleased means that the last attempt is proved never to run; a claim
	// by another attempt is granted.
	StateReleased
	// StateExpired means that the attempt ran and its answer was discarded.
	StateExpired
)

// Header is one header field of a recorded answer.
type Header struct {
	Name, Value string
}

// Answer is the recorded answer of a settled request.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Truncated means that the recorded body or header fields are incomplete.
	Truncated bool
}

// Claim requests a key for an attempt.
type Claim struct {
	Key         Key
	Fingerprint ident.Fingerprint
	Attempt     ident.AttemptID
	Target      ident.TargetName
	// Incarnation is the incarnation of the target's sidecar.
	Incarnation ident.Incarnation
	// ReplacementProof proves that the attempt that holds the key never runs. It
	// is nil if the claim replaces no attempt.
	ReplacementProof *Proof
}

// ProofKind is the reason why an attempt is known never to run.
type ProofKind uint8

// The kinds of proof.
const (
	// ProofNone proves nothing.
	ProofNone ProofKind = iota
	// ProofNotSent means that the router that claimed the key did not send the
	// attempt.
	ProofNotSent
	// ProofRefused means that the sidecar refused the attempt before dispatch.
	ProofRefused
	// ProofTombstone means that the sidecar had not received the attempt and
	// will refuse it from now on.
	ProofTombstone
)

// Proof is evidence that an attempt never runs.
type Proof struct {
	Kind    ProofKind
	Attempt ident.AttemptID
	// Incarnation is the incarnation of the sidecar that refused or tombstoned
	// the attempt.
	Incarnation ident.Incarnation
}

// Settlement reports how an attempt ended.
type Settlement struct {
	Key     Key
	Attempt ident.AttemptID
	// OutcomeUnknown means that the attempt may or may not have run. Answer is
	// then nil.
	OutcomeUnknown bool
	Answer         *Answer
}

// Reply describes a key after a step.
type Reply struct {
	State State
	// Granted means that the claiming attempt holds the key.
	Granted bool
	// Attempt, Target and Incarnation describe the attempt that holds or last
	// held the key.
	Attempt     ident.AttemptID
	Target      ident.TargetName
	Incarnation ident.Incarnation
	// Dispatched means that the attempt is recorded as being sent to its target.
	Dispatched bool
	// Answer is the recorded answer of a settled key.
	Answer *Answer
	// RetryAfter is the delay after which to retry while an attempt is running.
	RetryAfter time.Duration
}

// Defaults of Config.
const (
	defaultShards         = 64
	defaultAnswerTTL      = 10 * time.Minute
	defaultKeyTTL         = 24 * time.Hour
	defaultMaxRunning     = time.Hour
	defaultRetryAfter     = 500 * time.Millisecond
	defaultMaxAnswerBytes = 16 << 10 // bytes
	defaultMaxEndedBytes  = 8 << 20  // bytes
)

// Config configures a Ledger. A field that is not positive takes its default. All
// fields must be the same on all replicas.
type Config struct {
	// Shards is the number of independently locked shards; 0 means 64.
	Shards int
	// AnswerTTL is how long an ended entry, that is one that is not in
	// StateRunning, is kept with its answer before it is compacted to its key;
	// 0 means 10 minutes.
	AnswerTTL time.Duration
	// MaxEndedBytes bounds the memory of ended entries and their answers. Above
	// it the oldest entries are compacted early. 0 means 8 MiB.
	MaxEndedBytes ident.Bytes
	// KeyTTL is how long a key is kept after its attempt ended; 0 means 24
	// hours.
	KeyTTL time.Duration
	// MaxRunning is how long an attempt may hold a key before its state becomes
	// StateOutcomeUnknown; 0 means 1 hour.
	MaxRunning time.Duration
	// MaxAnswerBytes bounds the recorded body of one answer; 0 means 16 KiB.
	MaxAnswerBytes ident.Bytes
	// RetryAfter is the retry delay in replies for a running attempt; 0 means
	// 500 ms.
	RetryAfter time.Duration
}

// withDefaults returns the configuration with defaults in place of the fields
// that are not positive.
func (c Config) withDefaults() Config {
	setDefault(&c.Shards, defaultShards)
	setDefault(&c.AnswerTTL, defaultAnswerTTL)
	setDefault(&c.MaxEndedBytes, defaultMaxEndedBytes)
	setDefault(&c.KeyTTL, defaultKeyTTL)
	setDefault(&c.MaxRunning, defaultMaxRunning)
	setDefault(&c.MaxAnswerBytes, defaultMaxAnswerBytes)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	return c
}

// setDefault sets field to value unless it is positive.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Ledger holds the state of all keys. It is safe for concurrent use, but its
// state is deterministic only if the steps are applied one after the other.
type Ledger struct {
	cfg    Config
	shards []*shard
}

// New returns an empty ledger.
func New(cfg Config) *Ledger {
	cfg = cfg.withDefaults()
	l := &Ledger{cfg: cfg, shards: make([]*shard, cfg.Shards)}
	for i := range l.shards {
		l.shards[i] = newShard(cfg)
	}
	return l
}

// shardOf returns the shard of a key.
func (l *Ledger) shardOf(key Key) *shard {
	return l.shards[binary.BigEndian.Uint32(key[:4])%uint32(len(l.shards))]
}

// Lookup returns the state of a key without changing it.
func (l *Ledger) Lookup(key Key) Reply {
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(key)
}

// Expire expires the attempts, answers and keys in all shards that are too old
// at now.
func (l *Ledger) Expire(now time.Time) {
	for _, s := range l.shards {
		s.mu.Lock()
		s.expire(now)
		s.mu.Unlock()
	}
}

// KeyCounts returns the number of keys with a full entry and the number of
// compacted keys.
func (l *Ledger) KeyCounts() (full, compacted int) {
	for _, s := range l.shards {
		s.mu.Lock()
		full += len(s.entries)
		compacted += s.archive.len()
		s.mu.Unlock()
	}
	return full, compacted
}
