package ctrl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// queryAudit asks for exported audit entries with an index above
	// Query.Name. The result has one JSON entry per line.
	queryAudit = "audit"
	// auditBatchSize limits the size of one answer; the last entry may exceed
	// it.
	auditBatchSize ident.Bytes = 256 << 10
	// auditGapInterval is the interval between two searches for missing
	// entries.
	auditGapInterval = 2 * time.Second
)

// AuditFolder holds exported audit entries. *audit.Folder implements it.
type AuditFolder interface {
	// Read calls visit for each entry above an index, oldest first, until visit
	// returns an error.
	Read(after uint64, visit func(audit.Entry) error) error
	// FirstGap returns the first gap and whether there is one.
	FirstGap() (audit.Gap, bool, error)
	// FillGap writes entries of another control process into a gap.
	FillGap(gap audit.Gap, entries []audit.Entry) error
}

// errBatchFull stops the reading of entries when the answer is full.
var errBatchFull = errors.New("batch is full")

// answerAudit answers a control process that lacks audit entries.
func (c *Control) answerAudit(name string) *wire.QueryReply {
	after, err := strconv.ParseUint(name, 10, 64)
	if err != nil || c.cfg.Audit == nil {
		return &wire.QueryReply{Error: "no audit entries after index " + name}
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	err = c.cfg.Audit.Read(after, func(entry audit.Entry) error {
		if ident.Bytes(lines.Len()) >= auditBatchSize {
			return errBatchFull
		}
		return encoder.Encode(&entry)
	})
	if err != nil && !errors.Is(err, errBatchFull) {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: lines.Bytes()}
}

// fillAuditGaps fetches missing audit entries from the other control processes
// until ctx is done.
func (c *Control) fillAuditGaps(ctx context.Context) {
	if c.cfg.Audit == nil {
		return
	}
	for c.cfg.Clock.Sleep(ctx, auditGapInterval) == nil {
		for ctx.Err() == nil && c.fillFirstGap(ctx) {
		}
	}
}

// fillFirstGap fetches entries for the first gap and reports whether it filled
// any part of it.
func (c *Control) fillFirstGap(ctx context.Context) bool {
	gap, found, err := c.cfg.Audit.FirstGap()
	if err != nil {
		_ = level.Warn(c.cfg.Logger).Log("msg", "cannot look for missing audit entries", "err", err)
	}
	if !found {
		return false
	}
	for _, member := range c.otherMembers() {
		entries, err := c.fetchAuditEntries(ctx, member, gap.After.Index)
		if err == nil && len(entries) > 0 {
			err = c.cfg.Audit.FillGap(gap, entries)
		}
		if err != nil {
			_ = level.Warn(c.cfg.Logger).Log("msg", "cannot fetch missing audit entries", "from", member.VM, "err", err)
			continue
		}
		if len(entries) > 0 && entries[0].Index == gap.After.Index+1 {
			return true
		}
	}
	return false
}

// fetchAuditEntries asks another control process for audit entries above an
// index.
func (c *Control) fetchAuditEntries(ctx context.Context, member group.Member, after uint64) ([]audit.Entry, error) {
	reply, err := c.queryMember(ctx, member, &wire.Query{Kind: queryAudit, Name: strconv.FormatUint(after, 10)})
	if err != nil {
		return nil, err
	}
	var entries []audit.Entry
	decoder := json.NewDecoder(bytes.NewReader(reply.GetResult()))
	for decoder.More() {
		var entry audit.Entry
		if err := decoder.Decode(&entry); err != nil {
			return nil, fmt.Errorf("decode audit entries of %s: %w", member.VM, err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}
