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
	// queryAudit asks for exported audit entries above the index Name, as JSON
	// lines.
	queryAudit = "audit"
	// auditBatch bounds one answer; the last entry may exceed it.
	auditBatch ident.Bytes = 256 << 10
	// gapInterval is how often a control process looks for missing entries.
	gapInterval = 2 * time.Second
)

// AuditFolder holds exported audit entries. *audit.Folder is one.
type AuditFolder interface {
	Read(after uint64, take func(audit.Entry) error) error
	FirstGap() (audit.Gap, bool, error)
	FillGap(gap audit.Gap, entries []audit.Entry) error
}

// errBatch ends the reading of one batch.
var errBatch = errors.New("batch is full")

// answerAudit serves a control process that lacks audit entries.
func (c *Control) answerAudit(name string) *wire.QueryReply {
	after, err := strconv.ParseUint(name, 10, 64)
	if err != nil || c.cfg.Audit == nil {
		return &wire.QueryReply{Error: "no audit entries after " + name}
	}
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	err = c.cfg.Audit.Read(after, func(entry audit.Entry) error {
		if ident.Bytes(lines.Len()) >= auditBatch {
			return errBatch
		}
		return encoder.Encode(&entry)
	})
	if err != nil && !errors.Is(err, errBatch) {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: lines.Bytes()}
}

// fillAudit fetches the audit entries that this process missed from the other
// control processes, until ctx ends.
func (c *Control) fillAudit(ctx context.Context) {
	if c.cfg.Audit == nil {
		return
	}
	for c.cfg.Clock.Sleep(ctx, gapInterval) == nil {
		for ctx.Err() == nil && c.fillSome(ctx) {
		}
	}
}

// fillSome fills a part of the first gap and reports whether it could.
func (c *Control) fillSome(ctx context.Context) bool {
	gap, found, err := c.cfg.Audit.FirstGap()
	if err != nil {
		_ = level.Warn(c.cfg.Logger).Log("msg", "look for missing audit entries", "err", err)
	}
	if !found {
		return false
	}
	for _, member := range c.members() {
		entries, err := c.askAudit(ctx, member, gap.After.Index)
		if err == nil && len(entries) > 0 {
			err = c.cfg.Audit.FillGap(gap, entries)
		}
		if err != nil {
			_ = level.Warn(c.cfg.Logger).Log("msg", "fetch missing audit entries", "from", member.VM, "err", err)
			continue
		}
		if len(entries) > 0 && entries[0].Index == gap.After.Index+1 {
			return true
		}
	}
	return false
}

func (c *Control) askAudit(ctx context.Context, member group.Member, after uint64) ([]audit.Entry, error) {
	reply, err := c.ask(ctx, member, &wire.Query{Kind: queryAudit, Name: strconv.FormatUint(after, 10)})
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
