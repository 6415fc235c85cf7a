// Package remote is the client side of the control role: it finds the leader
// among the control processes, proposes commands, asks queries and follows
// the records as they change.
package remote

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
)

// Bounds of one question to control.
const (
	askTimeout    = 2 * time.Second
	retryInterval = 50 * time.Millisecond
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
	After(d time.Duration) <-chan time.Time
}

// UnknownOutcomeError says that a command may have been committed although no answer
// came.
type UnknownOutcomeError struct {
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// RefusedError says that control answered with an error and did not carry the
// command out.
type RefusedError struct {
	// Message is control's.
	Message string
}

// Error implements error.
func (e *RefusedError) Error() string { return "control refused: " + e.Message }

// Config makes a Client.
type Config struct {
	// Addresses are the control processes' host:port.
	Addresses []string
	// Link carries the calls.
	Link *link.Client
	// Clock times retries.
	Clock Clock
}

// Client asks the control processes. It is safe for use by several
// goroutines.
type Client struct {
	cfg    Config
	leader atomic.Pointer[string]
	turn   atomic.Uint64
}

// NewClient returns a client.
func NewClient(cfg Config) *Client { return &Client{cfg: cfg} }

// ProposeEntry proposes entry until it is committed and returns its result, or
// until ctx ends. Entries must be safe to propose twice, which the store's
// change and attempt ids see to. An error that is a *RefusedError means that
// the entry was not committed; any other one that it may have been.
func (c *Client) ProposeEntry(ctx context.Context, entry []byte, traceParent string) ([]byte, error) {
	sent := false
	for {
		result, err := c.command(ctx, entry, traceParent, &sent)
		if err == nil {
			return result, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && !sent {
			return nil, err
		}
		if c.cfg.Clock.Sleep(ctx, retryInterval) != nil {
			if !sent {
				return nil, &RefusedError{Message: fmt.Sprintf("no control process in reach: %v", err)}
			}
			return nil, &UnknownOutcomeError{Err: err}
		}
	}
}

// command asks one process once. It sets sent once the entry may have been
// committed.
func (c *Client) command(ctx context.Context, entry []byte, traceParent string, sent *bool) ([]byte, error) {
	call := &wire.Call{TraceParent: traceParent, Body: &wire.Call_Command{Command: &wire.Command{Entry: entry}}}
	reply := new(wire.CommandReply)
	if err := c.ask(ctx, call, reply); err != nil {
		var dial *link.DialError
		if !errors.As(err, &dial) {
			*sent = true
		}
		return nil, err
	}
	if reply.GetError() == "" {
		return reply.GetResult(), nil
	}
	c.follow(reply.GetLeader())
	if reply.GetUnknown() {
		*sent = true
		return nil, &UnknownOutcomeError{Err: errors.New(reply.GetError())}
	}
	if reply.GetLeader() != "" || reply.GetRetry() {
		return nil, fmt.Errorf("not the leader: %s", reply.GetError())
	}
	return nil, &RefusedError{Message: reply.GetError()}
}

// Query asks until a process answers or ctx ends.
func (c *Client) Query(ctx context.Context, query *wire.Query) (*wire.QueryReply, error) {
	for {
		reply := new(wire.QueryReply)
		err := c.ask(ctx, &wire.Call{Body: &wire.Call_Query{Query: query}}, reply)
		if err == nil && reply.GetError() == "" {
			return reply, nil
		}
		if err == nil && !reply.GetRetry() {
			return nil, &RefusedError{Message: reply.GetError()}
		}
		if err == nil {
			err = errors.New(reply.GetError())
			c.follow(reply.GetLeader())
		}
		if c.cfg.Clock.Sleep(ctx, retryInterval) != nil {
			return nil, fmt.Errorf("query %s: %w", query.GetKind(), err)
		}
	}
}

func (c *Client) ask(ctx context.Context, call *wire.Call, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	address := c.address()
	err := c.cfg.Link.Ask(ctx, address, call, reply)
	if err != nil {
		c.follow("")
		return fmt.Errorf("control %s: %w", address, err)
	}
	return nil
}

// address returns the leader where it is known, else the next process.
func (c *Client) address() string {
	if leader := c.leader.Load(); leader != nil && *leader != "" {
		return *leader
	}
	turn := c.turn.Add(1)
	return c.cfg.Addresses[turn%uint64(len(c.cfg.Addresses))]
}

func (c *Client) follow(leader string) { c.leader.Store(&leader) }
