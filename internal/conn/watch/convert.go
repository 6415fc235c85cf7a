package watch

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

// DecodeLoad returns the load in a message.
func DecodeLoad(load *wire.Load) digest.Load {
	return digest.Load{
		Requests:    int(load.GetRequests()),
		Tokens:      ident.Tokens(load.GetTokens()),
		Queued:      int(load.GetQueued()),
		QueueBacked: int(load.GetBacked()),
	}
}

// EncodeLoad returns the message that carries a load.
func EncodeLoad(load digest.Load, incarnation ident.Incarnation, leaving bool) *wire.Load {
	return &wire.Load{
		Requests:    uint32(load.Requests),
		Tokens:      uint64(load.Tokens),
		Queued:      uint32(load.Queued),
		Backed:      uint32(load.QueueBacked),
		Incarnation: uint64(incarnation),
		Leaving:     leaving,
	}
}

// DecodeDigest returns the digest in a message. It converts the age of the
// digest to a time on this process's clock.
func DecodeDigest(now time.Time, d *wire.LoadDigest) digest.Digest {
	out := digest.Digest{
		Pool:        digest.PoolName(d.GetPool()),
		Targets:     int(d.GetTargets()),
		Requests:    int(d.GetRequests()),
		Tokens:      ident.Tokens(d.GetTokens()),
		QueueBacked: int(d.GetBacked()),
		At:          now.Add(-time.Duration(d.GetAgeUs()) * time.Microsecond),
		Version:     d.GetStamp(),
	}
	for _, name := range d.GetLight() {
		out.LeastLoaded = append(out.LeastLoaded, ident.TargetName(name))
	}
	return out
}

// EncodeDigest returns the message that carries a digest, with its age at now.
func EncodeDigest(now time.Time, d digest.Digest) *wire.LoadDigest {
	out := &wire.LoadDigest{
		Pool:     string(d.Pool),
		Targets:  uint32(d.Targets),
		Requests: uint64(d.Requests),
		Tokens:   uint64(d.Tokens),
		Backed:   uint64(d.QueueBacked),
		AgeUs:    uint32(max(0, now.Sub(d.At)) / time.Microsecond),
		Stamp:    d.Version,
	}
	for _, name := range d.LeastLoaded {
		out.Light = append(out.Light, string(name))
	}
	return out
}

// DecodeVerdicts returns the verdicts in a message.
func DecodeVerdicts(verdicts []*wire.CrashVerdict) []poison.VerdictChange {
	changes := make([]poison.VerdictChange, 0, len(verdicts))
	for _, v := range verdicts {
		changes = append(changes, poison.VerdictChange{
			Fingerprint: ident.Fingerprint(v.GetFingerprint()),
			Verdict:     poison.Verdict(v.GetVerdict()),
			Expires:     time.Unix(0, v.GetExpires()),
			Part:        poison.Part{ID: ident.PartID(v.GetPart()), Depth: int(v.GetDepth())},
		})
	}
	return changes
}
