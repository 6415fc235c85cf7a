package ctrl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Queries about decisions on requests.
const (
	// QueryStoreDecisions brings decisions, in Argument as JSON lines.
	QueryStoreDecisions = "decided"
	// queryDecisions asks for those kept of the request Name.
	queryDecisions = "decisions"
)

// Decisions are what the control processes keep of one request.
type Decisions struct {
	// Records are decision records as JSON.
	Records []json.RawMessage
	// Unreachable are control processes that gave no answer.
	Unreachable []ident.VMName
}

// Decisions asks every control process what it keeps of a request.
func (c *Control) Decisions(ctx context.Context, request ident.RequestID) Decisions {
	var (
		mu    sync.Mutex
		work  sync.WaitGroup
		found = Decisions{Records: c.trail.Get(request)}
	)
	for _, member := range c.members() {
		work.Go(func() {
			records, err := c.askDecisions(ctx, member, request)
			mu.Lock()
			defer mu.Unlock()
			found.Records = append(found.Records, records...)
			if err != nil {
				found.Unreachable = append(found.Unreachable, member.VM)
			}
		})
	}
	work.Wait()
	return found
}

func (c *Control) askDecisions(ctx context.Context, member group.Member, request ident.RequestID) ([]json.RawMessage, error) {
	reply, err := c.ask(ctx, member, &wire.Query{Kind: queryDecisions, Name: string(request)})
	if err != nil {
		return nil, err
	}
	var records []json.RawMessage
	if err := json.Unmarshal(reply.GetResult(), &records); err != nil {
		return nil, fmt.Errorf("decode decisions of %s: %w", member.VM, err)
	}
	return records, nil
}

// keep takes the decisions that a router sends.
func (c *Control) keep(lines []byte) *wire.QueryReply {
	for line := range bytes.Lines(lines) {
		if line = bytes.TrimSpace(line); len(line) > 0 && !c.trail.Add(line) {
			return &wire.QueryReply{Error: "a line is no decision"}
		}
	}
	return &wire.QueryReply{}
}
