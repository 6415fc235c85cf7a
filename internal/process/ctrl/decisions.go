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

// Queries about decision records.
const (
	// QueryStoreDecisions sends decision records of a router, in Query.Argument
	// as JSON lines.
	QueryStoreDecisions = "decided"
	// queryDecisions asks for the decision records of the request in
	// Query.Name.
	queryDecisions = "decisions"
)

// Decisions has the decision records of one request.
type Decisions struct {
	// Records are the decision records as JSON.
	Records []json.RawMessage
	// Unreachable are the VMs of control processes that did not answer.
	Unreachable []ident.VMName
}

// Decisions returns the decision records of a request that the control
// processes still have.
func (c *Control) Decisions(ctx context.Context, request ident.RequestID) Decisions {
	var (
		mu        sync.Mutex
		wg        sync.WaitGroup
		decisions = Decisions{Records: c.decisions.Get(request)}
	)
	for _, member := range c.otherMembers() {
		wg.Go(func() {
			records, err := c.fetchDecisions(ctx, member, request)
			mu.Lock()
			defer mu.Unlock()
			decisions.Records = append(decisions.Records, records...)
			if err != nil {
				decisions.Unreachable = append(decisions.Unreachable, member.VM)
			}
		})
	}
	wg.Wait()
	return decisions
}

// fetchDecisions asks another control process for the decision records of a
// request.
func (c *Control) fetchDecisions(ctx context.Context, member group.Member, request ident.RequestID) ([]json.RawMessage, error) {
	reply, err := c.queryMember(ctx, member, &wire.Query{Kind: queryDecisions, Name: string(request)})
	if err != nil {
		return nil, err
	}
	var records []json.RawMessage
	if err := json.Unmarshal(reply.GetResult(), &records); err != nil {
		return nil, fmt.Errorf("decode decisions of %s: %w", member.VM, err)
	}
	return records, nil
}

// storeDecisions stores decision records that a router sent.
func (c *Control) storeDecisions(lines []byte) *wire.QueryReply {
	for line := range bytes.Lines(lines) {
		if line = bytes.TrimSpace(line); len(line) > 0 && !c.decisions.Add(line) {
			return &wire.QueryReply{Error: "line is not a decision record"}
		}
	}
	return &wire.QueryReply{}
}
