package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/request/trail"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

const (
	// auditDirName is the subdirectory of the data directory for audit exports.
	auditDirName       = "audit"
	exportInterval     = time.Second
	peerUpdateInterval = 200 * time.Millisecond
)

// newChangeID returns a random change ID.
func newChangeID() ident.ChangeID { return ident.ChangeID(rand.Text()) }

// updatePeers updates the transport with the addresses of the members, also those that
// are leaving, and of the VMs that ask to join, until ctx ends.
func updatePeers(ctx context.Context, peers *ctrl.PeerTransport, raftGroup *group.Group) {
	for (clock.System{}).Sleep(ctx, peerUpdateInterval) == nil {
		status := raftGroup.Status()
		members := status.Newcomers
		for _, member := range slices.Concat(status.Leaving, status.Members) {
			members = append(members, member.Member)
		}
		peers.UpdateMembers(members)
	}
}

// exportAudit writes new audit entries to disk at each interval, until ctx ends.
func exportAudit(ctx context.Context, logger log.Logger, state *store.Store) {
	for (clock.System{}).Sleep(ctx, exportInterval) == nil {
		err := state.ExportAudit()
		var evicted *audit.EvictedError
		switch {
		case errors.As(err, &evicted):
			_ = level.Warn(logger).Log("msg", "audit export has a gap; other control processes hold the entries", "err", err)
		case err != nil:
			_ = level.Error(logger).Log("msg", "exporting audit log failed", "err", err)
		}
	}
}

// newDecisionSender returns a sender that writes a router's decisions to its log and
// sends them to control.
func newDecisionSender(name string, logger log.Logger, control *remote.Client) *trail.Sender {
	return trail.NewSender(trail.Config{
		Router: name,
		Clock:  clock.System{},
		Logger: logger,
		Send: func(ctx context.Context, lines []byte) error {
			_, err := control.Query(ctx, &wire.Query{Kind: ctrl.QueryStoreDecisions, Argument: lines})
			if err != nil {
				return fmt.Errorf("send decisions: %w", err)
			}
			return nil
		},
	})
}
