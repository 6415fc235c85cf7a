package gate

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// maxPromptParts bounds the parts of one prompt that are tracked.
	maxPromptParts = 64
	// maxReportedParts bounds the parts in the report of one crash.
	maxReportedParts = 512
	// survivalPeriod is how long a target must go on after the first event of a stream
	// to have survived the request.
	survivalPeriod = 250 * time.Millisecond
	// Each shard of a survivalLog keeps up to two generations of parts.
	survivalShards     = 8
	survivalGeneration = 256
)

// sharedParts returns the parts of the prompt but the last, as they would be reported
// if they had been sent at the given time.
func (c *call) sharedParts(sentAt time.Time) []poison.PartInFlight {
	if c.partFingerprints == nil {
		c.partFingerprints = c.hashParts()
	}
	parts := make([]poison.PartInFlight, 0, len(c.partFingerprints))
	for i, fingerprint := range c.partFingerprints {
		parts = append(parts, poison.PartInFlight{
			Part: poison.Part{ID: c.meta.PromptParts[i], Depth: i + 1}, Fingerprint: fingerprint, Sent: sentAt,
		})
	}
	return parts
}

// hashParts returns the fingerprints of the parts of the prompt but the last. They do not
// depend on the model.
func (c *call) hashParts() []ident.Fingerprint {
	count := max(0, len(c.meta.PromptParts)-1)
	fingerprints := make([]ident.Fingerprint, 0, min(count, maxPromptParts))
	for _, part := range c.meta.PromptParts[:cap(fingerprints)] {
		hash := xxhash.New()
		var id [8]byte
		binary.LittleEndian.PutUint64(id[:], uint64(part))
		_, _ = hash.Write(id[:])
		_, _ = hash.WriteString("part of prompts")
		fingerprints = append(fingerprints, ident.Fingerprint(hash.Sum64()))
	}
	return fingerprints
}

// subjects returns the fingerprints that verdicts on the request may be on: its own
// and those of its parts.
func (c *call) subjects() []ident.Fingerprint {
	if c.partFingerprints == nil {
		c.partFingerprints = c.hashParts()
	}
	return append([]ident.Fingerprint{c.fingerprint()}, c.partFingerprints...)
}

// newestParts returns the parts in flight, each with the newest request that has it. If
// there are more than limit, those of the oldest requests are left out.
func (u *uncheckedRequests) newestParts(limit int) []poison.PartInFlight {
	newest := make(map[ident.Fingerprint]poison.PartInFlight)
	for _, request := range u.requests {
		for _, part := range request.parts {
			if known, found := newest[part.Fingerprint]; !found || part.Sent.After(known.Sent) {
				newest[part.Fingerprint] = part
			}
		}
	}
	parts := make([]poison.PartInFlight, 0, len(newest))
	for _, part := range newest {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b poison.PartInFlight) int {
		return cmp.Or(b.Sent.Compare(a.Sent), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return parts[:min(len(parts), limit)]
}

// recordSurvival records that a target answered a request with these parts and went on
// until the given time. It is reported for parts that a verdict is on.
func (g *Gate) recordSurvival(at time.Time, parts []poison.PartInFlight) {
	for _, part := range parts {
		g.survivals.record(part.Fingerprint, at)
		if !g.suspects.empty() && g.suspects.verdict(part.Fingerprint) != poison.VerdictNone {
			g.suspects.recordSurvival(g.cfg.Clock.Now(), part.Fingerprint, at)
			g.reportSurvival(part.Fingerprint)
		}
	}
}

// reportSurvival reports when a part was last survived, unless it was reported already
// or is not known.
func (g *Gate) reportSurvival(fingerprint ident.Fingerprint) {
	if at, found := g.survivals.takeUnreported(fingerprint); found {
		g.reporter.addSurvival(fingerprint, at)
	}
}

// survivalLog holds when targets last survived the parts of prompts that were used most
// recently. Its zero value is ready for use.
type survivalLog struct {
	shards [survivalShards]survivalShard
}

// survivalShard holds some of the parts. When current is full it becomes previous, and
// what previous held is dropped.
type survivalShard struct {
	mu                sync.Mutex
	current, previous map[ident.Fingerprint]survival
}

// survival is when a part was last survived, and when it had been as last reported.
type survival struct {
	at, reported time.Time
}

func (l *survivalLog) shard(fingerprint ident.Fingerprint) *survivalShard {
	return &l.shards[fingerprint%survivalShards]
}

// record records that a part was survived at the given time.
func (l *survivalLog) record(fingerprint ident.Fingerprint, at time.Time) {
	shard := l.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.get(fingerprint)
	if at.After(known.at) {
		known.at = at
	}
	shard.put(fingerprint, known)
}

// last returns when a part was last survived, zero if that is not known.
func (l *survivalLog) last(fingerprint ident.Fingerprint) time.Time {
	shard := l.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.get(fingerprint).at
}

// takeUnreported returns when a part was last survived, and marks that as reported. It
// returns false if that is not known or was reported before.
func (l *survivalLog) takeUnreported(fingerprint ident.Fingerprint) (time.Time, bool) {
	shard := l.shard(fingerprint)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	known := shard.get(fingerprint)
	if !known.at.After(known.reported) {
		return time.Time{}, false
	}
	known.reported = known.at
	shard.put(fingerprint, known)
	return known.at, true
}

// get returns what is known of a part. The caller holds the lock.
func (s *survivalShard) get(fingerprint ident.Fingerprint) survival {
	if known, found := s.current[fingerprint]; found {
		return known
	}
	return s.previous[fingerprint]
}

// put sets what is known of a part. The caller holds the lock.
func (s *survivalShard) put(fingerprint ident.Fingerprint, known survival) {
	if s.current == nil || len(s.current) >= survivalGeneration {
		s.previous, s.current = s.current, make(map[ident.Fingerprint]survival)
	}
	s.current[fingerprint] = known
}
