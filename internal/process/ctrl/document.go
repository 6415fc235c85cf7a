package ctrl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
	"cactusline.dev/cactusline/internal/version/store"
)

// Queries about the routing document, from processes that are not members of
// the control group.
const (
	queryPutDocument = "put-document"
	queryDocument    = "document"
)

// groupFormationTimeout is how long after its start a control process rejects
// documents and evacuations while there are fewer than MinVoters voters. Later, they
// are accepted with fewer voters. It is long enough for all VMs to start, or to
// count as lost after the start.
const groupFormationTimeout = 8 * time.Second

// UnavailableError reports that a document or an order was not accepted, or could not
// be read, because no quorum was reachable. If Unknown is set, it may have been
// accepted.
type UnavailableError struct {
	Message string
	Unknown bool
}

// Error returns the reason.
func (e *UnavailableError) Error() string { return e.Message }

// PutDocument replaces the routing document if the version of next is higher,
// and returns once the new document is committed. Otherwise it does nothing. It
// retries until ctx is done, which is safe because a put is idempotent.
func (c *Control) PutDocument(ctx context.Context, next store.Document) error {
	unknown := false
	for {
		err := c.tryPutDocument(ctx, next, &unknown)
		if err == nil {
			return nil
		}
		if c.cfg.Clock.Sleep(ctx, leaderRetryInterval) != nil {
			return &UnavailableError{Message: err.Error(), Unknown: unknown}
		}
	}
}

// tryPutDocument makes one attempt of PutDocument. It sets unknown, and never
// clears it, if the attempt failed and may still be committed.
func (c *Control) tryPutDocument(ctx context.Context, next store.Document, unknown *bool) error {
	current := c.cfg.Store.Document()
	if next.Version <= current.Version {
		return nil
	}
	body, err := store.NewPutDocument(current, next)
	if err != nil {
		return err
	}
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Document{Document: body}})
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	result, err := c.proposeOnce(ctx, entry, unknown)
	if err != nil {
		return err
	}
	if result.GetStatus() != cmdpb.Status_STATUS_OK {
		return c.catchUp(ctx, result)
	}
	return nil
}

// proposeOnce proposes an entry, here or at the leader, and returns its result. It sets
// unknown, and never clears it, if that failed and the entry may still be committed.
func (c *Control) proposeOnce(ctx context.Context, entry []byte, unknown *bool) (*cmdpb.Result, error) {
	reply := c.propose(ctx, &wire.Command{Entry: entry})
	if leader := reply.GetLeader(); reply.GetError() != "" && leader != "" {
		var err error
		if reply, err = c.proposeAt(ctx, leader, entry); err != nil {
			var dialErr *link.DialError
			*unknown = *unknown || !errors.As(err, &dialErr)
			return nil, err
		}
	}
	if reply.GetError() != "" {
		*unknown = *unknown || reply.GetUnknown()
		return nil, errors.New(reply.GetError())
	}
	result, err := store.DecodeResult(reply.GetResult())
	if err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}

// catchUp waits until this process has applied the leader's state, which the
// next patch must be based on. It always returns an error, so that the put is
// retried.
func (c *Control) catchUp(ctx context.Context, result *cmdpb.Result) error {
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return fmt.Errorf("catch up: %w", err)
	}
	return errors.New(result.GetDetail())
}

// proposeAt proposes an entry at another control process.
func (c *Control) proposeAt(ctx context.Context, address string, entry []byte) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := new(wire.CommandReply)
	call := &wire.Call{Body: &wire.Call_Command{Command: &wire.Command{Entry: entry}}}
	if err := c.cfg.Link.Ask(ctx, address, call, reply); err != nil {
		return nil, fmt.Errorf("propose command at %s: %w", address, err)
	}
	return reply, nil
}

// checkVoters returns a rejection for a document or an evacuation that is proposed
// before the group has MinVoters voters, nil for any other command.
func (c *Control) checkVoters(entry []byte) *wire.CommandReply {
	if c.cfg.MinVoters == 0 || c.cfg.Group == nil || c.cfg.Clock.Now().Sub(c.hub.started) > groupFormationTimeout {
		return nil
	}
	command, err := store.DecodeCommand(entry)
	if err != nil || (command.GetDocument() == nil && command.GetEvacuate() == nil) {
		return nil
	}
	voters := 0
	for _, member := range c.cfg.Group.Status().Members {
		if !member.Learner {
			voters++
		}
	}
	if voters >= c.cfg.MinVoters {
		return nil
	}
	return &wire.CommandReply{Retry: true, Error: fmt.Sprintf("group has %d voters, needs %d", voters, c.cfg.MinVoters)}
}

// Document returns the routing document after a quorum has confirmed that it is
// the newest.
func (c *Control) Document(ctx context.Context) (store.Document, error) {
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return store.Document{}, &UnavailableError{Message: fmt.Sprintf("no quorum: %v", err)}
	}
	return c.cfg.Store.Document(), nil
}

// answerPutDocument serves PutDocument to a process that is not a member of the
// control group.
func (c *Control) answerPutDocument(ctx context.Context, argument []byte) *wire.QueryReply {
	in := new(cmdpb.PutDocument)
	if err := proto.Unmarshal(argument, in); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	body, err := patch.Apply(nil, in.GetPatch())
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := c.PutDocument(ctx, store.Document{Version: ident.Version(in.GetVersion()), Body: body}); err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	return &wire.QueryReply{}
}

