// Package health tracks the health of targets from the results of real requests
// and of a few probes. It ejects targets that fail or are much slower than
// their pool, ejects those that flap for longer, and readmits targets
// gradually.
package health

import (
	"cmp"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultShards              = 16
	DefaultConsecutiveFailures = 5
	DefaultFailureRate         = 0.5
	DefaultMinResults          = 20
	DefaultLatencyFactor       = 4.0
	DefaultMinUsableShare      = 0.5
	DefaultBaseEjectionTime    = 5 * time.Second
	DefaultMaxEjectionTime     = 5 * time.Minute
	DefaultPenaltyHalfLife     = time.Minute
	DefaultSuppressThreshold   = 4.0
	DefaultSlowStart           = 30 * time.Second
	DefaultSlowStartMinWeight  = 0.1
	DefaultProbeInterval       = time.Minute
	DefaultMinProbeInterval    = 2 * time.Second
	DefaultProbeSize           = 900
	DefaultProbeRate           = 500
)

// Config holds the limits of a Checker.
type Config struct {
	Shards int
	// ConsecutiveFailures is the number of failures in a row that ejects a
	// target.
	ConsecutiveFailures int
	// FailureRate is the share of failures that ejects a target, once at least
	// MinResults recent results are known. MinResults is capped at 10.
	FailureRate float64
	MinResults  float64
	// LatencyFactor is the ratio of a target's geometric mean latency to that
	// of its pool above which the target is ejected.
	LatencyFactor float64
	// MinUsableShare is the share of a pool that is never ejected.
	MinUsableShare float64
	// BaseEjectionTime is the duration of a first ejection. It doubles with
	// each recent ejection or rejoin, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// PenaltyHalfLife is the half-life of the penalty for ejections and
	// rejoins.
	PenaltyHalfLife time.Duration
	// SuppressThreshold is the penalty at which a rejoining target is ejected
	// at once.
	SuppressThreshold float64
	// SlowStart is the time in which the weight of a target rises from
	// SlowStartMinWeight to 1.
	SlowStart          time.Duration
	SlowStartMinWeight float64
	// ProbeInterval is the time without a result after which a target is
	// probed.
	ProbeInterval time.Duration
	// MinProbeInterval is the minimum time between two probes of a target, in
	// which the first one gets its result.
	MinProbeInterval time.Duration
	// ProbeSize is the traffic of one probe, including its reply and all
	// headers.
	ProbeSize ident.Bytes
	// ProbeRate limits the traffic of all probes per second.
	ProbeRate ident.Bytes
}

func (c Config) withDefaults() Config {
	c.Shards = cmp.Or(c.Shards, DefaultShards)
	c.ConsecutiveFailures = cmp.Or(c.ConsecutiveFailures, DefaultConsecutiveFailures)
	c.FailureRate = cmp.Or(c.FailureRate, DefaultFailureRate)
	c.MinResults = cmp.Or(c.MinResults, DefaultMinResults)
	c.LatencyFactor = cmp.Or(c.LatencyFactor, DefaultLatencyFactor)
	c.MinUsableShare = cmp.Or(c.MinUsableShare, DefaultMinUsableShare)
	c.BaseEjectionTime = cmp.Or(c.BaseEjectionTime, DefaultBaseEjectionTime)
	c.MaxEjectionTime = cmp.Or(c.MaxEjectionTime, DefaultMaxEjectionTime)
	c.PenaltyHalfLife = cmp.Or(c.PenaltyHalfLife, DefaultPenaltyHalfLife)
	c.SuppressThreshold = cmp.Or(c.SuppressThreshold, DefaultSuppressThreshold)
	c.SlowStart = cmp.Or(c.SlowStart, DefaultSlowStart)
	c.SlowStartMinWeight = cmp.Or(c.SlowStartMinWeight, DefaultSlowStartMinWeight)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, DefaultProbeInterval)
	c.MinProbeInterval = cmp.Or(c.MinProbeInterval, DefaultMinProbeInterval)
	c.ProbeSize = cmp.Or(c.ProbeSize, DefaultProbeSize)
	c.ProbeRate = cmp.Or(c.ProbeRate, DefaultProbeRate)
	return c
}
