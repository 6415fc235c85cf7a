package member_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/member"
)

// leaderless is a Membership without a leader. It makes no changes.
type leaderless struct {
	member.Membership
	status group.Status
}

func (l *leaderless) Status() group.Status { return l.status }

// steppingClock is a clock that advances by each sleep, for a number of sleeps.
type steppingClock struct {
	now    time.Time
	sleeps int
}

func (c *steppingClock) Now() time.Time { return c.now }

func (c *steppingClock) Sleep(_ context.Context, d time.Duration) error {
	if c.sleeps--; c.sleeps < 0 {
		return context.Canceled
	}
	c.now = c.now.Add(d)
	return nil
}

func TestMissingQuorumIsLoggedWithItsVoters(t *testing.T) {
	status := group.Status{
		ID:      "a/1",
		Members: []group.MemberStatus{voter("a", "1", -1), lost(voter("b", "1", -1)), voter("c", "1", -1), learnerOf(voter("d", "1", -1))},
		Leaving: []group.MemberStatus{voter("e", "1", -1)},
	}
	for leader, lines := range map[group.MemberID]int{"": 2, "c/1": 0} {
		var out bytes.Buffer
		status.Leader = leader
		clock := &steppingClock{now: now, sleeps: 120}
		reconciler := member.NewReconciler(member.ReconcilerConfig{
			Membership: &leaderless{status: status}, UpdatePeers: func([]group.Member) {},
			Live: func() []member.Process { return []member.Process{process("a", "1")} }, Known: func() []member.Process { return nil },
			MinVoters: 3, Clock: clock, Logger: log.NewLogfmtLogger(&out),
		})
		reconciler.Run(context.Background())
		assert.Equal(t, strings.Count(out.String(), "no leader"), lines)
		if lines > 0 {
			for _, text := range []string{`voters="[a/1 b/1 c/1 e/1]"`, `silent="[c/1 e/1]"`, "diskLost=[b/1]", "leaving=[e/1]"} {
				assert.Assert(t, strings.Contains(out.String(), text), "%s in %s", text, out.String())
			}
		}
	}
}
