package ctrl

import (
	"context"
	"errors"
	"fmt"
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

// Queries about the routing document, from processes that hold no log.
const (
	queryPutDocument = "put-document"
	queryDocument    = "document"
)

// formTimeout is how long a new group may take to reach MinVoters; after that
// documents are taken by as many as there are. It covers the start of all VMs
// and the time in which a VM counts as lost after its start.
const formTimeout = 8 * time.Second

// UnavailableError says that a document was not taken or could not be read,
// because no quorum was in reach; it may have been taken if Unknown.
type UnavailableError struct {
	Message string
	Unknown bool
}

// Error returns the reason.
func (e *UnavailableError) Error() string { return e.Message }

// PutDocument has a routing document of a higher version replace the one held,
// and returns once that has committed. One that is not higher changes nothing.
// It asks again until ctx ends, which a document may safely be.
func (c *Control) PutDocument(ctx context.Context, next store.Document) error {
	unknown := false
	for {
		err := c.putOnce(ctx, next, &unknown)
		if err == nil {
			return nil
		}
		if c.cfg.Clock.Sleep(ctx, leaderInterval) != nil {
			return &UnavailableError{Message: err.Error(), Unknown: unknown}
		}
	}
}

func (c *Control) putOnce(ctx context.Context, next store.Document, unknown *bool) error {
	held := c.cfg.Store.Document()
	if next.Version <= held.Version {
		return nil
	}
	body, err := store.DocumentPatch(held, next)
	if err != nil {
		return err
	}
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Document{Document: body}})
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	reply := c.command(ctx, &wire.Command{Entry: entry})
	if leader := reply.GetLeader(); reply.GetError() != "" && leader != "" {
		if reply, err = c.askCommand(ctx, leader, entry); err != nil {
			var dial *link.DialError
			*unknown = *unknown || !errors.As(err, &dial)
			return err
		}
	}
	if reply.GetError() != "" {
		*unknown = *unknown || reply.GetUnknown()
		return errors.New(reply.GetError())
	}
	result, err := store.DecodeResult(reply.GetResult())
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if result.GetStatus() != cmdpb.Status_STATUS_OK {
		return c.catchUp(ctx, result)
	}
	return nil
}

// catchUp waits until this process holds what the leader holds, of which the
// next patch is to be made.
func (c *Control) catchUp(ctx context.Context, result *cmdpb.Result) error {
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return fmt.Errorf("catch up: %w", err)
	}
	return errors.New(result.GetDetail())
}

// askCommand proposes an entry at another control process.
func (c *Control) askCommand(ctx context.Context, address string, entry []byte) (*wire.CommandReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	reply := new(wire.CommandReply)
	call := &wire.Call{Body: &wire.Call_Command{Command: &wire.Command{Entry: entry}}}
	if err := c.cfg.Link.Ask(ctx, address, call, reply); err != nil {
		return nil, fmt.Errorf("propose at %s: %w", address, err)
	}
	return reply, nil
}

