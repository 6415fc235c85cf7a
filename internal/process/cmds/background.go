package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
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
	// auditFolder is the folder of audit exports in the data folder.
	auditFolder    = "audit"
	exportInterval = time.Second
	learnInterval  = 200 * time.Millisecond
)

// newChange draws the id of a change.
func newChange() ident.ChangeID { return ident.ChangeID(rand.Text()) }

// learnPeers keeps the transport at the addresses of the member list, and of
// the VMs that ask to join.
func learnPeers(ctx context.Context, peers *ctrl.PeerTransport, replicas *group.Group) {
	for (clock.System{}).Sleep(ctx, learnInterval) == nil {
		status := replicas.Status()
		members := status.Newcomers
		for _, member := range status.Members {
			members = append(members, member.Member)
		}
		peers.UpdateMembers(members)
	}
}

// exportAudit writes new audit entries to disk at each interval.
func exportAudit(ctx context.Context, logger log.Logger, state *store.Store) {
	for (clock.System{}).Sleep(ctx, exportInterval) == nil {
		err := state.ExportAudit()
		var gap *audit.EvictedError
		switch {
		case errors.As(err, &gap):
			_ = level.Warn(logger).Log("msg", "audit export has a gap; other control processes hold the entries", "err", err)
		case err != nil:
			_ = level.Error(logger).Log("msg", "export audit log", "err", err)
		}
	}
}

// newDecisions returns what takes a router's decisions to its log and to
// control.
func newDecisions(name string, logger log.Logger, control *remote.Client) *trail.Sender {
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
