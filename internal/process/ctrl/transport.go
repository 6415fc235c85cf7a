package ctrl

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// peerQueueSize is the maximum number of messages queued for one peer.
	// Further messages are dropped; the replicated log sends them again.
	peerQueueSize     = 256
	peerRetryInterval = 100 * time.Millisecond
	// peerVerifyInterval is how long a session to a peer may have received nothing while
	// messages are sent.
	peerVerifyInterval = 500 * time.Millisecond
)

// PeerTransportConfig holds the settings of a PeerTransport.
type PeerTransportConfig struct {
	// Self is the VM of this process.
	Self ident.VMName
	// Members are the initial control processes, which may include this one.
	Members []group.Member
	Link    *link.Client
	Clock   Clock
}

// PeerTransport sends messages of the replicated log to the other control
// processes, over one stream for each. It implements group.Transport.
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
	// cancel ends the stream; it is nil until the stream is started.
	cancel context.CancelFunc
	// wasListed says whether a member list has contained the peer.
	wasListed bool
}

// NewPeerTransport returns a transport, which Run starts.
func NewPeerTransport(cfg PeerTransportConfig) *PeerTransport {
	p := &PeerTransport{cfg: cfg, peers: make(map[ident.VMName]*peer)}
	p.addPeers(cfg.Members)
	return p
}

// UpdateMembers applies a list of the control processes. It adds processes that
// are new or have a new address, and removes those that an earlier list
// contained and this one doesn't. Processes from the configuration stay until a
// list has contained them, because a process that joins, or was away for long,
// needs them to reach the others.
func (p *PeerTransport) UpdateMembers(members []group.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addPeers(members)
	listed := make(map[ident.VMName]struct{}, len(members))
	for _, member := range members {
		listed[member.VM] = struct{}{}
	}
	for vm, existing := range p.peers {
		if _, ok := listed[vm]; ok {
			existing.wasListed = true
			continue
		}
		if existing.wasListed {
			existing.stopStream()
			delete(p.peers, vm)
		}
	}
}

// addPeers adds processes that are new or have a new address. The caller holds
// the lock or has the only reference to p.
func (p *PeerTransport) addPeers(members []group.Member) {
	for _, member := range members {
		existing := p.peers[member.VM]
		if member.VM == p.cfg.Self || member.Address == "" || (existing != nil && existing.address == member.Address) {
			continue
		}
		if existing != nil {
			existing.stopStream()
		}
		added := &peer{address: member.Address, queue: make(chan []byte, peerQueueSize)}
		p.peers[member.VM] = added
		p.startStream(added)
	}
}

// stopStream ends the stream to the peer if it was started.
func (p *peer) stopStream() {
	if p.cancel != nil {
		p.cancel()
	}
}

// startStream starts the stream to a peer if Run was called. The caller holds
// the lock.
func (p *PeerTransport) startStream(to *peer) {
	if p.ctx == nil {
		return
	}
	var ctx context.Context
	ctx, to.cancel = context.WithCancel(p.ctx)
	go p.runStream(ctx, to.address, to.queue)
}

// Send implements group.Transport.
func (p *PeerTransport) Send(to group.MemberID, message []byte) {
	p.mu.Lock()
	existing := p.peers[to.VM()]
	p.mu.Unlock()
	if existing == nil {
		return
	}
	select {
	case existing.queue <- message:
	default:
	}
}

// Run sends messages until ctx is done.
func (p *PeerTransport) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, existing := range p.peers {
		p.startStream(existing)
	}
	p.mu.Unlock()
	<-ctx.Done()
}

// runStream keeps a stream to one peer open and sends the queued messages over
// it.
func (p *PeerTransport) runStream(ctx context.Context, address string, queue <-chan []byte) {
	for ctx.Err() == nil {
		stream, err := p.cfg.Link.Open(ctx, address, &wire.Call{
			Body: &wire.Call_Peer{Peer: &wire.Peer{From: string(p.cfg.Self)}},
		})
		if err == nil {
			stop := context.AfterFunc(ctx, stream.Abort)
			p.sendQueue(ctx, stream, queue)
			stop()
			_ = stream.Close()
		}
		_ = p.cfg.Clock.Sleep(ctx, peerRetryInterval)
	}
}

// sendQueue sends queued messages until ctx is done or sending fails. The peer sends
// nothing back on the stream, so that the session is verified while messages are sent.
func (p *PeerTransport) sendQueue(ctx context.Context, stream *link.Stream, queue <-chan []byte) {
	var verifying atomic.Bool
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queue:
			if stream.Send(&wire.PeerMessage{Data: message}) != nil {
				return
			}
		}
		if stream.SessionQuiet() > peerVerifyInterval && !verifying.Swap(true) {
			go func() {
				p.cfg.Link.Verify(stream)
				verifying.Store(false)
			}()
		}
	}
}
