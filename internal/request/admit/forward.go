package admit

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// ChatLocation says where a chat was served last.
type ChatLocation struct {
	Target ident.TargetName
	// Tokens is how much of the chat's prefix is warm there.
	Tokens ident.Tokens
	At     time.Time
}
