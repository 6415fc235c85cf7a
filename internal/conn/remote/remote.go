// Package remote is the client of the control processes. It finds their leader,
// proposes commands and sends queries.
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

// Timing of the calls to control processes.
const (
	callTimeout   = 2 * time.Second
	retryInterval = 50 * time.Millisecond
)

// Clock provides the time, a cancelable sleep and timers.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
	After(d time.Duration) <-chan time.Time
}

// UnknownOutcomeError reports that a command may have been committed although
// no reply arrived.
type UnknownOutcomeError struct {
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *UnknownOutcomeError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// RefusedError reports that the command or query was not executed.
type RefusedError struct {
	// Message is the reason, usually as given by the control process.
	Message string
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return "control refused: " + e.Message }

// Config configures a Client.
type Config struct {
	// Addresses are the host:port addresses of the control processes.
	Addresses []string
	// Link makes the calls.
	Link *link.Client
	// Clock times the retries.
	Clock Clock
}

// Client sends commands and queries to the control processes. It is safe for
// concurrent use.
type Client struct {
	cfg         Config
	addresses   atomic.Pointer[[]string]
	leader      atomic.Pointer[string]
	nextAddress atomic.Uint64
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	c := &Client{cfg: cfg}
	c.addresses.Store(&cfg.Addresses)
	return c
}

// SetAddresses replaces the addresses of the control processes, which change as VMs
// are replaced. It ignores an empty list.
func (c *Client) SetAddresses(addresses []string) {
	if len(addresses) > 0 {
		c.addresses.Store(&addresses)
	}
}

// ProposeEntry proposes entry, retrying until it is committed or refused or ctx
// ends, and returns its result. It may propose an entry more than once; the
// change and attempt IDs in the store make that safe. A *RefusedError means
// that the entry was not committed; after any other error it may have been.
func (c *Client) ProposeEntry(ctx context.Context, entry []byte, traceParent string) ([]byte, error) {
	maybeCommitted := false
	for {
		result, err := c.proposeOnce(ctx, entry, traceParent, &maybeCommitted)
		if err == nil {
			return result, nil
		}
		var refused *RefusedError
		// If an earlier attempt may have been committed, a refusal of this one does
		// not settle the outcome.
		if errors.As(err, &refused) && !maybeCommitted {
			return nil, err
		}
		if c.cfg.Clock.Sleep(ctx, retryInterval) != nil {
			if !maybeCommitted {
				return nil, &RefusedError{Message: fmt.Sprintf("no control process reachable: %v", err)}
			}
			return nil, &UnknownOutcomeError{Err: err}
		}
	}
}

// proposeOnce proposes the entry to one process. It sets maybeCommitted if the
// entry may have been committed.
func (c *Client) proposeOnce(ctx context.Context, entry []byte, traceParent string, maybeCommitted *bool) ([]byte, error) {
	call := &wire.Call{TraceParent: traceParent, Body: &wire.Call_Command{Command: &wire.Command{Entry: entry}}}
	reply := new(wire.CommandReply)
	if err := c.callOnce(ctx, call, reply); err != nil {
		var dial *link.DialError
		if !errors.As(err, &dial) {
			*maybeCommitted = true
		}
		return nil, err
	}
	if reply.GetError() == "" {
		return reply.GetResult(), nil
	}
	c.SetLeader(reply.GetLeader())
	if reply.GetUnknown() {
		*maybeCommitted = true
		return nil, &UnknownOutcomeError{Err: errors.New(reply.GetError())}
	}
	if reply.GetLeader() != "" || reply.GetRetry() {
		return nil, fmt.Errorf("control process asked to retry elsewhere or later: %s", reply.GetError())
	}
	return nil, &RefusedError{Message: reply.GetError()}
}

// Query sends a query and returns its reply. It retries until a process answers
// or refuses, or ctx ends. A *RefusedError means that a process refused the
// query.
func (c *Client) Query(ctx context.Context, query *wire.Query) (*wire.QueryReply, error) {
	for {
		reply := new(wire.QueryReply)
		err := c.callOnce(ctx, &wire.Call{Body: &wire.Call_Query{Query: query}}, reply)
		if err == nil && reply.GetError() == "" {
			return reply, nil
		}
		if err == nil && !reply.GetRetry() {
			return nil, &RefusedError{Message: reply.GetError()}
		}
		if err == nil {
			err = errors.New(reply.GetError())
			c.SetLeader(reply.GetLeader())
		}
		if c.cfg.Clock.Sleep(ctx, retryInterval) != nil {
			return nil, fmt.Errorf("query %s: %w", query.GetKind(), err)
		}
	}
}

func (c *Client) callOnce(ctx context.Context, call *wire.Call, reply proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	address := c.address()
	err := c.cfg.Link.Ask(ctx, address, call, reply)
	if err != nil {
		c.SetLeader("")
		return fmt.Errorf("control %s: %w", address, err)
	}
	return nil
}

// address returns the leader's address if it is known, otherwise the next
// process's in rotation.
func (c *Client) address() string {
	if leader := c.leader.Load(); leader != nil && *leader != "" {
		return *leader
	}
	next := c.nextAddress.Add(1)
	addresses := *c.addresses.Load()
	return addresses[next%uint64(len(addresses))]
}

// SetLeader sets the address that is called first, empty if the leader is unknown.
func (c *Client) SetLeader(leader string) { c.leader.Store(&leader) }
