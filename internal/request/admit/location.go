package admit

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// ChatLocation is the target that last served a chat.
type ChatLocation struct {
	Target ident.TargetName
	// Tokens is how much of the chat's prefix is cached there.
	Tokens ident.Tokens
	// RecordedAt is set by RecordChatLocation.
	RecordedAt time.Time
}
