package permit

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// EncodeSendLimit returns the message for a limit. Clocks of VMs differ, so the message
// has the age of the limit and the time that remains of it.
func EncodeSendLimit(now time.Time, limit SendLimit) *wire.RateLimit {
	message := &wire.RateLimit{
		Target: string(limit.Target), Limited: limit.Limited, Rate: float64(limit.Rate),
		AgeUs: uint64(max(0, now.Sub(limit.NamedAt).Microseconds())),
	}
	if !limit.Until.IsZero() {
		// 0 would be a limit without an end.
		message.RemainingMs = uint32(max(1, limit.Until.Sub(now).Milliseconds()))
	}
	return message
}

// DecodeSendLimits returns the limits of messages. Those without a valid rate are left
// out.
func DecodeSendLimits(now time.Time, messages []*wire.RateLimit) []SendLimit {
	limits := make([]SendLimit, 0, len(messages))
	for _, message := range messages {
		rate := message.GetRate()
		age := time.Duration(message.GetAgeUs()) * time.Microsecond
		if rate >= 0 && !math.IsInf(rate, 1) && age >= 0 {
			limit := SendLimit{
				Target: ident.TargetName(message.GetTarget()), Limited: message.GetLimited(),
				Rate: ident.Rate(rate), NamedAt: now.Add(-age),
			}
			if remaining := message.GetRemainingMs(); remaining > 0 {
				limit.Until = now.Add(time.Duration(remaining) * time.Millisecond)
			}
			limits = append(limits, limit)
		}
	}
	return limits
}
