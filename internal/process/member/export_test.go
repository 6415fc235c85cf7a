package member

import "context"

// Announce sends one round of announcements.
func (d *Discovery) Announce(ctx context.Context) { d.announce(ctx) }
