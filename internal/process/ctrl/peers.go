package ctrl

import (
	"context"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// peerBacklog is how many messages wait for one peer; more are dropped,
	// which the replicated log makes good.
	peerBacklog       = 256
	peerRetryInterval = 100 * time.Millisecond
)

// PeerTransportConfig makes Peers.
type PeerTransportConfig struct {
	// Self is this process's VM.
	Self ident.VMName
	// Members are the control processes, this one too.
	Members []group.Member
	Link    *link.Client
	Clock   Clock
}

// PeerTransport carries the messages of the replicated log to the other control
// processes, in a stream for each. It implements group.Transport.
type PeerTransport struct {
	cfg PeerTransportConfig

	mu    sync.Mutex
	ctx   context.Context
	peers map[ident.VMName]*peer
}

// peer is one other control process.
type peer struct {
	address string
	queue   chan []byte
	// cancel ends the stream; nil before Run.
	cancel context.CancelFunc
	// listed says that a member list has held the peer.
	listed bool
}

// NewPeerTransport returns the transport; Run starts it.
func NewPeerTransport(cfg PeerTransportConfig) *PeerTransport {
	p := &PeerTransport{cfg: cfg, peers: make(map[ident.VMName]*peer)}
	p.add(cfg.Members)
	return p
}

// UpdateMembers takes a list of the control processes: it adds those that are new or
// have a new address, and drops those that an earlier list held and this one
// doesn't. Those of the configuration stay until a list has held them, since a
// process that joins, or was away for long, needs them to reach the others.
func (p *PeerTransport) UpdateMembers(members []group.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(members)
	listed := make(map[ident.VMName]struct{}, len(members))
	for _, member := range members {
		listed[member.VM] = struct{}{}
	}
	for vm, known := range p.peers {
		if _, ok := listed[vm]; ok {
			known.listed = true
			continue
		}
		if known.listed {
			known.stop()
			delete(p.peers, vm)
		}
	}
}

// add takes in control processes that are new or have a new address. The
// caller holds the lock, or is the only one to know p.
func (p *PeerTransport) add(members []group.Member) {
	for _, member := range members {
		known := p.peers[member.VM]
		if member.VM == p.cfg.Self || member.Address == "" || (known != nil && known.address == member.Address) {
			continue
		}
		if known != nil {
			known.stop()
		}
		fresh := &peer{address: member.Address, queue: make(chan []byte, peerBacklog)}
		p.peers[member.VM] = fresh
		p.start(fresh)
	}
}

// stop ends the stream to the peer, if there is one.
func (p *peer) stop() {
	if p.cancel != nil {
		p.cancel()
	}
}

// start begins to carry to a peer, once Run was called. The caller holds the
// lock.
func (p *PeerTransport) start(to *peer) {
	if p.ctx == nil {
		return
	}
	var ctx context.Context
	ctx, to.cancel = context.WithCancel(p.ctx)
	go p.carry(ctx, to.address, to.queue)
}

// Send implements group.Transport.
func (p *PeerTransport) Send(to group.MemberID, message []byte) {
	p.mu.Lock()
	known := p.peers[to.VM()]
	p.mu.Unlock()
	if known == nil {
		return
	}
	select {
	case known.queue <- message:
	default:
	}
}

// Run carries messages until ctx ends.
func (p *PeerTransport) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, known := range p.peers {
		p.start(known)
	}
	p.mu.Unlock()
	<-ctx.Done()
}

// carry keeps a stream to one peer and writes the queue to it.
func (p *PeerTransport) carry(ctx context.Context, address string, queue <-chan []byte) {
	for ctx.Err() == nil {
		stream, err := p.cfg.Link.Open(ctx, address, &wire.Call{
			Body: &wire.Call_Peer{Peer: &wire.Peer{From: string(p.cfg.Self)}},
		})
		if err == nil {
			stop := context.AfterFunc(ctx, stream.Abort)
			p.write(ctx, stream, queue)
			stop()
			_ = stream.Close()
		}
		_ = p.cfg.Clock.Sleep(ctx, peerRetryInterval)
	}
}

func (p *PeerTransport) write(ctx context.Context, stream *link.Stream, queue <-chan []byte) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			if stream.Send(&wire.PeerMessage{Data: message}) != nil {
				return
			}
		}
	}
}
