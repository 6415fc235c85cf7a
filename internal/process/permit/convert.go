package permit

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// EncodeSendLimit returns the message for a limit. Clocks of VMs differ, so the message
// has the age of the limit.
func EncodeSendLimit(now time.Time, limit SendLimit) *wire.RateLimit {
	return &wire.RateLimit{
		Target: string(limit.Target), Limited: limit.Limited, Rate: float64(limit.Rate),
		AgeUs: uint64(max(0, now.Sub(limit.NamedAt).Microseconds())),
	}
}

// DecodeSendLimits returns the limits of messages. Those without a valid rate are left
// out.
func DecodeSendLimits(now time.Time, messages []*wire.RateLimit) []SendLimit {
	limits := make([]SendLimit, 0, len(messages))
	for _, message := range messages {
		rate := message.GetRate()
		age := time.Duration(message.GetAgeUs()) * time.Microsecond
		if rate >= 0 && !math.IsInf(rate, 1) && age >= 0 {
			limits = append(limits, SendLimit{
				Target: ident.TargetName(message.GetTarget()), Limited: message.GetLimited(),
				Rate: ident.Rate(rate), NamedAt: now.Add(-age),
			})
		}
	}
	return limits
}