// answerDocument serves Document to a process that is not a member of the
// control group.
func (c *Control) answerDocument(ctx context.Context) *wire.QueryReply {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	current, err := c.Document(ctx)
	if err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	body, err := store.NewPutDocument(store.Document{}, current)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	data, err := proto.Marshal(body)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: data}
}

// DocumentService puts and reads the routing document and the evacuations, with Control
// if this process is a member of the control group and with Relay otherwise.
type DocumentService struct {
	Control *Control
	Relay   *Relay
}

// PutDocument works like Control.PutDocument.
func (d *DocumentService) PutDocument(ctx context.Context, next store.Document) error {
	if d.Control.checkJoined() != nil {
		return d.Relay.PutDocument(ctx, next)
	}
	return d.Control.PutDocument(ctx, next)
}

// Document works like Control.Document.
func (d *DocumentService) Document(ctx context.Context) (store.Document, error) {
	if d.Control.checkJoined() != nil {
		return d.Relay.Document(ctx)
	}
	return d.Control.Document(ctx)
}

// Relay puts and reads the routing document and the evacuations in a process that is
// not a member of the control group, by asking members.
type Relay struct {
	// Link carries the calls.
	Link *link.Client
	// ControlAddresses returns the addresses of the members of the control
	// group, the most promising one first.
	ControlAddresses func() []string
	Clock            Clock
	Logger           log.Logger

	// answers are those of the members so far.
	answers answerLog
}

// answerLog holds which of several addresses answered last, and which failed since they last
// answered. Its zero value is ready to use.
type answerLog struct {
	mu           sync.Mutex
	lastAnswered string
	// failures are the numbers of the failed calls, so that the address that failed longest
	// ago is the one with the lowest.
	failures map[string]int
	calls    int
}

// order returns addresses in the order in which they are asked: the one that answered last,
// those that did not fail, and the others, the one that failed last at the end.
func (a *answerLog) order(addresses []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	rank := func(address string) int {
		if address == a.lastAnswered {
			return -1
		}
		return a.failures[address]
	}
	maps.DeleteFunc(a.failures, func(address string, _ int) bool { return !slices.Contains(addresses, address) })
	return slices.SortedStableFunc(slices.Values(addresses), func(x, y string) int { return cmp.Compare(rank(x), rank(y)) })
}

// record records whether an address answered.
func (a *answerLog) record(address string, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if answered {
		a.lastAnswered = address
		delete(a.failures, address)
		return
	}
	if a.lastAnswered == address {
		a.lastAnswered = ""
	}
	if a.failures == nil {
		a.failures = make(map[string]int)
	}
	a.calls++
	a.failures[address] = a.calls
}

// PutDocument works like Control.PutDocument, at another process.
func (r *Relay) PutDocument(ctx context.Context, next store.Document) error {
	body, err := store.NewPutDocument(store.Document{}, next)
	if err != nil {
		return err
	}
	argument, err := proto.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	_, err = r.query(ctx, &wire.Query{Kind: queryPutDocument, Argument: argument})
	return err
}

// Document works like Control.Document, at another process.
func (r *Relay) Document(ctx context.Context) (store.Document, error) {
	reply, err := r.query(ctx, &wire.Query{Kind: queryDocument})
	if err != nil {
		return store.Document{}, err
	}
	in := new(cmdpb.PutDocument)
	if err := proto.Unmarshal(reply.GetResult(), in); err != nil {
		return store.Document{}, fmt.Errorf("decode document: %w", err)
	}
	body, err := patch.Apply(nil, in.GetPatch())
	if err != nil {
		return store.Document{}, fmt.Errorf("decode document: %w", err)
	}
	return store.Document{Version: ident.Version(in.GetVersion()), Body: body}, nil
}

// query sends a query to one control process after the other until one answers.
// The error has Unknown set if a query was tried, because it may have been
// executed without an answer.
func (r *Relay) query(ctx context.Context, query *wire.Query) (*wire.QueryReply, error) {
	lastErr := &UnavailableError{Message: "no control process is known"}
	for _, address := range r.answers.order(r.ControlAddresses()) {
		if ctx.Err() != nil {
			break
		}
		reply, err := r.queryAt(ctx, address, query)
		if err == nil || ctx.Err() == nil {
			// An address that was asked just before the end says nothing.
			r.answers.record(address, err == nil)
		}
		if err == nil {
			return reply, nil
		}
		lastErr = &UnavailableError{Message: err.Error(), Unknown: true}
		_ = level.Info(r.Logger).Log("msg", "control process did not answer", "address", address, "query", query.GetKind(), "err", err)
	}
	return nil, lastErr
}

// queryAt sends a query to the control process at an address.
func (r *Relay) queryAt(ctx context.Context, address string, query *wire.Query) (*wire.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply := new(wire.QueryReply)
	if err := r.Link.Ask(ctx, address, &wire.Call{Body: &wire.Call_Query{Query: query}}, reply); err != nil {
		return nil, fmt.Errorf("query control process: %w", err)
	}
	if reply.GetError() != "" {
		return nil, errors.New(reply.GetError())
	}
	return reply, nil
}