// refuseEarly returns why a command may not be proposed yet, nil if it may.
func (c *Control) refuseEarly(entry []byte) *wire.CommandReply {
	if c.cfg.MinVoters == 0 || c.cfg.Group == nil || c.cfg.Clock.Now().Sub(c.hub.started) > formTimeout {
		return nil
	}
	command, err := store.DecodeCommand(entry)
	if err != nil || command.GetDocument() == nil {
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
	return &wire.CommandReply{Retry: true, Error: fmt.Sprintf("%d voters of %d", voters, c.cfg.MinVoters)}
}

// Document returns the routing document once a quorum has confirmed that it is
// the newest.
func (c *Control) Document(ctx context.Context) (store.Document, error) {
	if _, err := c.cfg.Log.Barrier(ctx); err != nil {
		return store.Document{}, &UnavailableError{Message: fmt.Sprintf("no quorum: %v", err)}
	}
	return c.cfg.Store.Document(), nil
}

// answerPut serves PutDocument to a process that holds no log.
func (c *Control) answerPut(ctx context.Context, argument []byte) *wire.QueryReply {
	in := new(cmdpb.PutDocument)
	if err := proto.Unmarshal(argument, in); err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	body, err := patch.Apply(nil, in.GetPatch())
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	if err := c.PutDocument(ctx, store.Document{Version: ident.Version(in.GetVersion()), Body: body}); err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	return &wire.QueryReply{}
}

// answerDocument serves Document to a process that holds no log.
func (c *Control) answerDocument(ctx context.Context) *wire.QueryReply {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	held, err := c.Document(ctx)
	if err != nil {
		return &wire.QueryReply{Error: err.Error(), Retry: true}
	}
	body, err := store.DocumentPatch(store.Document{}, held)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	data, err := proto.Marshal(body)
	if err != nil {
		return &wire.QueryReply{Error: err.Error()}
	}
	return &wire.QueryReply{Result: data}
}

// DocumentService serves the routing document here, or elsewhere as long as this
// process is no member of control.
type DocumentService struct {
	Control *Control
	Relay   *Relay
}

// PutDocument is that of Control.
func (d *DocumentService) PutDocument(ctx context.Context, next store.Document) error {
	if d.Control.joined() != nil {
		return d.Relay.PutDocument(ctx, next)
	}
	return d.Control.PutDocument(ctx, next)
}

// Document is that of Control.
func (d *DocumentService) Document(ctx context.Context) (store.Document, error) {
	if d.Control.joined() != nil {
		return d.Relay.Document(ctx)
	}
	return d.Control.Document(ctx)
}

// Relay serves the routing document in a process that holds no log, by asking
// those that do.
type Relay struct {
	// Link carries the calls.
	Link *link.Client
	// ControlAddresses returns the addresses of the processes that hold the log.
	ControlAddresses func() []string
	Logger           log.Logger
}

// PutDocument is that of Control, made elsewhere.
func (r *Relay) PutDocument(ctx context.Context, next store.Document) error {
	body, err := store.DocumentPatch(store.Document{}, next)
	if err != nil {
		return err
	}
	argument, err := proto.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	_, err = r.ask(ctx, &wire.Query{Kind: queryPutDocument, Argument: argument})
	return err
}

// Document is that of Control, read elsewhere.
func (r *Relay) Document(ctx context.Context) (store.Document, error) {
	reply, err := r.ask(ctx, &wire.Query{Kind: queryDocument})
	if err != nil {
		return store.Document{}, err
	}
	in := new(cmdpb.PutDocument)
	if err := proto.Unmarshal(reply.GetResult(), in); err != nil {
		return store.Document{}, fmt.Errorf("read document: %w", err)
	}
	body, err := patch.Apply(nil, in.GetPatch())
	if err != nil {
		return store.Document{}, fmt.Errorf("read document: %w", err)
	}
	return store.Document{Version: ident.Version(in.GetVersion()), Body: body}, nil
}

// ask puts a question to one process after the other until one answers.
func (r *Relay) ask(ctx context.Context, query *wire.Query) (*wire.QueryReply, error) {
	last := &UnavailableError{Message: "no control process is known"}
	for _, address := range r.ControlAddresses() {
		if ctx.Err() != nil {
			break
		}
		reply, err := r.askAt(ctx, address, query)
		if err == nil {
			return reply, nil
		}
		last = &UnavailableError{Message: err.Error(), Unknown: true}
		_ = level.Info(r.Logger).Log("msg", "control gave no answer", "address", address, "query", query.GetKind(), "err", err)
	}
	return nil, last
}

func (r *Relay) askAt(ctx context.Context, address string, query *wire.Query) (*wire.QueryReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	reply := new(wire.QueryReply)
	if err := r.Link.Ask(ctx, address, &wire.Call{Body: &wire.Call_Query{Query: query}}, reply); err != nil {
		return nil, fmt.Errorf("ask control: %w", err)
	}
	if reply.GetError() != "" {
		return nil, errors.New(reply.GetError())
	}
	return reply, nil
}
