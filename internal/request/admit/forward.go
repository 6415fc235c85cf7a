package admit

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Forward says where a chat was served last.
type Forward struct {
	Target ident.TargetName
	// Tokens is how much of the chat's prefix is warm there.
	Tokens ident.Tokens
	At     time.Time
}
