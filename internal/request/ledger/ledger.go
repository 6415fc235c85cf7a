// Package ledger decides which attempt of a request that is not repeatable
// may run. It is deterministic: the same steps give the same state, since the
// time of each step is handed in.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Key identifies a request across resends within the whole system.
type Key [16]byte

// KeyOf returns the key of a customer's Idempotency-Key: the first half of
// the SHA-256 over both.
func KeyOf(customer ident.CustomerName, idempotencyKey string) Key {
	data := make([]byte, 0, 8+len(customer)+len(idempotencyKey))
	data = binary.BigEndian.AppendUint64(data, uint64(len(customer)))
	data = append(data, customer...)
	data = append(data, idempotencyKey...)
	sum := sha256.Sum256(data)
	return Key(sum[:len(Key{})])
}

// State is what the ledger knows of a key.
type State uint8

// The states of a key.
const (
	// StateFree: nothing has run, a claim is granted.
	StateFree State = iota
	// StateRunning: an attempt holds the key.
	StateRunning
	// StateSettled: the attempt ran, its answer is recorded.
	StateSettled
	// StateUnknown: the attempt may have run.
	StateUnknown
	// StateReleased: the last attempt is proved never to run.
	StateReleased
	// StateExpired: the attempt ran, its answer is no longer kept.
	StateExpired
)

// Header is one header field of a recorded answer.
type Header struct {
	Name, Value string
}

// Answer is the answer that a settled request got.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// Truncated says that the body was longer than what is recorded.
	Truncated bool
}

// Claim asks for a key on behalf of one attempt.
type Claim struct {
	Key         Key
	Fingerprint ident.Fingerprint
	Attempt     ident.AttemptID
	Target      ident.TargetName
	// Incarnation is that of the target's sidecar.
	Incarnation ident.Incarnation
	// Replaces proves that the attempt which holds the key never runs, if any.
	Replaces *Proof
}

// ProofKind says how it is known that an attempt never runs.
type ProofKind uint8

// The kinds of proof.
const (
	// ProofNone proves nothing.
	ProofNone ProofKind = iota
	// ProofNotSent: the claim's owner sent nothing.
	ProofNotSent
	// ProofRefused: the sidecar refused the attempt before dispatch.
	ProofRefused
	// ProofTombstone: the sidecar had not seen the attempt and refuses it from
	// now on.
	ProofTombstone
)

// Proof says that an attempt never runs.
type Proof struct {
	Kind    ProofKind
	Attempt ident.AttemptID
	// Incarnation is that of the sidecar that refused or tombstoned.
	Incarnation ident.Incarnation
}

// Settlement says how an attempt ended.
type Settlement struct {
	Key     Key
	Attempt ident.AttemptID
	// Unknown says that the attempt may have run; Answer is then nil.
	Unknown bool
	Answer  *Answer
}

// Reply is what the ledger holds for a key after a step.
type Reply struct {
	State State
	// Granted says that the claim's attempt holds the key.
	Granted bool
	// Attempt, Target and Incarnation tell which attempt holds the key or ended.
	Attempt     ident.AttemptID
	Target      ident.TargetName
	Incarnation ident.Incarnation
	Dispatched  bool
	// Answer is the recorded answer of a settled key.
	Answer *Answer
	// RetryAfter says when to come back for a running attempt.
	RetryAfter time.Duration
}

// Defaults of Config.
const (
	defaultShards      = 64
	defaultAnswerKept  = 10 * time.Minute
	defaultKeyKept     = 24 * time.Hour
	defaultMaxRunning  = time.Hour
	defaultRetryAfter  = 500 * time.Millisecond
	defaultMaxAnswer   = 16 << 10 // bytes
	defaultAnswerBytes = 8 << 20  // bytes
)

// Config configures a Ledger; a zero field takes its default. All fields must
// be the same on all replicas.
type Config struct {
	// Shards is the number of independently locked parts; 0 means 64.
	Shards int
	// AnswerTTL is how long answers are kept; 0 means 10 minutes.
	AnswerTTL time.Duration
	// MaxEndedBytes bounds the ended entries with their answers. Above it the
	// oldest answers go early. 0 means 8 MiB.
	MaxEndedBytes ident.Bytes
	// KeyTTL is how long a key is known after its attempt ended; 0 means 24
	// hours.
	KeyTTL time.Duration
	// MaxRunning is how long an attempt may hold a key before its outcome
	// counts as unknown; 0 means 1 hour.
	MaxRunning time.Duration
	// MaxAnswerBytes bounds one recorded body; 0 means 16 KiB.
	MaxAnswerBytes ident.Bytes
	// RetryAfter is told to those that find the key running; 0 means 500 ms.
	RetryAfter time.Duration
}

// withDefaults returns the configuration with its zero fields filled in.
func (c Config) withDefaults() Config {
	setDefault(&c.Shards, defaultShards)
	setDefault(&c.AnswerTTL, defaultAnswerKept)
	setDefault(&c.MaxEndedBytes, defaultAnswerBytes)
	setDefault(&c.KeyTTL, defaultKeyKept)
	setDefault(&c.MaxRunning, defaultMaxRunning)
	setDefault(&c.MaxAnswerBytes, defaultMaxAnswer)
	setDefault(&c.RetryAfter, defaultRetryAfter)
	return c
}

// setDefault fills in a field that is not positive.
func setDefault[T ~int | ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Ledger holds the keys. Its methods may be called at the same time; to stay
// deterministic, steps must come one after the other.
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

// Lookup returns what is held for a key, without changing it.
func (l *Ledger) Lookup(key Key) Reply {
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(key)
}

// Expire lets what has become too old expire in every shard.
func (l *Ledger) Expire(now time.Time) {
	for _, s := range l.shards {
		s.mu.Lock()
		s.expire(now)
		s.mu.Unlock()
	}
}

// KeyCounts returns the number of keys held in full and of those compacted.
func (l *Ledger) KeyCounts() (full, compacted int) {
	for _, s := range l.shards {
		s.mu.Lock()
		full += len(s.live)
		compacted += s.archive.len()
		s.mu.Unlock()
	}
	return full, compacted
}
