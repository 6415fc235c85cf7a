// Package health judges targets by the real traffic to them and by a few
// probes. It ejects targets that fail or are much slower than their pool,
// holds those that flap out for longer, and lets them back in by degrees.
package health

import (
	"cmp"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultShards        = 16
	DefaultFailures      = 5
	DefaultFailureRate   = 0.5
	DefaultMinVolume     = 20
	DefaultLatencyFactor = 4.0
	DefaultMinUsable     = 0.5
	DefaultEjectFor      = 5 * time.Second
	DefaultMaxEject      = 5 * time.Minute
	DefaultFlapHalfLife  = time.Minute
	DefaultSuppressAt    = 4.0
	DefaultSlowStart     = 30 * time.Second
	DefaultSlowStartFrom = 0.1
	DefaultProbeEvery    = time.Minute
	DefaultProbeTimeout  = 2 * time.Second
	DefaultProbeSize     = 900
	DefaultProbeRate     = 500
)

// Config sets the limits of a Checker.
type Config struct {
	Shards int
	// Failures in a row eject a target.
	Failures int
	// FailureRate is the share of failures that ejects a target of which
	// MinVolume results are known.
	FailureRate float64
	MinVolume   float64
	// LatencyFactor is how many times the pool's geometric mean the latency of
	// a target may be.
	LatencyFactor float64
	// MinUsable is the share of a pool that is never ejected.
	MinUsable float64
	// EjectFor is the first time out; it doubles with each recent ejection or
	// join, up to MaxEject.
	EjectFor time.Duration
	MaxEject time.Duration
	// FlapHalfLife is the time in which half of the penalty for flapping
	// decays.
	FlapHalfLife time.Duration
	// SuppressAt is the penalty with which a target that joins stays out for a
	// while.
	SuppressAt float64
	// SlowStart is the time in which the weight rises from SlowStartFrom to 1.
	SlowStart     time.Duration
	SlowStartFrom float64
	// ProbeEvery is how long a target may be unheard before it is probed.
	ProbeEvery time.Duration
	// ProbeTimeout is how long a probe may be out before another may follow.
	ProbeTimeout time.Duration
	// ProbeSize is what one probe costs with its reply and all headers.
	ProbeSize ident.Bytes
	// ProbeRate is what all probes may cost in a second.
	ProbeRate ident.Bytes
}

func (c Config) withDefaults() Config {
	c.Shards = cmp.Or(c.Shards, DefaultShards)
	c.Failures = cmp.Or(c.Failures, DefaultFailures)
	c.FailureRate = cmp.Or(c.FailureRate, DefaultFailureRate)
	c.MinVolume = cmp.Or(c.MinVolume, DefaultMinVolume)
	c.LatencyFactor = cmp.Or(c.LatencyFactor, DefaultLatencyFactor)
	c.MinUsable = cmp.Or(c.MinUsable, DefaultMinUsable)
	c.EjectFor = cmp.Or(c.EjectFor, DefaultEjectFor)
	c.MaxEject = cmp.Or(c.MaxEject, DefaultMaxEject)
	c.FlapHalfLife = cmp.Or(c.FlapHalfLife, DefaultFlapHalfLife)
	c.SuppressAt = cmp.Or(c.SuppressAt, DefaultSuppressAt)
	c.SlowStart = cmp.Or(c.SlowStart, DefaultSlowStart)
	c.SlowStartFrom = cmp.Or(c.SlowStartFrom, DefaultSlowStartFrom)
	c.ProbeEvery = cmp.Or(c.ProbeEvery, DefaultProbeEvery)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, DefaultProbeTimeout)
	c.ProbeSize = cmp.Or(c.ProbeSize, DefaultProbeSize)
	c.ProbeRate = cmp.Or(c.ProbeRate, DefaultProbeRate)
	return c
}
