package ctrl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// Queries about evacuations, from processes that are not members of the control group.
const (
	// queryEvacuate proposes the cmdpb.Command in Query.Argument once. The result is a
	// cmdpb.Result.
	queryEvacuate = "evacuate"
	// queryEvacuations asks for the evacuations. The result is a cmdpb.Snapshot with
	// nothing else.
	queryEvacuations = "evacuations"
)

const (
	// maxOrderAge is how long ago a quorum may have confirmed the state of this process
	// for an order to be based on it. The state is confirmed each confirmInterval, unless
	// the process was suspended or cut off.
	maxOrderAge = time.Second
	// steadyTime is for how long that must have been so. Orders that waited for a process
	// to resume may have been given up and overtaken. Their state is confirmed first,
	// which takes longer than it takes to learn that the operator has left.
	steadyTime = time.Second
)

// Order begins or ends the evacuation of a failure domain.
type Order struct {
	Domain ident.DomainName
	// Active is true to begin the evacuation.
	Active bool
	// Actor is who gave the order.
	Actor string
}

// InvalidOrderError reports that an order can never be carried out.
type InvalidOrderError struct {
	Message string
}

// Error returns the reason.
func (e *InvalidOrderError) Error() string { return e.Message }

// command returns the command that carries out the order at a version of the domain.
func (o Order) command(base ident.Version) *cmdpb.Command {
	return &cmdpb.Command{Actor: o.Actor, Body: &cmdpb.Command_Evacuate{Evacuate: &cmdpb.Evacuate{
		Domain: string(o.Domain), Active: o.Active, Base: uint64(base),
	}}}
}

// errOrderConflict reports that another order for the domain came first.
var errOrderConflict = errors.New("another order for the domain came first")

// Evacuate carries out an order, and returns once it is committed, also if the domain was
// in the ordered state. It retries until ctx is done. What it has proposed by then may
// still be committed, but not once another order for the domain is.
func (c *Control) Evacuate(ctx context.Context, order Order) error {
	return retryOrder(ctx, c.cfg.Clock, func(unknown *bool) error { return c.tryEvacuate(ctx, order, unknown) })
}

// retryOrder calls try until it succeeds, the order turns out to be invalid or ctx is
// done. try sets unknown, and never clears it, if it failed and may still take effect.
func retryOrder(ctx context.Context, clock Clock, try func(unknown *bool) error) error {
	unknown := false
	for {
		err := try(&unknown)
		var invalid *InvalidOrderError
		switch {
		case err == nil || errors.As(err, &invalid):
			return err
		case errors.Is(err, errOrderConflict) && ctx.Err() == nil:
			continue
		}
		if clock.Sleep(ctx, leaderRetryInterval) != nil {
			return &UnavailableError{Message: err.Error(), Unknown: unknown}
		}
	}
}

// tryEvacuate makes one attempt of Evacuate.
func (c *Control) tryEvacuate(ctx context.Context, order Order, unknown *bool) error {
	if !c.hub.isSteady() {
		if _, err := c.Evacuations(ctx); err != nil {
			return err
		}
	}
	list, _ := c.cfg.Store.Evacuations()
	if ctx.Err() != nil {
		// The caller has left and may have given other orders since, which the list may
		// hold already.
		return fmt.Errorf("order for domain %s: %w", order.Domain, ctx.Err())
	}
	held := store.FindEvacuation(list, order.Domain)
	entry, err := store.EncodeCommand(order.command(held.Version))
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	result, err := c.proposeOnce(ctx, entry, unknown)
	if err != nil {
		return err
	}
	switch result.GetStatus() {
	case cmdpb.Status_STATUS_OK:
		_ = level.Info(c.cfg.Logger).Log("msg", "evacuation ordered", "domain", order.Domain, "evacuated", order.Active, "version", held.Version+1, "actor", order.Actor)
		return nil
	case cmdpb.Status_STATUS_CONFLICT:
		if _, err := c.cfg.Log.Barrier(ctx); err != nil {
			return fmt.Errorf("catch up: %w", err)
		}
		return errOrderConflict
	default:
		return &InvalidOrderError{Message: result.GetDetail()}
	}
}

// isSteady reports whether a quorum has confirmed the state of this process often enough
// of late.
func (h *hub) isSteady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.cfg.Clock.Elapsed()
	return !h.lastBarrierStart.IsZero() && now-h.lastBarrierElapsed <= maxOrderAge && now-h.steadySince >= steadyTime
}

// Evacuations returns the domains for which there was an order, after a quorum has
// confirmed that the list is the newest.
func (c *Control) Evacuations(ctx context.Context) ([]store.Evacuation, error) {
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return nil, &UnavailableError{Message: fmt.Sprintf("no quorum: %v", err)}
	}
	list, _ := c.cfg.Store.Evacuations()
	return list, nil
}

// answerEvacuate proposes the command of a relay, which names the version of the domain
// that the relay has read. It is not retried here: this answer may be late, and the relay
// may have been asked for the opposite since.
func (c *Control) answerEvacuate(ctx context.Context, argument []byte) *wire.QueryReply {
	command := new(cmdpb.Command)
	if err := proto.Unmarshal(argument, command); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	if command.GetEvacuate() == nil {
		return &wire.QueryReply{Error: "command is no order to evacuate"}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	entry, err := store.EncodeCommand(command)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	unknown := false
	result, err := c.proposeOnce(ctx, entry, &unknown)
	if err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	return answerProto(result)
}

// answerEvacuations serves Evacuations to a process that is not a member of the control
// group.
func (c *Control) answerEvacuations(ctx context.Context) *wire.QueryReply {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	list, err := c.Evacuations(ctx)
	if err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	return answerProto(&cmdpb.Snapshot{Evacuations: store.EvacuationsToProto(list)})
}

// answerProto returns a reply with an encoded message as its result.
func answerProto(message proto.Message) *wire.QueryReply {
	data, err := proto.Marshal(message)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: data}
}

// Evacuate works like Control.Evacuate.
func (d *DocumentService) Evacuate(ctx context.Context, order Order) error {
	if d.Control.checkJoined() != nil {
		return d.Relay.Evacuate(ctx, order)
	}
	return d.Control.Evacuate(ctx, order)
}

// Evacuations works like Control.Evacuations.
func (d *DocumentService) Evacuations(ctx context.Context) ([]store.Evacuation, error) {
	if d.Control.checkJoined() != nil {
		return d.Relay.Evacuations(ctx)
	}
	return d.Control.Evacuations(ctx)
}

// Evacuate works like Control.Evacuate, at other processes.
func (r *Relay) Evacuate(ctx context.Context, order Order) error {
	return retryOrder(ctx, r.Clock, func(unknown *bool) error { return r.tryEvacuate(ctx, order, unknown) })
}

// tryEvacuate makes one attempt of Evacuate.
func (r *Relay) tryEvacuate(ctx context.Context, order Order, unknown *bool) error {
	list, err := r.Evacuations(ctx)
	if err != nil {
		return err
	}
	argument, err := proto.Marshal(order.command(store.FindEvacuation(list, order.Domain).Version))
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	reply, err := r.query(ctx, &wire.Query{Kind: queryEvacuate, Argument: argument})
	if err != nil {
		*unknown = true
		return err
	}
	result, err := store.DecodeResult(reply.GetResult())
	switch {
	case err != nil:
		return fmt.Errorf("decode result: %w", err)
	case result.GetStatus() == cmdpb.Status_STATUS_CONFLICT:
		return errOrderConflict
	case result.GetStatus() != cmdpb.Status_STATUS_OK:
		return &InvalidOrderError{Message: result.GetDetail()}
	}
	return nil
}

// Evacuations works like Control.Evacuations, at another process.
func (r *Relay) Evacuations(ctx context.Context) ([]store.Evacuation, error) {
	reply, err := r.query(ctx, &wire.Query{Kind: queryEvacuations})
	if err != nil {
		return nil, err
	}
	in := new(cmdpb.Snapshot)
	if err := proto.Unmarshal(reply.GetResult(), in); err != nil {
		return nil, fmt.Errorf("decode evacuations: %w", err)
	}
	return store.EvacuationsFromProto(in.GetEvacuations()), nil
}

// addEvacuations adds the evacuated domains and reports whether they changed.
func (h *hub) addEvacuations(w *watcher, update *wire.Update) bool {
	list, index := h.cfg.Store.Evacuations()
	if index == w.sentEvacuations {
		return false
	}
	for _, e := range list {
		if e.Active {
			update.Evacuated = append(update.Evacuated, string(e.Domain))
		}
	}
	update.EvacuationsSet, update.EvacuationsIndex = true, index
	w.sentEvacuations = index
	return true
}

// DomainEvacuation is the state of a failure domain for which there was an order.
type DomainEvacuation struct {
	Domain ident.DomainName
	// Evacuated is set while the targets of the domain get no requests.
	Evacuated bool
	// Version counts the orders for the domain. Since and Actor are the time and the
	// author of the last change.
	Version ident.Version
	Since   time.Time
	Actor   string
	// InFlight is the number of requests in flight at the targets of the domain.
	InFlight int
}

// domainEvacuations returns the domains for which there was an order, with the
// requests that the watchers of this process have in flight there.
func (c *Control) domainEvacuations() []DomainEvacuation {
	list, _ := c.cfg.Store.Evacuations()
	if len(list) == 0 {
		return nil
	}
	inFlight := c.domainLoads()
	domains := make([]DomainEvacuation, 0, len(list))
	for _, e := range list {
		domains = append(domains, DomainEvacuation{
			Domain: e.Domain, Evacuated: e.Active, Version: e.Version, Since: e.Changed, Actor: e.Actor, InFlight: inFlight[e.Domain],
		})
	}
	return domains
}

// domainLoads returns the requests that the watchers of this process have in flight at the
// targets of each failure domain.
func (c *Control) domainLoads() map[ident.DomainName]int {
	loads := make(map[ident.DomainName]int)
	if c.cfg.Roster == nil {
		return loads
	}
	for _, target := range c.cfg.Roster.Targets() {
		loads[target.Domain] += c.hub.loads.Total(target.Number)
	}
	return loads
}

// newestEvacuations merges the answers of several control processes: each domain as in its
// newest version, with all requests in flight, sorted by name.
func newestEvacuations(all []DomainEvacuation) []DomainEvacuation {
	slices.SortFunc(all, func(a, b DomainEvacuation) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(b.Version, a.Version))
	})
	var merged []DomainEvacuation
	for _, e := range all {
		if n := len(merged); n > 0 && merged[n-1].Domain == e.Domain {
			merged[n-1].InFlight += e.InFlight
			continue
		}
		merged = append(merged, e)
	}
	return merged
}

// evacuatedTotals returns the number of evacuated domains, and the requests that the
// watchers of this process have in flight there.
func (c *Control) evacuatedTotals() (domains, inFlight int) {
	for _, e := range c.domainEvacuations() {
		if e.Evacuated {
			domains++
			inFlight += e.InFlight
		}
	}
	return domains, inFlight
}
